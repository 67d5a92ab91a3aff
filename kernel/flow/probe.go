package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// probeAll asks a target that started anew about every flow that was open: it bounces those that it does not hold.
func (a *Agent) probeAll(now time.Time, out *Output) {
	asked := 0
	for _, f := range a.flows.Keys() {
		k, _ := a.flows.Peek(f)
		if k.state != stateOpen || len(k.probe) == 0 {
			continue
		}
		asked++
		p := append([]byte(nil), k.probe...)
		a.Codec.SetMark(p, Mark{Value: probeMark})
		out.send(a.Target, p)
	}
	out.decide(Decision{Action: ActionProbed, Reason: "targetReborn", PlanVersion: a.planVersion(), Count: asked})
}

// resetFlow resets a flow that the target denied after it started anew.
func (a *Agent) resetFlow(now time.Time, f gue.Flow, out *Output) {
	k, known := a.flows.Peek(f)
	if !known || k.state != stateOpen {
		return
	}
	a.flows.Remove(f)
	out.reset(a.Codec, a.Self, f, k.acked)
	out.decide(Decision{
		Action: ActionReset, Flow: f, Reason: "targetReborn", PlanVersion: a.planVersion(), AgeMs: now.Sub(k.last).Milliseconds(),
	})
}

// Sweep forgets flows that ended or have been idle, and tells entries of flows that the target did not bounce. Call it
// a few times a second.
func (a *Agent) Sweep(now time.Time, out *Output) {
	a.prepare(now)
	a.expireOpenings(now)
	idle := defaultIdleTimeout
	if a.plan != nil && a.plan.IdleTimeout > 0 {
		idle = a.plan.IdleTimeout + idleMargin
	}
	for _, f := range a.flows.Keys() {
		k, _ := a.flows.Peek(f)
		age := now.Sub(k.last)
		if k.asker.IsValid() && now.Sub(k.asked) > bounceTime {
			a.tell(f, k, CodeMaybe, out)
		}
		switch {
		case age > idle, k.state == stateClosed && age > finishedTimeout, k.state == stateUnknown && age > finishedTimeout:
			a.flows.Remove(f)
		case k.busy && age > busyTimeout:
			a.setBusy(k, false, now)
		}
	}
}
