package flow

import (
	"slices"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// askAgain is how long a search waits for an answer before it asks again, and doubles with each time: a datagram
	// may be lost, and an agent may just be starting.
	askAgain = 100 * time.Millisecond
	// searchLimit is how long a search lasts. Ends repeat a packet after 200 ms to 1.6 s, which begins another.
	searchLimit = 3 * time.Second
	// downAsked is how long a host that is down is asked: ends give flows up by then.
	downAsked = 10 * time.Second
	// downRounds is how often a host that is down is asked before its silence is taken for a denial.
	downRounds = 2
	// heldPackets is how many packets wait for a search: an end has at most 16 in flight.
	heldPackets = 16
	// maxSearches bounds the searches at once, and with heldPackets the memory that they take.
	maxSearches = 1024
	// settleTime is how long a group must be unchanged before a denial by all its hosts is certain: a new host is
	// known everywhere within an exchange.
	settleTime = 300 * time.Millisecond
)

// search is the question which host holds a flow. It lasts until a host affirms, all deny, or searchLimit.
type search struct {
	started time.Time
	asked   time.Time
	rounds  int
	digest  uint64
	// wide says that all hosts are asked, not just those that the flow may have been placed on.
	wide   bool
	denied []*hostLoad
	// maybe are the hosts that did not deny it but can't be sure.
	maybe []*hostLoad
	// held are the packets that wait, the first of which asks.
	held  [][]byte
	acked uint32
}

func (s *search) hold(packet []byte, v *View) {
	if len(s.held) < heldPackets {
		s.held = append(s.held, append([]byte(nil), packet...))
	}
	s.acked = v.Acknowledged
}

func (s *search) answered(l *hostLoad) bool {
	return contains(s.denied, l) || contains(s.maybe, l)
}

// group is the hosts that may hold a flow of a route.
type group struct {
	hosts  []*Host
	digest uint64
	// digests are the services' own, as agents tell them.
	digests map[string]uint32
}

func (e *Entry) groupOf(now time.Time, f gue.Flow, route *plan.Route) group {
	g := group{digests: map[string]uint32{}}
	for _, s := range route.Shares {
		one := e.directory.Group(s.Service)
		if one == nil {
			continue
		}
		g.digest = mix(g.digest ^ one.Digest)
		g.digests[s.Service] = uint32(one.Digest)
		e.order = one.rank(f, e.order)
		for _, r := range e.order {
			if l := e.load(r.host.Instance); !r.host.Down || now.Sub(l.downSince) < downAsked {
				g.hosts = append(g.hosts, r.host)
			}
		}
	}
	return g
}

// beginSearch asks which host holds the flow of a packet. Hosts in denied are known not to.
func (e *Entry) beginSearch(now time.Time, f gue.Flow, route *plan.Route, k *entryFlow, packet []byte, v *View, out *Output, denied ...*hostLoad) {
	if len(e.searches) >= maxSearches {
		out.Dropped = gue.ReasonRate
		return
	}
	e.setStage(k, nil, stageIdle)
	g := e.groupOf(now, f, route)
	k.search = &search{started: now, digest: g.digest, denied: denied}
	k.search.hold(packet, v)
	e.searches[f] = k
	e.ask(now, f, g, k, out)
}

// ask sends the first held packet to the hosts that did not answer yet: first to the likely ones, then to all.
func (e *Entry) ask(now time.Time, f gue.Flow, g group, k *entryFlow, out *Output) {
	s := k.search
	s.asked = now
	s.rounds++
	asked := 0
	for i, h := range g.hosts {
		if !s.wide && i >= candidates {
			break
		}
		if s.answered(e.load(h.Instance)) {
			continue
		}
		p := append([]byte(nil), s.held[0]...)
		e.Codec.SetMark(p, Mark{Code: CodeLocate})
		out.send(h.Packets, p)
		asked++
	}
	out.decide(Decision{
		Action: ActionSearch, Flow: f, PlanVersion: e.plan.Version, Count: asked, AgeMs: now.Sub(s.started).Milliseconds(),
	})
}

// notHere takes a host's denial.
func (e *Entry) notHere(now time.Time, f gue.Flow, route *plan.Route, l *hostLoad, packet []byte, v *View, out *Output) {
	k, known := e.flows.Get(f)
	if !known {
		k = &entryFlow{since: now, last: now}
		e.flows.Add(f, k)
	}
	if len(k.weak) > 0 {
		e.notWeak(now, f, route, k, l, packet, v, out)
		return
	}
	if k.search == nil {
		if k.holder != nil && k.holder != l {
			// The search ended meanwhile; the holder has the packet unless it came from the cache alone.
			return
		}
		e.beginSearch(now, f, route, k, packet, v, out, l)
		return
	}
	g := e.groupOf(now, f, route)
	if k.search.digest == g.digest && g.digests[l.host.Service] == v.Mark.Value && !contains(k.search.denied, l) {
		k.search.denied = append(k.search.denied, l)
	}
	e.progress(now, f, g, k, out)
}

// perhaps takes a host's word that it may hold a flow.
func (e *Entry) perhaps(now time.Time, f gue.Flow, route *plan.Route, l *hostLoad, out *Output) {
	k, known := e.flows.Get(f)
	if !known || k.search == nil {
		return
	}
	if !k.search.answered(l) {
		k.search.maybe = append(k.search.maybe, l)
	}
	e.progress(now, f, e.groupOf(now, f, route), k, out)
}

