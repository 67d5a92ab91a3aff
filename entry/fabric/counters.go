// Package fabric receives packets from the network fabric and forwards them to agents.
package fabric

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Counters holds the metrics of forwarded and dropped packets.
type Counters struct {
	Forwarded *metrics.Counter
	dropped   map[gue.Reason]*metrics.Counter
}

// NewCounters returns Counters whose metrics are registered in s.
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

// CountDrop counts one packet dropped for the given reason.
func (c *Counters) CountDrop(r gue.Reason) {
	c.dropped[r].Inc()
}

// Dropped returns the number of packets dropped for the given reason.
func (c *Counters) Dropped(r gue.Reason) uint64 {
	return c.dropped[r].Get()
}
