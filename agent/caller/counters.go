package caller

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Counters counts what happens to packets, flows and moves at an agent.
type Counters struct {
	Received  *metrics.Counter
	Forwarded *metrics.Counter
	Sent      *metrics.Counter
	Resets    *metrics.Counter
	Located   *metrics.Counter
	MovedOut  *metrics.Counter
	MovedIn   *metrics.Counter
	Refused   *metrics.Counter
	Aborted   *metrics.Counter
	Ended     *metrics.Counter
	dropped   map[gue.Reason]*metrics.Counter
}

// NewCounters registers the counters in a set.
func NewCounters(s *metrics.Set) *Counters {
	named := func(name string) *metrics.Counter {
		return s.GetOrCreateCounter("coltsfootline_agent_" + name + "_total")
	}
	c := &Counters{
		Received:  named("packets_received"),
		Forwarded: named("packets_forwarded"),
		Sent:      named("packets_sent"),
		Resets:    named("resets_sent"),
		Located:   named("flows_located"),
		MovedOut:  named("flows_moved_out"),
		MovedIn:   named("flows_moved_in"),
		Refused:   named("offers_refused"),
		Aborted:   named("offers_aborted"),
		Ended:     named("flows_ended_by_drain"),
		dropped:   make(map[gue.Reason]*metrics.Counter),
	}
	for _, r := range gue.Reasons() {
		c.dropped[r] = s.GetOrCreateCounter(`coltsfootline_agent_packets_dropped_total{reason="` + r.String() + `"}`)
	}
	return c
}

func (c *Counters) drop(r gue.Reason) {
	c.dropped[r].Inc()
}
