package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// handleSYN places a flow on a host, or places it again if the SYN is a retransmission. The SYN of an established
// flow goes to its holder.
func (e *Entry) handleSYN(now time.Time, f gue.Flow, route *plan.Route, packet []byte, hdr *Header, out *Output) {
	ef, known := e.flows.Get(f)
	if known && (ef.stage == stageIdle || ef.stage == stageBusy) && ef.holder != nil {
		e.forward(ef.holder, packet, Mark{Value: uint32(e.plan.Version)}, out)
		return
	}
	if !known || ef.stage != stageOpening {
		ef = &entryFlow{stage: stageIdle, waitingSince: now}
		e.flows.Add(f, ef)
	}
	if ef.stage == stageOpening && hdr.Attempt > ef.attempt {
		ef.holder.penalizeSilence(now, ef.waitingSince)
	}
	ef.lastPacket = now
	ef.attempt, ef.placements = hdr.Attempt, 0
	e.place(now, f, route, ef, packet, hdr, out)
}

// mayWait reports whether the flow may wait for a slot. The first retransmission of a SYN has already missed its
// objective and takes only free slots, so that it does not delay flows that can still be served in time. The last
// retransmission may wait because it has no other chance.
func (ef *entryFlow) mayWait() bool {
	return ef.attempt == 0 || ef.attempt >= lastAttempt
}

// place sends a SYN to the best host that has not been tried. If there is none, or freeSlotTries hosts had no free
// slot, it asks any host to take the flow even if it has to wait, provided that the flow may wait.
func (e *Entry) place(now time.Time, f gue.Flow, route *plan.Route, ef *entryFlow, packet []byte, hdr *Header, out *Output) {
	service := route.SelectService(f)
	mark := Mark{Value: uint32(e.plan.Version)}
	hl := e.chooseHost(now, f, service, ef, false)
	if ef.mayWait() && (hl == nil || ef.placements >= freeSlotTries) {
		hl = e.chooseHost(now, f, service, ef, true)
		mark.Code = CodeForce
	}
	if hl == nil || ef.placements == maxPlacements {
		e.abandonPlacement(now, f, ef, hdr, out)
		return
	}
	action := ActionPlaced
	if ef.triedCount > 0 {
		action = ActionPlacedAgain
	}
	e.setStage(ef, nil, stageIdle)
	if ef.triedCount < maxTriedHosts {
		ef.triedHosts[ef.triedCount] = hl
	}
	ef.triedCount++
	ef.placements++
	ef.waitingSince = now
	e.setStage(ef, hl, stageOpening)
	e.forward(hl, packet, mark, out)
	out.record(Decision{
		Action: action, Flow: f, Instance: hl.host.Instance, Reason: service, PlanVersion: e.plan.Version,
		Count: hl.outstanding, AgeMs: hl.serviceTime.Milliseconds(),
	})
}

// abandonPlacement gives up placing a SYN, which the caller retransmits. The last retransmission is answered with a
// reset if every host returned the SYN, so that the caller does not have to wait for a timeout.
func (e *Entry) abandonPlacement(now time.Time, f gue.Flow, ef *entryFlow, hdr *Header, out *Output) {
	d := Decision{
		Action: ActionUnplaced, Flow: f, Reason: "silent", PlanVersion: e.plan.Version,
		Count: ef.triedCount, AgeMs: now.Sub(ef.waitingSince).Milliseconds(),
	}
	e.setStage(ef, nil, stageIdle)
	if hdr.Attempt >= lastAttempt && ef.declines == ef.triedCount {
		d.Reason = "reset"
		out.reset(e.Codec, e.Self, f, 0)
		e.flows.Remove(f)
	}
	out.DropReason = gue.ReasonNoTarget
	out.record(d)
}

// handleDecline places a SYN again after a host returned it.
func (e *Entry) handleDecline(now time.Time, f gue.Flow, route *plan.Route, hl *hostLoad, packet []byte, hdr *Header, out *Output) {
	hl.penalizeDecline(now, hdr.Mark.Code)
	ef, known := e.flows.Get(f)
	if !known {
		return
	}
	ef.declines++
	if ef.stage == stageOpening && ef.holder == hl {
		e.place(now, f, route, ef, packet, hdr, out)
	}
}
