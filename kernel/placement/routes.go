package placement

import (
	"time"
)

const (
	// longFactor is how many times the service's mean a route's mean must be to count as long.
	longFactor = 5
	// maxRoutes bounds how many routes are told apart; later ones count as short.
	maxRoutes = 256
)

// RouteTimes learns which routes run long. The zero value is ready to use.
type RouteTimes struct {
	all    ServiceTime
	routes map[string]*ServiceTime
}

// Note counts one request of a route that held a slot.
func (t *RouteTimes) Note(route string, held time.Duration) {
	t.all.Note(held)
	if t.routes == nil {
		t.routes = make(map[string]*ServiceTime)
	}
	r, ok := t.routes[route]
	if !ok && len(t.routes) >= maxRoutes {
		return
	}
	if !ok {
		r = &ServiceTime{}
		t.routes[route] = r
	}
	r.Note(held)
}

// Long reports that requests of the route hold a slot much longer than the service's requests do on average.
func (t *RouteTimes) Long(route string) bool {
	r, ok := t.routes[route]
	return ok && r.mean > longFactor*t.all.mean
}

// Wait is how long a request waits for a slot behind others, when all slots are in use.
func (t *RouteTimes) Wait(ahead, slots int) time.Duration {
	return t.all.Wait(ahead, slots)
}

// LongLimit is how many of a host's slots long requests may hold at once: half, and one at least.
func LongLimit(slots int) int {
	return max(slots/2, 1)
}
