package flow

import (
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// opening is a flow whose opening packet the target got.
type opening struct {
	flow gue.Flow
	at   time.Time
}

// open is the last gate before the target: it gives a new flow back unless the target may take it.
func (a *Agent) open(now time.Time, from netip.AddrPort, f gue.Flow, packet []byte, v *View, out *Output) {
	k, known := a.flows.Get(f)
	if known && k.state != stateClosed {
		k.last = now
		a.deliver(from.Addr(), packet, out)
		return
	}
	if code, why := a.gate(now, f, v); code != CodeNone {
		a.Codec.SetMark(packet, Mark{Code: code})
		out.send(from, packet)
		out.decide(Decision{Action: ActionRefused, Flow: f, Reason: why, PlanVersion: a.planVersion(), Count: a.busy})
		return
	}
	k = &agentFlow{state: stateOpening, since: now, last: now}
	a.flows.Add(f, k)
	a.setBusy(k, true, now)
	a.openings = append(a.openings, opening{flow: f, at: now})
	a.deliver(from.Addr(), packet, out)
}

// gate says why a new flow may not go to the target, or CodeNone.
func (a *Agent) gate(now time.Time, f gue.Flow, v *View) (Code, string) {
	switch {
	case a.target == nil:
		return CodeRefused, "noTarget"
	case a.leaving:
		return CodeRefused, "leaving"
	case a.target.State != facts.TargetReady:
		return CodeRefused, "draining"
	case a.heard.IsZero() && now.Sub(a.started) > trustWithoutBeat:
		return CodeRefused, "targetSilent"
	}
	var route *plan.Route
	if a.plan != nil {
		route = a.plan.Find(f.Service)
		// An entry with a newer plan knows better than this agent; the marks carry the low 32 bits.
		if int32(v.Mark.Value-uint32(a.plan.Version)) <= 0 && (route == nil || !route.HasService(a.Service)) {
			return CodeRefused, "noRoute"
		}
	}
	return a.admit(now, route, v)
}

// admit gives a flow back that would have to wait: always unless the entry allows it, and then if it would wait
// longer than its objective leaves time for. The last copy of an opening packet waits as long as the target lets it.
func (a *Agent) admit(now time.Time, route *plan.Route, v *View) (Code, string) {
	slots := max(a.target.Slots, 1)
	a.expireOpenings(now)
	switch {
	case a.busy < slots:
		return CodeNone, ""
	case v.Mark.Code != CodeForce:
		return CodeBusy, "busy"
	case v.Copy >= lastCopy || route == nil || route.Objective == 0:
		return CodeNone, ""
	}
	wait := a.serviceTime * time.Duration(a.busy-slots+1) / time.Duration(slots)
	if wait+a.serviceTime > route.Objective {
		return CodeBusy, "wait"
	}
	return CodeNone, ""
}

// expireOpenings stops counting flows as load whose caller does not go on: most were opened by packets that had
// waited somewhere for long.
func (a *Agent) expireOpenings(now time.Time) {
	for len(a.openings) > 0 && now.Sub(a.openings[0].at) > acceptTime {
		k, known := a.flows.Peek(a.openings[0].flow)
		if known && k.state == stateOpening && now.Sub(k.since) > acceptTime {
			a.setBusy(k, false, now)
		}
		a.openings = a.openings[1:]
	}
}
