package flow

import (
	"math"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// maxTimedRoutes bounds the routes whose service times are kept. A service has a few routes; the requests of any further
// ones count with the service's mean.
const maxTimedRoutes = 32

// meanTime is an exponential moving average of durations. The zero value is ready to use and has no sample.
type meanTime struct {
	mean    time.Duration
	samples int
}

// observe adds a sample. The first ones are averaged evenly, so that one slow request right after the start does not
// stand for ten.
func (m *meanTime) observe(d time.Duration) {
	m.samples++
	m.mean += time.Duration(max(serviceTimeWeight, 1/float64(m.samples)) * float64(d-m.mean))
}

// serviceTimes holds how long requests occupy a slot, in all and by route. The zero value is ready to use.
type serviceTimes struct {
	all     meanTime
	byRoute map[gue.Endpoint]*meanTime
}

// observe adds a sample of a route.
func (s *serviceTimes) observe(route gue.Endpoint, d time.Duration) {
	s.all.observe(d)
	m := s.byRoute[route]
	if m == nil {
		if len(s.byRoute) >= maxTimedRoutes {
			return
		}
		if s.byRoute == nil {
			s.byRoute = make(map[gue.Endpoint]*meanTime)
		}
		m = &meanTime{}
		s.byRoute[route] = m
	}
	m.observe(d)
}

// of returns the mean service time of a route, or that of all routes if the route has no sample.
func (s *serviceTimes) of(route gue.Endpoint) time.Duration {
	if m := s.byRoute[route]; m != nil {
		return m.mean
	}
	return s.all.mean
}

// keep removes the routes that are not in use according to inUse.
func (s *serviceTimes) keep(inUse func(gue.Endpoint) bool) {
	for route := range s.byRoute {
		if !inUse(route) {
			delete(s.byRoute, route)
		}
	}
}

// expectedWait returns the time until a flow that arrives at a host with the given flows in the system gets a slot. The
// number may be an expectation between whole numbers.
func expectedWait(busy float64, slots int, mean time.Duration) time.Duration {
	slots = max(slots, 1)
	return time.Duration(max(busy-float64(slots)+1, 0) / float64(slots) * float64(mean))
}

const (
	// timeUnit and timeSteps define the logarithmic scale on which a duration takes one byte: it reaches 15 s in steps of
	// 4.4%.
	timeUnit  = 250 * time.Microsecond
	timeSteps = 16
)

// encodeTime returns a duration on the logarithmic scale; 0 stands for an unknown one.
func encodeTime(d time.Duration) byte {
	if d <= 0 {
		return 0
	}
	return byte(min(max(math.Round(timeSteps*math.Log2(float64(d)/float64(timeUnit))), 0)+1, 255))
}

// decodeTime is the inverse of encodeTime.
func decodeTime(b byte) time.Duration {
	if b == 0 {
		return 0
	}
	return time.Duration(float64(timeUnit) * math.Exp2(float64(b-1)/timeSteps))
}
