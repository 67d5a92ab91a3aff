package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// probeOpenFlows resends a packet of every open flow to a target that has restarted. The target bounces the packets of
// flows that it does not hold.
func (a *Agent) probeOpenFlows(now time.Time, out *Output) {
	probed := 0
	for _, f := range a.flows.Keys() {
		af, _ := a.flows.Peek(f)
		if af.state != stateOpen || len(af.probePacket) == 0 {
			continue
		}
		probed++
		p := append([]byte(nil), af.probePacket...)
		a.Codec.SetMark(p, Mark{Value: probeMark})
		out.send(a.Target, p)
	}
	out.record(Decision{Action: ActionProbed, Reason: "targetReborn", PlanVersion: a.planVersion(), Count: probed})
}

// resetProbedFlow resets a flow whose probe the restarted target bounced.
func (a *Agent) resetProbedFlow(now time.Time, f gue.Flow, out *Output) {
	af, known := a.flows.Peek(f)
	if !known || af.state != stateOpen {
		return
	}
	a.flows.Remove(f)
	out.sendReset(a.Codec, a.Self, f, af.lastAck)
	out.record(Decision{
		Action: ActionReset, Flow: f, Reason: "targetReborn", PlanVersion: a.planVersion(), AgeMs: now.Sub(af.lastPacket).Milliseconds(),
	})
}

// Sweep removes closed and idle flows, and stops counting unanswered SYNs and requests as load. It answers entries that
// asked about flows whose packets the target has not bounced within bounceTimeout. Call it a few times a second.
func (a *Agent) Sweep(now time.Time, out *Output) {
	a.ensureInitialized(now)
	a.expireHandshakes(now)
	a.updateDigests(now)
	idleTimeout := defaultIdleTimeout
	if a.plan != nil && a.plan.IdleTimeout > 0 {
		idleTimeout = a.plan.IdleTimeout + idleMargin
	}
	if a.flows.Len() == 0 {
		clear(a.trackedRoutes)
	}
	for _, f := range a.flows.Keys() {
		af, _ := a.flows.Peek(f)
		age := now.Sub(af.lastPacket)
		a.scoreHanging(now, f, af)
		if af.locatingEntry.IsValid() && now.Sub(af.locateReceived) > bounceTimeout && a.answerFor(f) != answerDenied {
			a.answerLocate(f, af, CodeMaybe, out)
		}
		switch {
		case age > idleTimeout, af.state == stateClosed && af.callerClosed && age > closedTimeout, af.state == stateUnknown && age > closedTimeout:
			a.flows.Remove(f)
		case af.busy && age > busyTimeout:
			a.setIdle(af)
		}
	}
}
