package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// searchTimeout is how long a search waits for answers before the next packet begins another: less than the
	// 200 ms after which ends repeat a packet.
	searchTimeout = 150 * time.Millisecond
	// heldPackets is how many packets wait for a search: an end has at most 16 in flight.
	heldPackets = 16
	// settleTime is how long the directory must be unchanged before a denial by all hosts is certain: a new host is
	// known everywhere within two exchanges of 250 ms.
	settleTime = 500 * time.Millisecond
)

// search is the question which host holds a flow.
type search struct {
	started time.Time
	digest  uint64
	asked   []*hostLoad
	denied  []*hostLoad
	held    [][]byte
	acked   uint32
}

func (s *search) hold(packet []byte, v *View) {
	if len(s.held) < heldPackets {
		s.held = append(s.held, append([]byte(nil), packet...))
	}
	s.acked = v.Acknowledged
}

// groupsOf returns the hosts that may hold a flow of the route.
func (e *Entry) groupsOf(route *plan.Route) ([]*Group, uint64) {
	var groups []*Group
	var digest uint64
	for _, s := range route.Shares {
		if g := e.directory.Group(s.Service); g != nil {
			groups = append(groups, g)
			digest = mix(digest ^ g.Digest)
		}
	}
	return groups, digest
}

func (e *Entry) beginSearch(now time.Time, f gue.Flow, route *plan.Route, k *entryFlow, packet []byte, v *View, out *Output) {
	_, digest := e.groupsOf(route)
	k.search = &search{started: now, digest: digest, acked: v.Acknowledged}
	e.ask(now, f, route, k, packet, out)
}

// ask sends the packet to the hosts asked next: those that the flow may have been placed on, then all others.
func (e *Entry) ask(now time.Time, f gue.Flow, route *plan.Route, k *entryFlow, packet []byte, out *Output) {
	groups, _ := e.groupsOf(route)
	before := len(k.search.asked)
	e.Codec.SetMark(packet, Mark{Code: CodeLocate})
	for _, g := range groups {
		limit := len(g.Hosts)
		if before == 0 {
			limit = min(limit, candidates)
		}
		e.order = g.rank(f, e.order)
		for _, r := range e.order[:limit] {
			l := e.load(r.host.Instance)
			if contains(k.search.asked, l) {
				continue
			}
			k.search.asked = append(k.search.asked, l)
			out.send(r.host.Packets, packet)
		}
	}
	if asked := len(k.search.asked) - before; asked > 0 {
		out.decide(Decision{Action: ActionSearch, Flow: f, PlanVersion: e.plan.Version, Count: asked})
		return
	}
	e.conclude(now, f, route, k, out)
}

// notHere takes a host's denial.
func (e *Entry) notHere(now time.Time, f gue.Flow, route *plan.Route, l *hostLoad, packet []byte, v *View, out *Output) {
	k, known := e.flows.Get(f)
	if !known {
		k = &entryFlow{since: now, last: now}
		e.flows.Add(f, k)
	}
	if k.holder != nil && k.holder != l && k.search == nil {
		e.forward(k.holder, packet, Mark{}, out)
		return
	}
	if k.search == nil || now.Sub(k.search.started) >= searchTimeout {
		e.setStage(k, nil, stageIdle)
		_, digest := e.groupsOf(route)
		k.search = &search{started: now, digest: digest, acked: v.Acknowledged, asked: []*hostLoad{l}, denied: []*hostLoad{l}}
		e.ask(now, f, route, k, packet, out)
		return
	}
	if !contains(k.search.denied, l) {
		k.search.denied = append(k.search.denied, l)
	}
	if len(k.search.denied) >= len(k.search.asked) {
		e.ask(now, f, route, k, packet, out)
	}
}

// conclude ends a search that no host affirmed. It resets the flow only if every host of an unchanged, settled
// directory denied it.
func (e *Entry) conclude(now time.Time, f gue.Flow, route *plan.Route, k *entryFlow, out *Output) {
	s := k.search
	_, digest := e.groupsOf(route)
	d := Decision{
		Action: ActionReset, Flow: f, Reason: "nobodyHolds", PlanVersion: e.plan.Version,
		Count: len(s.denied), AgeMs: now.Sub(s.started).Milliseconds(),
	}
	switch {
	case len(s.denied) == 0 || len(s.denied) < len(s.asked):
		d.Action, d.Reason = ActionUncertain, "unanswered"
	case digest != s.digest || now.Sub(e.settled) < settleTime:
		d.Action, d.Reason = ActionUncertain, "unsettled"
	default:
		out.send(callerAddress(f, e.Self), e.Codec.PutReset(make([]byte, e.Codec.HeaderLength()), f, s.acked))
	}
	out.decide(d)
	e.flows.Remove(f)
}

// found takes a host's word that it holds a flow, and sends it what waited.
func (e *Entry) found(now time.Time, f gue.Flow, l *hostLoad, out *Output) {
	k, known := e.flows.Get(f)
	if !known {
		k = &entryFlow{since: now}
		e.flows.Add(f, k)
	}
	k.last = now
	e.setStage(k, l, stageIdle)
	if k.search == nil {
		return
	}
	out.decide(Decision{
		Action: ActionFound, Flow: f, Instance: l.host.Instance, PlanVersion: e.plan.Version,
		Count: len(k.search.asked), AgeMs: now.Sub(k.search.started).Milliseconds(),
	})
	for _, p := range k.search.held {
		if v, reason := e.Codec.Parse(p); reason == gue.ReasonNone {
			e.observe(now, k, &v)
		}
		e.forward(l, p, Mark{}, out)
	}
	k.search = nil
}

func contains(all []*hostLoad, l *hostLoad) bool {
	for _, a := range all {
		if a == l {
			return true
		}
	}
	return false
}
