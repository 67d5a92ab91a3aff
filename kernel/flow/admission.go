package flow

import (
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// objectiveWithoutPlan is the objective that an agent assumes until it has a plan. It serves for up to a second without
// one after its start, when targets are loaded most.
const objectiveWithoutPlan = 150 * time.Millisecond

// reasonCold is the reason for returning a SYN because the host is cold and has got all the flows that it may get.
const reasonCold = "cold"

// handshake is a flow whose SYN was sent to the target, and when.
type handshake struct {
	flow    gue.Flow
	started time.Time
}

// handleSYN forwards a SYN to the target if the flow is known or the target can accept a new flow. Otherwise it returns
// the SYN to the entry. The trailer is empty if the entry is of an older build.
func (a *Agent) handleSYN(now time.Time, from netip.AddrPort, f gue.Flow, trailer, packet []byte, hdr *Header, out *Output) {
	service, rate := decodeTrailer(trailer)
	if len(service) > 0 && string(service) != a.Service {
		a.refuse(from, f, CodeRefused, "otherService", packet, out)
		return
	}
	if a.plan == nil && rate > 0 {
		a.cold.rate = rate
	}
	af, known := a.flows.Get(f)
	// The SYN of a caller that closed the flow is a new flow.
	if known && af.state != stateClosed && !af.callerClosed {
		af.lastPacket = now
		a.expectSYNACK(now)
		a.sendToTarget(from.Addr(), packet, out)
		return
	}
	code, reason := a.checkNewFlow(now, f, hdr)
	if code != CodeRefused && a.plan == nil && len(service) == 0 {
		// Without a plan, nothing else tells whether the SYN is meant for this service.
		code, reason = CodeRefused, "unnamedService"
	}
	if code != CodeNone {
		a.refuse(from, f, code, reason, packet, out)
		return
	}
	if known {
		a.setIdle(af)
	}
	af = &agentFlow{state: stateOpening, busySince: now, lastPacket: now}
	a.track(f, af)
	a.setBusy(af, now)
	a.handshakes = append(a.handshakes, handshake{flow: f, started: now})
	a.expectSYNACK(now)
	a.sendToTarget(from.Addr(), packet, out)
}

// refuse returns a SYN to the entry.
func (a *Agent) refuse(to netip.AddrPort, f gue.Flow, code Code, reason string, packet []byte, out *Output) {
	mark := Mark{Code: code, Value: a.roomFor(f, code)}
	if reason == reasonCold {
		mark.Value = coldValue
	}
	a.Codec.SetMark(packet, mark)
	out.send(to, packet)
	out.record(Decision{Action: ActionRefused, Flow: f, Reason: reason, PlanVersion: a.planVersion(), Priority: a.priority(f), Count: a.busyCount})
}

// expectSYNACK records that a SYN is sent to the target.
func (a *Agent) expectSYNACK(now time.Time) {
	if a.liveness.unansweredSYN.IsZero() {
		a.liveness.unansweredSYN = now
	}
}

// checkNewFlow returns CodeNone if the target may receive a new flow, which then counts if the target is cold. Otherwise it
// returns the code and the reason for refusing the flow.
func (a *Agent) checkNewFlow(now time.Time, f gue.Flow, hdr *Header) (Code, string) {
	switch {
	case a.target == nil:
		return CodeRefused, "noTarget"
	case a.leaving:
		return CodeRefused, "leaving"
	case a.evacuated:
		return CodeRefused, "evacuated"
	case a.liveness.absent:
		return CodeRefused, "targetAbsent"
	case a.target.State != facts.TargetReady:
		return CodeRefused, "draining"
	case a.lastHeartbeat.IsZero() && now.Sub(a.started) > heartbeatGrace:
		return CodeRefused, "targetSilent"
	}
	var route *plan.Route
	if a.plan != nil {
		route = a.plan.Find(f.Service)
		// The route is not checked if the entry has a newer plan than this agent. The mark holds the low 32 bits of the
		// entry's plan version, so the comparison has to handle wraparound.
		if int32(hdr.Mark.Value-uint32(a.plan.Version)) <= 0 && (route == nil || !route.HasService(a.Service)) {
			return CodeRefused, "noRoute"
		}
	}
	if code, reason := a.checkCapacity(now, f, route, hdr); code != CodeNone {
		return code, reason
	}
	if !a.cold.admit(now, a.ColdLimits) {
		return CodeBusy, reasonCold
	}
	return CodeNone, ""
}

// checkCapacity refuses a flow that would have to wait for a slot, unless the entry allows waiting and the flow can
// still be answered within its route's objective. The last retransmission of a SYN, and a flow without an objective,
// may always wait, unless routes of higher priority want the host; the target itself then bounces it if it cannot hold
// more flows.
func (a *Agent) checkCapacity(now time.Time, f gue.Flow, route *plan.Route, hdr *Header) (Code, string) {
	slots := a.slots()
	a.expireHandshakes(now)
	a.occupancy.fill(now, a.busyCount, slots)
	switch {
	case a.busyCount < slots && !a.paceAllows(hdr):
		return CodeBusy, "pace"
	case a.busyCount < slots:
		return CodeNone, ""
	case hdr.Mark.Code != CodeForce:
		return CodeBusy, "busy"
	}
	objective := objectiveWithoutPlan
	if route != nil {
		objective = route.Objective
		if a.Contention && hdr.Attempt < lastAttempt && refusesAtOnce(route) {
			objective = max(objective-sinceFirstCopy(hdr.Attempt), 1)
		}
	}
	limited := hdr.Attempt < lastAttempt && objective > 0
	switch {
	case a.Contention:
		return a.checkWait(now, f, route, slots, limited, objective)
	case !limited:
		return CodeNone, ""
	}
	wait := a.responseTime * time.Duration(a.busyCount-slots+1) / time.Duration(slots)
	if wait+a.responseTime > objective {
		return CodeBusy, "wait"
	}
	return CodeNone, ""
}

// expireHandshakes stops counting flows as load if their caller sent no data after the SYN. Most of these SYNs were
// delayed for so long on their way that the caller has given up, and the others opened flows that are idle.
func (a *Agent) expireHandshakes(now time.Time) {
	for len(a.handshakes) > 0 && now.Sub(a.handshakes[0].started) > handshakeTimeout {
		af, known := a.flows.Peek(a.handshakes[0].flow)
		if known && !af.requested && now.Sub(af.busySince) > handshakeTimeout {
			a.scoreHandshake(now, a.handshakes[0].flow, af)
			a.setIdle(af)
		}
		a.handshakes = a.handshakes[1:]
	}
}
