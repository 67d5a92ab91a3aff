package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// handleSYN places a new flow on a host. The retransmitted SYN of an opening flow is placed on another host, and the
// SYN of an established flow is forwarded to the holder.
func (e *Entry) handleSYN(now time.Time, f gue.Flow, route *plan.Route, packet []byte, hdr *Header, out *Output) {
	ef, known := e.flows.Get(f)
	if known && (ef.stage == stageIdle || ef.stage == stageBusy) && ef.holder != nil {
		e.forwardSYN(ef.holder, packet, Mark{Value: uint32(e.plan.Version)}, out)
		return
	}
	if e.awaitsHost(f, route) && e.hold(now, f, packet) {
		return
	}
	e.startFlow(now, f, route, packet, hdr, out)
}

// startFlow places the SYN of a flow whose holder is unknown.
func (e *Entry) startFlow(now time.Time, f gue.Flow, route *plan.Route, packet []byte, hdr *Header, out *Output) {
	ef, known := e.flows.Get(f)
	// A later copy of a SYN that was dropped continues the flow: a host may have accepted an earlier one.
	continued := known && (ef.stage == stageOpening || hdr.Attempt > ef.attempt && ef.triedCount > 0)
	if !continued {
		if known {
			// The SYN begins a new flow, to which a search for the holder of the old one no longer applies.
			e.endSearch(f, ef)
		}
		ef = &entryFlow{stage: stageIdle, waitingSince: now}
		e.flows.Add(f, ef)
	}
	if ef.stage == stageOpening && hdr.Attempt > ef.attempt {
		ef.holder.penalizeSYNTimeout(now, ef.waitingSince)
	}
	if hdr.Attempt == 0 && e.Contention {
		e.chances.noteArrival(now, route)
	}
	ef.lastPacket = now
	ef.attempt, ef.placements, ef.coldDeclines, ef.pacedDeclines, ef.refusals = hdr.Attempt, 0, 0, 0, 0
	e.place(now, f, route, ef, packet, hdr, out)
}

// mayWait reports whether the flow may wait for a slot. A flow whose SYN was retransmitted once has usually missed its
// objective. Then it takes only free slots, so that it does not delay flows that can still meet theirs. The last
// retransmission may wait because the caller gives up after it.
func (e *Entry) mayWait(route *plan.Route, ef *entryFlow) bool {
	objectiveLeft := e.Contention && refusesAtOnce(route) && sinceFirstCopy(ef.attempt) < route.Objective
	return ef.attempt == 0 || ef.attempt >= lastAttempt || objectiveLeft
}

// place sends a SYN to the host that the policy chooses among the hosts that have not been tried. If there is none, or
// freeSlotTries hosts returned the SYN, it sends the SYN to any host with CodeForce, provided that the flow may wait.
func (e *Entry) place(now time.Time, f gue.Flow, route *plan.Route, ef *entryFlow, packet []byte, hdr *Header, out *Output) {
	service := route.SelectService(f)
	mark := Mark{Value: uint32(e.plan.Version)}
	hl := e.chooseHost(now, f, service, ef, false)
	if e.mayWait(route, ef) && (hl == nil || ef.placements-ef.pacedDeclines >= freeSlotTries) {
		hl = e.chooseHost(now, f, service, ef, true)
		mark.Code = CodeForce
	}
	if hl == nil || ef.placements == maxPlacements {
		e.abandonPlacement(now, f, route, ef, hdr, out)
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
	e.forwardSYN(hl, packet, mark, out)
	e.ejections.noteSent(now, service, mark)
	out.record(Decision{
		Action: action, Flow: f, Instance: hl.host.Instance, Reason: service, PlanVersion: e.plan.Version,
		Priority: route.Priority, Remote: hl.host.DataCentre != e.DataCentre, Count: hl.outstanding, AgeMs: hl.serviceTime.Milliseconds(),
	})
}

// forwardSYN sends a SYN to a host, or drops it if the host has left. A trailer names the host's service, so that an agent
// that has taken over the host's address refuses the SYN if it belongs to another service. It also names the rate that a
// cold host bears, for an agent that has no plan yet.
func (e *Entry) forwardSYN(hl *hostLoad, packet []byte, m Mark, out *Output) {
	if hl.host != nil && hl.host.SynTrailer {
		packet = e.Codec.AppendTrailer(packet, encodeTrailer(hl.host.Service, e.plan.FindService(hl.host.Service)))
	}
	e.forward(hl, packet, m, out)
}

// abandonPlacement drops a SYN that could not be placed; the caller retransmits it. The last retransmission is answered
// with a reset if every tried host returned the SYN, so that the caller does not have to wait for a timeout. So is the first
// copy if the flow is hopeless, and any copy if the hosts are all evacuated, or all cold and full.
func (e *Entry) abandonPlacement(now time.Time, f gue.Flow, route *plan.Route, ef *entryFlow, hdr *Header, out *Output) {
	d := Decision{
		Action: ActionUnplaced, Flow: f, Reason: "silent", PlanVersion: e.plan.Version, Priority: route.Priority,
		Count: ef.triedCount, AgeMs: now.Sub(ef.waitingSince).Milliseconds(),
	}
	e.setStage(ef, nil, stageIdle)
	reason := e.resetReason(now, route.SelectService(f), ef, hdr)
	if e.Contention && ef.isHopeless(route) && e.chances.noteTurnedAway(now, route) && reason == "" {
		d.Action, reason = ActionRefusedAtOnce, "reset"
	}
	if reason != "" {
		d.Reason = reason
		out.sendReset(e.Codec, e.Self, f, 0)
		e.flows.Remove(f)
	}
	out.DropReason = gue.ReasonNoTarget
	out.record(d)
}

// resetReason returns why the flow whose SYN could not be placed is to be reset, or "" if it is not.
func (e *Entry) resetReason(now time.Time, service string, ef *entryFlow, hdr *Header) string {
	g := e.directory.Group(service)
	switch {
	case ef.declines != ef.triedCount:
		return ""
	case hdr.Attempt >= lastAttempt:
		return "reset"
	case hdr.Attempt > 0:
		// A host may have accepted an earlier copy through another entry.
		return ""
	case g != nil && g.onlyEvacuated():
		return "evacuated"
	case e.allCold(now, g, ef):
		return "cold"
	}
	return ""
}

// handleDecline sends a SYN that a host returned to another host.
func (e *Entry) handleDecline(now time.Time, f gue.Flow, route *plan.Route, hl *hostLoad, packet []byte, hdr *Header, out *Output) {
	hl.penalizeDecline(now, hdr.Mark)
	if hdr.Mark.Code == CodeBusy && !hdr.Mark.isCold() {
		e.rooms.add(now, hl.room, hl.host != nil && hl.host.DataCentre == e.DataCentre)
		e.ejections.noteReturned(now, hl)
	}
	ef, known := e.flows.Get(f)
	if !known {
		return
	}
	if ef.stage != stageOpening && ef.holder == hl && hl.host.Evacuated {
		// The SYN went to the holder of an earlier flow of the same caller port, which has ended.
		e.startFlow(now, f, route, packet, hdr, out)
		return
	}
	ef.countDecline(hdr.Mark, hl)
	if ef.stage == stageOpening && ef.holder == hl {
		e.place(now, f, route, ef, packet, hdr, out)
	}
}
