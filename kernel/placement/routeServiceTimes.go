package placement

import (
	"time"
)

const (
	// longFactor is how many times the service's mean service time a route's mean must exceed to count as long.
	longFactor = 5
	// maxRoutes limits the number of routes that are tracked; any further route counts as short.
	maxRoutes = 256
)

// RouteServiceTimes tracks the mean service time of each route of one service to detect routes with long requests. The
// zero value is ready to use.
type RouteServiceTimes struct {
	all    MeanServiceTime
	routes map[string]*MeanServiceTime
}

// Observe records how long a request of the route held a slot.
func (t *RouteServiceTimes) Observe(route string, held time.Duration) {
	t.all.Observe(held)
	if t.routes == nil {
		t.routes = make(map[string]*MeanServiceTime)
	}
	r, ok := t.routes[route]
	if !ok && len(t.routes) >= maxRoutes {
		return
	}
	if !ok {
		r = &MeanServiceTime{}
		t.routes[route] = r
	}
	r.Observe(held)
}

// IsLong reports whether requests of the route hold a slot much longer than the service's average request.
func (t *RouteServiceTimes) IsLong(route string) bool {
	r, ok := t.routes[route]
	return ok && r.mean > longFactor*t.all.mean
}

// ExpectedWait returns how long a request is expected to wait behind the given number of queued requests if all slots
// are in use.
func (t *RouteServiceTimes) ExpectedWait(ahead, slots int) time.Duration {
	return t.all.ExpectedWait(ahead, slots)
}

// MaxLongRequests returns how many of a host's slots long requests may hold at once: half of them, but at least one.
func MaxLongRequests(slots int) int {
	return max(slots/2, 1)
}
