package flow

import (
	"math"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// priorityLevels bounds the priorities that are told apart; lower ones count as the last.
	priorityLevels = 8
	// demandAge is the time constant of the demand of a priority. In it a host serves about 40 requests, enough for a mean;
	// room that a route does not want any more is free after a second.
	demandAge = 500 * time.Millisecond
	// mostReserved is the largest share of a host that routes of higher priority are taken to want. Above it, a flow of
	// lower priority would wait for more than 20 times as long as without them.
	mostReserved = 0.95
	// leastWanted is the share below which a host counts as not wanted: one request of 10 ms in demandAge.
	leastWanted = 0.01
)

// competition decides how much of a host the routes of one service leave to each other by their priority. The zero value
// has no priorities: no route competes.
type competition struct {
	// active is set if the plan gives the routes of the service different priorities.
	active bool
	demand [priorityLevels]decayingSum
	// capacity is how many busy flows the target has been seen to hold, and 0 until it has bounced a SYN. It is valid for
	// the incarnation of the target that started at startedMs.
	capacity  int
	startedMs int64
}

// decayingSum is a sum whose terms lose their weight with the time constant demandAge.
type decayingSum struct {
	sum     float64
	updated time.Time
}

func (s *decayingSum) add(now time.Time, x float64) {
	s.sum, s.updated = s.at(now)+x, now
}

func (s *decayingSum) at(now time.Time) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * math.Exp(-max(float64(now.Sub(s.updated)), 0)/float64(demandAge))
}

// setPlan takes the priorities of the routes that may send flows to the service.
func (c *competition) setPlan(p *plan.Plan, service string) {
	lowest, highest := math.MaxInt, math.MinInt
	for i := range p.Routes {
		if r := &p.Routes[i]; r.HasService(service) {
			lowest, highest = min(lowest, r.Priority), max(highest, r.Priority)
		}
	}
	c.active = lowest < highest
}

// level returns the priority of a route as an index of demand.
func level(r *plan.Route) int {
	return min(max(r.Priority, 0), priorityLevels-1)
}

// observe records that a route wanted a slot for the given time.
func (c *competition) observe(now time.Time, r *plan.Route, held time.Duration) {
	if c.active && r != nil {
		c.demand[level(r)].add(now, held.Seconds())
	}
}

// wantedAbove returns the share of the slots that routes of higher priority want, between 0 and mostReserved.
func (c *competition) wantedAbove(now time.Time, r *plan.Route, slots int) float64 {
	if !c.active || r == nil {
		return 0
	}
	wanted := 0.0
	for i := range level(r) {
		wanted += c.demand[i].at(now)
	}
	wanted /= demandAge.Seconds() * float64(slots)
	if wanted < leastWanted {
		return 0
	}
	return min(wanted, mostReserved)
}

// noteBounce records that the target returned a SYN while it held the given busy flows. One that returns SYNs with slots
// free has another reason for it.
func (c *competition) noteBounce(busy, slots int, startedMs int64) {
	if busy >= slots {
		c.capacity, c.startedMs = busy, startedMs
	}
}

// noteAccepted records that the target accepted a SYN and now holds the given busy flows.
func (c *competition) noteAccepted(busy int, startedMs int64) {
	if c.startedMs != startedMs {
		c.capacity = 0
	}
	if c.capacity > 0 {
		c.capacity = max(c.capacity, busy)
	}
}

// mayQueue reports whether a flow that finds all slots in use leaves the routes of higher priority the part of the queue
// that they want. wanted is what wantedAbove returned.
func (c *competition) mayQueue(busy, slots int, wanted float64) bool {
	if wanted == 0 || c.capacity <= slots {
		return true
	}
	return float64(busy+1) <= float64(slots)+(1-wanted)*float64(c.capacity-slots)
}

// checkWait decides about a flow that finds all slots in use. It may wait if it is expected to be answered within the
// objective, by the service times of the routes. If routes of higher priority want the host too, they are expected to be
// served before it, which extends its wait, and their part of the queue is not used.
func (a *Agent) checkWait(now time.Time, f gue.Flow, route *plan.Route, slots int, limited bool, objective time.Duration) (Code, string) {
	wanted := a.competition.wantedAbove(now, route, slots)
	if !limited && wanted == 0 {
		return CodeNone, ""
	}
	service := a.serviceTimes.of(f.Service)
	wait := expectedWait(float64(a.busyCount), slots, a.serviceTimes.all.mean)
	switch {
	case objective > 0 && limited && wait+service > objective:
		a.competition.observe(now, route, service)
		return CodeBusy, "wait"
	case objective > 0 && time.Duration(float64(wait)/(1-wanted))+service > objective,
		!a.competition.mayQueue(a.busyCount, slots, wanted):
		a.competition.observe(now, route, service)
		return CodeBusy, "priority"
	}
	return CodeNone, ""
}

// noteBounce records that the target returned a SYN.
func (a *Agent) noteBounce() {
	if a.target != nil {
		a.competition.noteBounce(a.busyCount, a.slots(), a.target.StartedMs)
	}
}

// noteAccepted records that the target accepted a SYN.
func (a *Agent) noteAccepted() {
	if a.target != nil {
		a.competition.noteAccepted(a.busyCount, a.target.StartedMs)
	}
}

// priority returns the priority of the flow's route, or 0 if that is unknown.
func (a *Agent) priority(f gue.Flow) int {
	if r := a.route(f); r != nil {
		return r.Priority
	}
	return 0
}
