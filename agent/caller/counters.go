package caller

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Counters are the metrics of an agent's packets, flows and moves.
type Counters struct {
	Received  *metrics.Counter
	Forwarded *metrics.Counter
	Sent      *metrics.Counter
	Resets    *metrics.Counter
	// Located counts finished lookups, whether or not a holder was found.
	Located       *metrics.Counter
	MovedOut      *metrics.Counter
	MovedIn       *metrics.Counter
	OffersRefused *metrics.Counter
	OffersAborted *metrics.Counter
	// EndedByDrain counts idle connections that a drain closed because it could not move them.
	EndedByDrain *metrics.Counter
	dropped      map[gue.Reason]*metrics.Counter
}

// NewCounters registers the counters in a metrics set.
func NewCounters(s *metrics.Set) *Counters {
	counter := func(name string) *metrics.Counter {
		return s.GetOrCreateCounter("coltsfootline_agent_" + name + "_total")
	}
	c := &Counters{
		Received:      counter("packets_received"),
		Forwarded:     counter("packets_forwarded"),
		Sent:          counter("packets_sent"),
		Resets:        counter("resets_sent"),
		Located:       counter("flows_located"),
		MovedOut:      counter("flows_moved_out"),
		MovedIn:       counter("flows_moved_in"),
		OffersRefused: counter("offers_refused"),
		OffersAborted: counter("offers_aborted"),
		EndedByDrain:  counter("flows_ended_by_drain"),
		dropped:       make(map[gue.Reason]*metrics.Counter),
	}
	for _, r := range gue.Reasons() {
		c.dropped[r] = s.GetOrCreateCounter(`coltsfootline_agent_packets_dropped_total{reason="` + r.String() + `"}`)
	}
	return c
}

func (c *Counters) countDrop(r gue.Reason) {
	c.dropped[r].Inc()
}