// progress ends a search, widens it, or asks again.
func (e *Entry) progress(now time.Time, f gue.Flow, g group, k *entryFlow, out *Output) {
	s := k.search
	if s.digest != g.digest {
		// Denials of other incarnations, or among fewer hosts, say nothing.
		s.digest, s.denied, s.maybe, s.wide = g.digest, nil, nil, true
		e.ask(now, f, g, k, out)
		return
	}
	left, likely := e.unanswered(g, s)
	switch {
	case len(s.maybe) > 0 && (left == 0 || now.Sub(s.started) > 2*askAgain):
		e.foundWeak(now, f, g, k, out)
	case left == 0 && len(g.hosts) > 0 && now.Sub(e.settledAt(g.digest)) >= settleTime:
		e.resetUnheld(now, f, k, out)
	case now.Sub(s.started) > searchLimit:
		e.giveUp(now, f, k, left, out)
	case left > 0 && (likely == 0 && !s.wide || now.Sub(s.asked) >= askAgain<<(s.rounds-1)):
		s.wide = true
		e.ask(now, f, g, k, out)
	}
}

// unanswered counts the hosts that did not answer, and the likely ones among them.
func (e *Entry) unanswered(g group, s *search) (left, likely int) {
	for i, h := range g.hosts {
		if s.answered(e.load(h.Instance)) || h.Down && s.rounds > downRounds {
			continue
		}
		left++
		if i < candidates {
			likely++
		}
	}
	return left, likely
}

// settledAt is when the group became as it is.
func (e *Entry) settledAt(digest uint64) time.Time {
	if at, known := e.settled[digest]; known {
		return at
	}
	return e.changed
}

// resetUnheld resets a flow that every host of a settled group denied.
func (e *Entry) resetUnheld(now time.Time, f gue.Flow, k *entryFlow, out *Output) {
	s := k.search
	out.reset(e.Codec, e.Self, f, s.acked)
	out.decide(Decision{
		Action: ActionReset, Flow: f, Reason: "nobodyHolds", PlanVersion: e.plan.Version,
		Count: len(s.denied), AgeMs: now.Sub(s.started).Milliseconds(),
	})
	e.flows.Remove(f)
}

func (e *Entry) giveUp(now time.Time, f gue.Flow, k *entryFlow, left int, out *Output) {
	out.decide(Decision{
		Action: ActionUncertain, Flow: f, Reason: "unanswered", PlanVersion: e.plan.Version,
		Count: left, AgeMs: now.Sub(k.search.started).Milliseconds(),
	})
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
	k.weak = nil
	s := k.search
	if s == nil {
		return
	}
	e.endSearch(f, k)
	out.decide(Decision{
		Action: ActionFound, Flow: f, Instance: l.host.Instance, PlanVersion: e.plan.Version,
		Count: len(s.denied), AgeMs: now.Sub(s.started).Milliseconds(),
	})
	for i, p := range s.held {
		if v, reason := e.Codec.Parse(p); reason == gue.ReasonNone {
			e.observe(now, k, &v)
		}
		if i > 0 {
			e.forward(l, p, Mark{}, out)
		}
	}
}

// foundWeak ends a search in which hosts did not deny the flow but none affirmed it: its packets go to all of them until
// one does.
func (e *Entry) foundWeak(now time.Time, f gue.Flow, g group, k *entryFlow, out *Output) {
	s := k.search
	e.endSearch(f, k)
	for _, h := range g.hosts {
		if l := e.load(h.Instance); !contains(s.denied, l) {
			k.weak = append(k.weak, l)
		}
	}
	e.setStage(k, s.maybe[0], stageIdle)
	out.decide(Decision{
		Action: ActionFound, Flow: f, Instance: s.maybe[0].host.Instance, Reason: "perhaps", PlanVersion: e.plan.Version,
		Count: len(k.weak), AgeMs: now.Sub(s.started).Milliseconds(),
	})
	for _, p := range s.held {
		e.spread(k, p, out)
	}
}

// spread sends a packet to every host that may hold its flow.
func (e *Entry) spread(k *entryFlow, packet []byte, out *Output) {
	e.Codec.SetMark(packet, Mark{Code: CodeLocate})
	for _, l := range k.weak {
		if l.host != nil {
			out.send(l.host.Packets, packet)
		}
	}
}

// notWeak takes the denial of a host that might have held the flow.
func (e *Entry) notWeak(now time.Time, f gue.Flow, route *plan.Route, k *entryFlow, l *hostLoad, packet []byte, v *View, out *Output) {
	k.weak = slices.DeleteFunc(k.weak, func(w *hostLoad) bool { return w == l })
	if len(k.weak) == 0 {
		e.beginSearch(now, f, route, k, packet, v, out)
	}
}

func (e *Entry) endSearch(f gue.Flow, k *entryFlow) {
	k.search = nil
	delete(e.searches, f)
}

// Search goes on with the searches under way. Call it every askAgain or so.
func (e *Entry) Search(now time.Time, out *Output) {
	for f, k := range e.searches {
		route := e.plan.Find(f.Service)
		if route == nil {
			e.flows.Remove(f)
			continue
		}
		e.progress(now, f, e.groupOf(now, f, route), k, out)
	}
}

func contains(all []*hostLoad, l *hostLoad) bool {
	for _, a := range all {
		if a == l {
			return true
		}
	}
	return false
}
