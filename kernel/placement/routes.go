package placement

import (
	"time"
)

const (
	// longFactor is the ratio of a route's mean service time to the service's mean above which the route counts as long.
	longFactor = 5
	// maxRoutes limits the number of routes that are tracked; any further route counts as short.
	maxRoutes = 256
)

// RouteServiceTimes tracks the mean service time of each route, to detect routes with long requests. The zero value is
// ready to use.
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

// IsLong reports whether requests of the route hold a slot much longer than the service's requests do on average.
func (t *RouteServiceTimes) IsLong(route string) bool {
	r, ok := t.routes[route]
	return ok && r.mean > longFactor*t.all.mean
}

// ExpectedWait returns the expected wait of a request with ahead others queued before it, if all slots are in use.
func (t *RouteServiceTimes) ExpectedWait(ahead, slots int) time.Duration {
	return t.all.ExpectedWait(ahead, slots)
}

// MaxLongRequests returns the number of a host's slots that long requests may hold at once: half of them, but at least
// one.
func MaxLongRequests(slots int) int {
	return max(slots/2, 1)
}
