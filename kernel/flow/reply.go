package flow

import (
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// HandleTargetPacket handles a packet from the target.
func (a *Agent) HandleTargetPacket(now time.Time, packet []byte, out *Output) {
	a.ensureInitialized(now)
	hdr, reason := a.Codec.Parse(packet)
	a.lastTargetPacket = now
	a.liveness.unansweredSYN = time.Time{}
	a.noteTargetPresent()
	switch {
	case reason != gue.ReasonNone:
		out.DropReason = reason
	case hdr.Bounced:
		a.handleBounce(now, packet, &hdr, out)
	default:
		a.forwardReply(now, packet, &hdr, out)
	}
}

// handleBounce returns a bounced packet to the entry that it came from. If the packet was a probe, it resets the flow
// instead.
func (a *Agent) handleBounce(now time.Time, packet []byte, hdr *Header, out *Output) {
	f := hdr.FlowFromCaller()
	value := hdr.Mark.Value
	if value == probeMark {
		a.resetProbedFlow(now, f, out)
		return
	}
	af, known := a.flows.Get(f)
	if known && (hdr.SYN && af.state == stateOpening || !hdr.SYN && af.state != stateOpening) {
		a.flows.Remove(f)
	}
	if value == 0 {
		out.DropReason = gue.ReasonUnknownAddress
		return
	}
	code := CodeNotHere
	if hdr.SYN {
		code = CodeFull
		a.noteBounce()
		a.scoreBounce(now, f)
	}
	a.Codec.SetMark(packet, Mark{Code: code, Value: a.digest})
	out.send(a.entryAddress(value), packet)
	out.record(Decision{Action: ActionBounced, Flow: f, Reason: code.String(), PlanVersion: a.planVersion(), Count: a.busyCount})
}

// forwardReply updates the flow from a target's packet and sends the packet directly to the caller.
func (a *Agent) forwardReply(now time.Time, packet []byte, hdr *Header, out *Output) {
	f := hdr.FlowFromTarget()
	af, known := a.flows.Get(f)
	if hdr.RST && (!known || af.state == stateUnknown) {
		// The target does not hold the flow but was only sent a packet to locate the holder, which may be another host.
		out.DropReason = gue.ReasonNoTarget
		out.record(Decision{Action: ActionDropped, Flow: f, Reason: "resetOfUnknownFlow", PlanVersion: a.planVersion()})
		return
	}
	if !known {
		af = &agentFlow{state: stateUnknown, busySince: now}
		a.track(f, af)
	}
	af.lastPacket = now
	switch {
	case hdr.SYNACK:
		af.synAckSequence, af.synAckSeen = hdr.Sequence, true
		a.noteAccepted()
	case hdr.RST:
		a.scoreUnanswered(now, f, af)
		a.setIdle(af)
		af.state, af.callerClosed = stateClosed, true
	case hdr.Length > 0 || hdr.FIN:
		a.scoreAnswer(now, f, af, hdr.Length)
		a.recordAnswer(now, f, af, out)
	}
	if hdr.Length > 0 && af.state <= stateOpening {
		af.state = stateOpen
	}
	if af.locatingEntry.IsValid() {
		// A bare ACK is inconclusive: the target also sends it for a flow that has ended.
		code := CodeMaybe
		if af.state == stateOpen {
			code = CodeHere
		}
		a.answerLocate(f, af, code, out)
	}
	if hdr.FIN {
		af.state = stateClosed
	}
	a.Codec.SetMark(packet, Mark{})
	out.send(callerAddress(f, a.Self), packet)
}

// recordAnswer ends the flow's request at the first bytes of the answer, and records a decision if the answer missed
// the route's objective.
func (a *Agent) recordAnswer(now time.Time, f gue.Flow, af *agentFlow, out *Output) {
	if !af.busy {
		return
	}
	a.observePace(now, f, now.Sub(af.busySince), out)
	elapsed := a.endRequest(now, f, af)
	a.responseTime += time.Duration(serviceTimeWeight * float64(elapsed-a.responseTime))
	if a.ObserveServiceTime != nil {
		a.ObserveServiceTime(elapsed.Seconds())
	}
	if a.plan == nil {
		return
	}
	if r := a.plan.Find(f.Service); r != nil && r.Objective > 0 && elapsed > r.Objective {
		out.record(Decision{
			Action: ActionAnswerLate, Flow: f, Request: af.requestID, PlanVersion: a.plan.Version, Count: a.busyCount, AgeMs: elapsed.Milliseconds(),
		})
	}
}

// answerLocate tells the waiting entry whether the target holds the flow. The answer is a marked packet without data
// that looks as if the caller had sent it, so that the entry derives the same flow from it.
func (a *Agent) answerLocate(f gue.Flow, af *agentFlow, code Code, out *Output) {
	answer := a.Codec.EncodeReset(make([]byte, a.Codec.HeaderLength()), gue.Flow{Caller: f.Service, Service: f.Caller}, 0)
	a.Codec.SetMark(answer, Mark{Code: code, Value: a.digest})
	out.send(netip.AddrPortFrom(af.locatingEntry, a.Self.Port()), answer)
	af.locatingEntry = netip.Addr{}
}
