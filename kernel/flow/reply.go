package flow

import (
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// FromTarget decides about a packet that the target sent.
func (a *Agent) FromTarget(now time.Time, packet []byte, out *Output) {
	a.prepare(now)
	v, reason := a.Codec.Parse(packet)
	switch {
	case reason != gue.ReasonNone:
		out.Dropped = reason
	case v.Bounced:
		a.bounced(now, packet, &v, out)
	default:
		a.reply(now, packet, &v, out)
	}
}

// bounced gives a packet back to its entry that the target did not take.
func (a *Agent) bounced(now time.Time, packet []byte, v *View, out *Output) {
	f := v.FromCaller()
	value := v.Mark.Value
	if value == probeMark {
		a.resetFlow(now, f, out)
		return
	}
	k, known := a.flows.Get(f)
	if known && (v.Opening && k.state == stateOpening || !v.Opening && k.state != stateOpening) {
		a.flows.Remove(f)
	}
	if value == 0 {
		out.Dropped = gue.ReasonUnknownAddress
		return
	}
	code := CodeNotHere
	if v.Opening {
		code = CodeFull
	}
	a.Codec.SetMark(packet, Mark{Code: code, Value: a.digest})
	out.send(a.entry(value), packet)
	out.decide(Decision{Action: ActionBounced, Flow: f, Reason: code.String(), PlanVersion: a.planVersion(), Count: a.busy})
}

// reply sends a target's packet to the caller.
func (a *Agent) reply(now time.Time, packet []byte, v *View, out *Output) {
	f := v.FromTarget()
	k, known := a.flows.Get(f)
	if v.Reset && (!known || k.state == stateUnknown) {
		// A target that was merely asked about a flow must not end it for the host that holds it.
		out.Dropped = gue.ReasonNoTarget
		out.decide(Decision{Action: ActionDropped, Flow: f, Reason: "resetOfUnknownFlow", PlanVersion: a.planVersion()})
		return
	}
	if !known {
		k = &agentFlow{state: stateUnknown, since: now}
		a.flows.Add(f, k)
	}
	k.last = now
	switch {
	case v.Accepting:
		k.accepted, k.hasAccepted = v.Sequence, true
	case v.Reset:
		a.setBusy(k, false, now)
		k.state = stateClosed
	case v.Length > 0 || v.Finish:
		a.answered(now, f, k, out)
	}
	if v.Length > 0 && k.state <= stateOpening {
		k.state = stateOpen
	}
	if k.asker.IsValid() {
		// An acknowledgement alone may be that of a flow that ended here.
		code := CodeMaybe
		if k.state == stateOpen {
			code = CodeHere
		}
		a.tell(f, k, code, out)
	}
	if v.Finish {
		k.state = stateClosed
	}
	a.Codec.SetMark(packet, Mark{})
	out.send(callerAddress(f, a.Self), packet)
}

// answered notes the first octets of an answer, and tells when they come later than the route's objective.
func (a *Agent) answered(now time.Time, f gue.Flow, k *agentFlow, out *Output) {
	if !k.busy {
		return
	}
	took := now.Sub(k.since)
	a.setBusy(k, false, now)
	if a.Served != nil {
		a.Served(took.Seconds())
	}
	if a.plan == nil {
		return
	}
	if r := a.plan.Find(f.Service); r != nil && r.Objective > 0 && took > r.Objective {
		out.decide(Decision{
			Action: ActionLate, Flow: f, Request: k.request, PlanVersion: a.plan.Version, Count: a.busy, AgeMs: took.Milliseconds(),
		})
	}
}

// tell answers the entry that asked about a flow. The answer is a header alone.
func (a *Agent) tell(f gue.Flow, k *agentFlow, code Code, out *Output) {
	answer := a.Codec.PutReset(make([]byte, a.Codec.HeaderLength()), gue.Flow{Caller: f.Service, Service: f.Caller}, 0)
	a.Codec.SetMark(answer, Mark{Code: code, Value: a.digest})
	out.send(netip.AddrPortFrom(k.asker, a.Self.Port()), answer)
	k.asker = netip.Addr{}
}
