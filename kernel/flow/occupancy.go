package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// occupancy follows which of the busy flows have a slot of the target and which wait for one. A target serves flows in
// the order in which they become busy, so the time that a flow has a slot can be told from the time that it waits. The
// zero value is ready to use.
type occupancy struct {
	// serving counts the flows that have a slot.
	serving int
	// waiting holds, from the index next on, the flows without a slot, oldest first. A flow that is not busy any more is
	// skipped when its turn comes.
	waiting []*agentFlow
	next    int
}

// add takes a flow that becomes busy; busyCount includes it.
func (o *occupancy) add(now time.Time, af *agentFlow, busyCount, slots int) {
	if len(o.waiting) > 2*busyCount+compactAbove {
		o.compact()
	}
	if !af.queued {
		af.queued = true
		o.waiting = append(o.waiting, af)
	}
	o.fill(now, busyCount, slots)
}

// compactAbove is how many flows that do not wait any more are kept, so that they are seldom removed.
const compactAbove = 16

// compact removes the flows that do not wait any more.
func (o *occupancy) compact() {
	kept := o.waiting[:0]
	for _, af := range o.waiting[o.next:] {
		if af.queued = af.busy && !af.serving; af.queued {
			kept = append(kept, af)
		}
	}
	clear(o.waiting[len(kept):])
	o.waiting, o.next = kept, 0
}

// remove takes a flow that is not busy any more.
func (o *occupancy) remove(af *agentFlow) {
	if af.serving {
		af.serving = false
		o.serving--
	}
}

// fill gives the free slots to the flows that wait.
func (o *occupancy) fill(now time.Time, busyCount, slots int) {
	for o.next < len(o.waiting) && o.serving < min(busyCount, slots) {
		af := o.waiting[o.next]
		o.waiting[o.next] = nil
		o.next++
		af.queued = false
		if af.busy && !af.serving {
			af.serving, af.servedSince = true, now
			o.serving++
		}
	}
	if len(o.waiting) > 0 && (o.next == len(o.waiting) || o.serving == busyCount) {
		// Nobody waits; what is left are flows that ended while they did.
		o.compact()
	}
}

// slots returns how many requests the target processes at once.
func (a *Agent) slots() int {
	if a.target == nil {
		return 1
	}
	return max(a.target.Slots, 1)
}

// route returns the flow's route, or nil if the agent has no plan or the plan in force has no such route.
func (a *Agent) route(f gue.Flow) *plan.Route {
	if a.plan == nil {
		return nil
	}
	return a.plan.Find(f.Service)
}

// endRequest ends a flow's request at the first bytes of its answer. It returns the time that the request took, and
// measures the part of it in which the request had a slot.
func (a *Agent) endRequest(now time.Time, f gue.Flow, af *agentFlow) time.Duration {
	a.occupancy.fill(now, a.busyCount, a.slots())
	elapsed := now.Sub(af.busySince)
	if af.serving {
		held := now.Sub(af.servedSince)
		a.serviceTimes.observe(f.Service, held)
		a.competition.observe(now, a.route(f), held)
	}
	a.setIdle(af)
	a.occupancy.fill(now, a.busyCount, a.slots())
	return elapsed
}
