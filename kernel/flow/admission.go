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

// handshake is a flow whose SYN was sent to the target, and when.
type handshake struct {
	flow    gue.Flow
	started time.Time
}

// handleSYN forwards a SYN to the target if the flow is known or the target can accept a new flow. Otherwise it returns
// the SYN to the entry.
func (a *Agent) handleSYN(now time.Time, from netip.AddrPort, f gue.Flow, packet []byte, hdr *Header, out *Output) {
	af, known := a.flows.Get(f)
	if known && af.state != stateClosed {
		af.lastPacket = now
		a.expectSYNACK(now)
		a.sendToTarget(from.Addr(), packet, out)
		return
	}
	if code, reason := a.checkNewFlow(now, f, hdr); code != CodeNone {
		a.Codec.SetMark(packet, Mark{Code: code, Value: a.roomFor(f, code)})
		out.send(from, packet)
		out.record(Decision{Action: ActionRefused, Flow: f, Reason: reason, PlanVersion: a.planVersion(), Priority: a.priority(f), Count: a.busyCount})
		return
	}
	af = &agentFlow{state: stateOpening, busySince: now, lastPacket: now}
	a.track(f, af)
	a.setBusy(af, now)
	a.handshakes = append(a.handshakes, handshake{flow: f, started: now})
	a.expectSYNACK(now)
	a.sendToTarget(from.Addr(), packet, out)
}

// expectSYNACK records that a SYN is sent to the target.
func (a *Agent) expectSYNACK(now time.Time) {
	if a.liveness.unansweredSYN.IsZero() {
		a.liveness.unansweredSYN = now
	}
}

// checkNewFlow returns CodeNone if the target may receive a new flow. Otherwise it returns the code and the reason for
// refusing the flow.
func (a *Agent) checkNewFlow(now time.Time, f gue.Flow, hdr *Header) (Code, string) {
	switch {
	case a.target == nil:
		return CodeRefused, "noTarget"
	case a.leaving:
		return CodeRefused, "leaving"
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
	return a.checkCapacity(now, f, route, hdr)
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
	case a.busyCount < slots:
		return CodeNone, ""
	case hdr.Mark.Code != CodeForce:
		return CodeBusy, "busy"
	}
	objective := objectiveWithoutPlan
	if route != nil {
		objective = route.Objective
		if hdr.Attempt < lastAttempt && refusesAtOnce(route) {
			objective = max(objective-sinceFirstCopy(hdr.Attempt), 1)
		}
	}
	return a.checkWait(now, f, route, slots, hdr.Attempt < lastAttempt && objective > 0, objective)
}

// expireHandshakes stops counting flows as load if their caller sent no data after the SYN. Most of these SYNs were
// delayed for so long on their way that the caller has given up, and the others opened flows that are idle.
func (a *Agent) expireHandshakes(now time.Time) {
	for len(a.handshakes) > 0 && now.Sub(a.handshakes[0].started) > handshakeTimeout {
		af, known := a.flows.Peek(a.handshakes[0].flow)
		if known && !af.requested && now.Sub(af.busySince) > handshakeTimeout {
			a.setIdle(af)
		}
		a.handshakes = a.handshakes[1:]
	}
}
