package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/pace"
)

// noteTargetStart takes the target as cold and begins its pace, because it has started or become known.
func (a *Agent) noteTargetStart(now time.Time, out *Output) {
	a.cold.restart(now)
	a.startPace("started", out)
}

// startPace begins to limit the target's concurrent requests, because it has just started or recovered.
func (a *Agent) startPace(reason string, out *Output) {
	if !a.Paced || a.target == nil {
		return
	}
	a.pace.Start(max(a.target.Slots, 1))
	out.record(Decision{Action: ActionPaceChanged, Reason: reason, PlanVersion: a.planVersion(), Count: a.pace.Limit()})
}

// paceAllows reports whether the target's pace admits a new flow. If the entry knows no other host, or has tried some
// with an earlier transmission of the SYN, the pace refuses nothing.
func (a *Agent) paceAllows(hdr *Header) bool {
	return !a.Paced || hdr.Mark.Code == CodeForce || hdr.Attempt > 0 || a.pace.Allows(a.busyCount)
}

// observePace adds an answer, whose request still counts as load, to the target's pace.
func (a *Agent) observePace(now time.Time, f gue.Flow, elapsed time.Duration, out *Output) {
	if !a.Paced || a.target == nil {
		return
	}
	answer := pace.Answer[gue.Endpoint]{Kind: f.Service, Time: elapsed, Busy: a.busyCount, Slots: max(a.target.Slots, 1)}
	if a.plan != nil {
		r := a.plan.Find(f.Service)
		answer.Late = r != nil && r.Objective > 0 && elapsed > r.Objective
	}
	before := a.pace.Limit()
	a.pace.Observe(now, answer)
	limit := a.pace.Limit()
	if limit == before {
		return
	}
	d := Decision{
		Action: ActionPaceChanged, Flow: f, Reason: "fast", PlanVersion: a.planVersion(), Count: limit, AgeMs: elapsed.Milliseconds(),
	}
	switch {
	case limit == 0:
		d.Reason = "removed"
	case limit < before || before == 0:
		d.Reason = "slow"
	}
	out.record(d)
}

// PaceLimit returns the limit on the target's concurrent requests, or 0 if there is none.
func (a *Agent) PaceLimit() int {
	return a.pace.Limit()
}
