// Package placement decides which agent of a service runs a request. Its functions do no I/O.
package placement

import (
	"math"
	"time"
)

// MeterTime is the time constant with which a Meter forgets.
const MeterTime = 10 * time.Second

// Load is what an agent tells the other agents of its service.
type Load struct {
	Instance string `json:"instance"`
	Slots    int    `json:"slots"`
	Busy     int    `json:"busy"`
	Waiting  int    `json:"waiting"`
	// Long is how many of the busy slots long requests hold.
	Long int `json:"long"`
	// Recent is the share of slot time in use over about MeterTime, between 0 and 1.
	Recent float64 `json:"recent"`
}

// Free is the number of slots that a request could start in at once.
func (l Load) Free() int {
	return max(l.Slots-l.Busy-l.Waiting, 0)
}

// FreeFor is Free for a short or a long request.
func (l Load) FreeFor(long bool) int {
	if !long {
		return l.Free()
	}
	return min(l.Free(), max(LongLimit(l.Slots)-l.Long, 0))
}

// Meter averages the use of slots with exponential decay. The zero value is ready to use.
type Meter struct {
	value float64
	last  time.Time
}

// Advance counts busy of slots in use from the last call until now.
func (m *Meter) Advance(now time.Time, busy, slots int) {
	elapsed := now.Sub(m.last)
	if m.last.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	m.last = now
	if slots <= 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / MeterTime.Seconds())
	m.value = m.value*kept + (1-kept)*float64(busy)/float64(slots)
}

// Value is the share of slot time in use, between 0 and 1.
func (m *Meter) Value() float64 {
	return m.value
}
