package flow

import (
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// handshake is a new flow whose SYN was sent to the target.
type handshake struct {
	flow    gue.Flow
	started time.Time
}

// handleSYN delivers the SYN of a known flow, and of a new one if the target can take it. Otherwise it returns the
// packet to the entry.
func (a *Agent) handleSYN(now time.Time, from netip.AddrPort, f gue.Flow, packet []byte, hdr *Header, out *Output) {
	af, known := a.flows.Get(f)
	if known && af.state != stateClosed {
		af.lastPacket = now
		a.sendToTarget(from.Addr(), packet, out)
		return
	}
	if code, reason := a.checkNewFlow(now, f, hdr); code != CodeNone {
		a.Codec.SetMark(packet, Mark{Code: code})
		out.send(from, packet)
		out.record(Decision{Action: ActionRefused, Flow: f, Reason: reason, PlanVersion: a.planVersion(), Count: a.busyCount})
		return
	}
	af = &agentFlow{state: stateOpening, busySince: now, lastPacket: now}
	a.flows.Add(f, af)
	a.setBusy(af, true, now)
	a.handshakes = append(a.handshakes, handshake{flow: f, started: now})
	a.sendToTarget(from.Addr(), packet, out)
}

// checkNewFlow returns CodeNone if a new flow may go to the target, or the code and the reason for refusing it.
func (a *Agent) checkNewFlow(now time.Time, f gue.Flow, hdr *Header) (Code, string) {
	switch {
	case a.target == nil:
		return CodeRefused, "noTarget"
	case a.leaving:
		return CodeRefused, "leaving"
	case a.target.State != facts.TargetReady:
		return CodeRefused, "draining"
	case a.lastHeartbeat.IsZero() && now.Sub(a.started) > heartbeatGrace:
		return CodeRefused, "targetSilent"
	}
	var route *plan.Route
	if a.plan != nil {
		route = a.plan.Find(f.Service)
		// An entry with a newer plan is trusted over this agent's plan. Marks carry the low 32 bits of the version.
		if int32(hdr.Mark.Value-uint32(a.plan.Version)) <= 0 && (route == nil || !route.HasService(a.Service)) {
			return CodeRefused, "noRoute"
		}
	}
	return a.checkCapacity(now, route, hdr)
}

// checkCapacity refuses a flow that would have to wait for a slot, unless the entry allows waiting and the flow can
// still be answered within its route's objective. The last retransmission of a SYN waits as long as the target
// allows.
func (a *Agent) checkCapacity(now time.Time, route *plan.Route, hdr *Header) (Code, string) {
	slots := max(a.target.Slots, 1)
	a.expireHandshakes(now)
	switch {
	case a.busyCount < slots:
		return CodeNone, ""
	case hdr.Mark.Code != CodeForce:
		return CodeBusy, "busy"
	case hdr.Attempt >= lastAttempt || route == nil || route.Objective == 0:
		return CodeNone, ""
	}
	wait := a.serviceTime * time.Duration(a.busyCount-slots+1) / time.Duration(slots)
	if wait+a.serviceTime > route.Objective {
		return CodeBusy, "wait"
	}
	return CodeNone, ""
}

// expireHandshakes stops counting flows as load whose caller sent nothing after the SYN. Most of these SYNs had been
// delayed for a long time on their way.
func (a *Agent) expireHandshakes(now time.Time) {
	for len(a.handshakes) > 0 && now.Sub(a.handshakes[0].started) > handshakeTimeout {
		af, known := a.flows.Peek(a.handshakes[0].flow)
		if known && af.state == stateOpening && now.Sub(af.busySince) > handshakeTimeout {
			a.setBusy(af, false, now)
		}
		a.handshakes = a.handshakes[1:]
	}
}
