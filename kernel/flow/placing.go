package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// open places a flow, or repeats its placement for a copy of its opening packet.
func (e *Entry) open(now time.Time, f gue.Flow, route *plan.Route, packet []byte, v *View, out *Output) {
	k, known := e.flows.Get(f)
	if known && (k.stage == stageIdle || k.stage == stageBusy) && k.holder != nil {
		e.forward(k.holder, packet, Mark{Value: uint32(e.plan.Version)}, out)
		return
	}
	if !known || k.stage != stageOpening {
		k = &entryFlow{stage: stageIdle, since: now}
		e.flows.Add(f, k)
	}
	if k.stage == stageOpening && v.Copy > k.copy {
		k.holder.ignored(now, k.since)
	}
	k.last = now
	k.copy, k.placements = v.Copy, 0
	e.place(now, f, route, k, packet, v, out)
}

// mayWait says whether the flow may wait for a slot. The first copy of a repeated opening packet is behind its
// objective already and takes free slots only, so that it doesn't delay those that can still be served in time; the
// last one has no other chance.
func (k *entryFlow) mayWait() bool {
	return k.copy == 0 || k.copy >= lastCopy
}

// place sends an opening packet to the best host that it has not been at yet, or has to be taken by one that it has.
func (e *Entry) place(now time.Time, f gue.Flow, route *plan.Route, k *entryFlow, packet []byte, v *View, out *Output) {
	service := route.SelectService(f)
	mark := Mark{Value: uint32(e.plan.Version)}
	l := e.choose(now, f, service, k, false)
	if k.mayWait() && (l == nil || k.placements >= freeTries) {
		l = e.choose(now, f, service, k, true)
		mark.Code = CodeForce
	}
	if l == nil || k.placements == maxPlacements {
		e.leaveUnplaced(now, f, k, v, out)
		return
	}
	action := ActionPlaced
	if k.tries > 0 {
		action = ActionPlacedAgain
	}
	e.setStage(k, nil, stageIdle)
	if k.tries < maxTried {
		k.tried[k.tries] = l
	}
	k.tries++
	k.placements++
	k.since = now
	e.setStage(k, l, stageOpening)
	e.forward(l, packet, mark, out)
	out.decide(Decision{
		Action: action, Flow: f, Instance: l.host.Instance, Reason: service, PlanVersion: e.plan.Version,
		Count: l.outstanding, AgeMs: l.serviceTime.Milliseconds(),
	})
}

// leaveUnplaced gives an opening packet up. Its caller repeats it; the last copy is answered with a reset if every
// host that had a copy gave it back, so that the caller need not wait.
func (e *Entry) leaveUnplaced(now time.Time, f gue.Flow, k *entryFlow, v *View, out *Output) {
	d := Decision{
		Action: ActionUnplaced, Flow: f, Reason: "silent", PlanVersion: e.plan.Version,
		Count: k.tries, AgeMs: now.Sub(k.since).Milliseconds(),
	}
	e.setStage(k, nil, stageIdle)
	if v.Copy >= lastCopy && k.given == k.tries {
		d.Reason = "reset"
		out.reset(e.Codec, e.Self, f, 0)
		e.flows.Remove(f)
	}
	out.Dropped = gue.ReasonNoTarget
	out.decide(d)
}

// declined places an opening packet again that a host gave back.
func (e *Entry) declined(now time.Time, f gue.Flow, route *plan.Route, l *hostLoad, packet []byte, v *View, out *Output) {
	l.declined(now, v.Mark.Code)
	k, known := e.flows.Get(f)
	if !known {
		return
	}
	k.given++
	if k.stage == stageOpening && k.holder == l {
		e.place(now, f, route, k, packet, v, out)
	}
}
