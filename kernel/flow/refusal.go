package flow

import (
	"maps"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// copyTimes is when callers send the copies of a SYN, by the number of earlier copies.
var copyTimes = [lastAttempt + 1]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// sinceFirstCopy returns the time since a caller sent the first copy of a SYN. The attempt comes from the packet.
func sinceFirstCopy(attempt uint32) time.Duration {
	return copyTimes[min(attempt, lastAttempt)]
}

// refusesAtOnce reports whether the plan asks for the refusal of flows of the route that can't meet their objective. It
// does so by naming both an objective and a deadline.
func refusesAtOnce(route *plan.Route) bool {
	return route.Objective > 0 && route.Deadline > 0
}

// isHopeless reports whether a flow that was turned away at the first copy of its SYN can't be answered within the route's
// objective if it is left to the next one. This holds if all hosts that were asked returned the SYN for their load, and if
// even the one with the shortest queue would answer the next copy too late with the load that it has now. The caller does
// better with a reset: it tries again at once, and a new flow asks other hosts. Later copies are left alone: a host may
// have accepted the first one through another entry.
func (ef *entryFlow) isHopeless(route *plan.Route) bool {
	if !refusesAtOnce(route) || ef.attempt > 0 || ef.triedCount == 0 || ef.loadDeclines != ef.triedCount {
		return false
	}
	shortest, service := time.Duration(-1), time.Duration(0)
	for _, hl := range ef.triedHosts[:min(ef.triedCount, maxTriedHosts)] {
		wait := expectedWait(float64(hl.room.busy), hl.room.slots, hl.meanServiceTime())
		if shortest < 0 || wait+hl.room.routeTime < shortest+service {
			shortest, service = wait, hl.room.routeTime
		}
	}
	return copyTimes[1]+shortest+service > route.Objective
}

// refusalChance is the greatest share of flows turned away at which a flow is refused at once. Above it, the caller's next
// tries would more likely fail than not, and all three within a few milliseconds; the later copies of the SYN may still
// get a late answer once a burst is over.
const refusalChance = 0.5

// routeChances counts the flows of each route that an entry has placed or turned away in the last demandAge or so. The
// zero value is ready to use.
type routeChances map[gue.Endpoint]*routeChance

type routeChance struct {
	arrived    decayingSum
	turnedAway decayingSum
}

// of returns the counts of a route, or nil if there are too many routes.
func (c *routeChances) of(now time.Time, route gue.Endpoint) *routeChance {
	if r := (*c)[route]; r != nil {
		return r
	}
	if len(*c) >= maxTimedRoutes {
		maps.DeleteFunc(*c, func(_ gue.Endpoint, r *routeChance) bool { return r.arrived.at(now) < 0.1 })
	}
	if len(*c) >= maxTimedRoutes {
		return nil
	}
	if *c == nil {
		*c = make(routeChances)
	}
	r := &routeChance{}
	(*c)[route] = r
	return r
}

// noteArrival records the first copy of a flow's SYN.
func (c *routeChances) noteArrival(now time.Time, route *plan.Route) {
	if !refusesAtOnce(route) {
		return
	}
	if r := c.of(now, route.Address); r != nil {
		r.arrived.add(now, 1)
	}
}

// noteTurnedAway records that all hosts returned the first copy of a flow's SYN. It reports whether a new flow is more likely to be
// accepted than not.
func (c *routeChances) noteTurnedAway(now time.Time, route *plan.Route) bool {
	r := c.of(now, route.Address)
	if r == nil {
		return false
	}
	r.turnedAway.add(now, 1)
	return r.turnedAway.at(now) <= refusalChance*r.arrived.at(now)
}
