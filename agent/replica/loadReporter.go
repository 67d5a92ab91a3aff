package replica

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// MethodReportLoad is the notification that carries a load report.
const MethodReportLoad = "load.tell"

const (
	reportInterval = 100 * time.Millisecond
	// reportFanOut limits the receivers of each report, so that the traffic does not grow with the size of the service.
	reportFanOut = 6
)

// LoadReport holds the parameters of MethodReportLoad.
type LoadReport struct {
	placement.Load
	Requests netip.AddrPort `json:"requests"`
}

// Notifier sends notifications to other instances.
type Notifier interface {
	Notify(ctx context.Context, to netip.AddrPort, method string, params any) error
}

// LoadReporter periodically sends this agent's load to randomly chosen agents of the service. Set the exported fields,
// then call Start.
type LoadReporter struct {
	Self     facts.Member
	Notifier Notifier
	Load     func(now time.Time) placement.Load
	Members  func() []facts.Member
}

// Start sends reports until ctx ends.
func (r *LoadReporter) Start(ctx context.Context) {
	go r.run(ctx)
}

func (r *LoadReporter) run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.report(ctx, now)
		}
	}
}

func (r *LoadReporter) report(ctx context.Context, now time.Time) {
	members := r.Members()
	message := LoadReport{Load: r.Load(now), Requests: r.Self.Requests}
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	sent := 0
	for _, i := range rand.Perm(len(members)) {
		m := members[i]
		if m.Instance == r.Self.Instance || m.State != facts.StateServing {
			continue
		}
		// A lost report needs no retry: the next one replaces it.
		_ = r.Notifier.Notify(ctx, m.Control, MethodReportLoad, message)
		sent++
		if sent == reportFanOut {
			return
		}
	}
}

// HandleReport handles MethodReportLoad.
func (l *Loads) HandleReport(_ context.Context, r LoadReport) (struct{}, error) {
	l.Update(time.Now(), Peer{Load: r.Load, Requests: r.Requests})
	return struct{}{}, nil
}
