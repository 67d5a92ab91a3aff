// Package fabric takes packets from the network fabric and sends them on to agents.
package fabric

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Counters counts packets that were forwarded and dropped.
type Counters struct {
	Forwarded *metrics.Counter
	dropped   map[gue.Reason]*metrics.Counter
}

// NewCounters registers the counters in a set.
func NewCounters(s *metrics.Set) *Counters {
	c := &Counters{
		Forwarded: s.GetOrCreateCounter("coltsfootline_entry_packets_forwarded_total"),
		dropped:   make(map[gue.Reason]*metrics.Counter),
	}
	for _, r := range gue.Reasons() {
		c.dropped[r] = s.GetOrCreateCounter(`coltsfootline_entry_packets_dropped_total{reason="` + r.String() + `"}`)
	}
	return c
}

// Drop counts a packet dropped for a reason.
func (c *Counters) Drop(r gue.Reason) {
	c.dropped[r].Inc()
}

// Dropped returns how many packets were dropped for a reason.
func (c *Counters) Dropped(r gue.Reason) uint64 {
	return c.dropped[r].Get()
}
