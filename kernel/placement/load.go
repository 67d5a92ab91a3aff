// Package placement selects the host of a new flow and the agent that runs a request. It performs no I/O.
package placement

import (
	"math"
	"time"
)

// UtilisationTimeConstant is the time constant of the exponential decay in a UtilisationMeter.
const UtilisationTimeConstant = 10 * time.Second

// Load is the load report that an agent sends to the other agents of its service.
type Load struct {
	Instance string `json:"instance"`
	// Slots is the number of requests that the agent can run at once.
	Slots int `json:"slots"`
	// Busy is the number of slots in use.
	Busy int `json:"busy"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// BusyLong is the number of slots in use by long requests.
	BusyLong int `json:"long"`
	// RecentUtilisation is the average slot utilisation, between 0 and 1, as measured by a UtilisationMeter.
	RecentUtilisation float64 `json:"recent"`
}

// FreeSlots returns the number of requests that could start immediately: the free slots minus the queued requests.
func (l Load) FreeSlots() int {
	return max(l.Slots-l.Busy-l.Waiting, 0)
}

// FreeSlotsFor returns the number of long requests that could start immediately if long is set, and of short requests
// otherwise. Long requests may use at most MaxLongRequests slots.
func (l Load) FreeSlotsFor(long bool) int {
	if !long {
		return l.FreeSlots()
	}
	return min(l.FreeSlots(), max(MaxLongRequests(l.Slots)-l.BusyLong, 0))
}

// UtilisationMeter measures slot utilisation as an exponentially decaying average over time. The zero value is ready
// to use.
type UtilisationMeter struct {
	utilisation float64
	updated     time.Time
}

// Update records that busy out of slots were in use from the previous call until now.
func (m *UtilisationMeter) Update(now time.Time, busy, slots int) {
	elapsed := now.Sub(m.updated)
	if m.updated.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	m.updated = now
	if slots <= 0 {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / UtilisationTimeConstant.Seconds())
	m.utilisation = m.utilisation*decay + (1-decay)*float64(busy)/float64(slots)
}

// Utilisation returns the average slot utilisation, between 0 and 1.
func (m *UtilisationMeter) Utilisation() float64 {
	return m.utilisation
}
