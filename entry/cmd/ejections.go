package cmd

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/kernel/dataplane"
)

// ejectionReport is what other goroutines read of the ejected hosts. The packet loop writes it.
type ejectionReport struct {
	current atomic.Pointer[map[string][]string]
}

// ejected returns the ejected hosts by service.
func (r *ejectionReport) ejected() map[string][]string {
	if m := r.current.Load(); m != nil {
		return *m
	}
	return nil
}

// update replaces the report and sets the gauge of each service that has or had ejected hosts.
func (r *ejectionReport) update(latest map[string][]string) {
	for service := range r.ejected() {
		gauge(service).Set(float64(len(latest[service])))
	}
	for service, hosts := range latest {
		gauge(service).Set(float64(len(hosts)))
	}
	r.current.Store(&latest)
}

func gauge(service string) *metrics.Gauge {
	return metrics.GetOrCreateGauge("coltsfootline_hosts_ejected{service="+strconv.Quote(service)+"}", nil)
}

// updateEjections decides which hosts are ejected. It runs on the packet loop's goroutine.
func (e *passthroughEntry) updateEjections(now time.Time) {
	e.output.Clear()
	e.flowEntry.UpdateEjections(now, &e.output)
	if len(e.output.Decisions) == 0 && len(e.ejections.ejected()) == 0 {
		return
	}
	e.recorder.Record(now, &e.output, dataplane.SendAll(e.socket, &e.output))
	e.ejections.update(e.flowEntry.Ejected())
}
