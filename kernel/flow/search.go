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
	// downRounds is how often a host that is down is asked again before its silence is taken for a denial.
	downRounds = 2
	// heldPackets is how many packets wait for a search: an end has at most 16 in flight.
	heldPackets = 16
	// maxSearches bounds the searches at once, and with heldPackets the memory that they take.
	maxSearches = 1024
	// asksAtOnce bounds the packets that one step sends for searches: some 8 ms of the smallest entry's time.
	asksAtOnce = 256
	// settleTime is how long a group must be unchanged before a denial by all its hosts is certain: a new host is
	// known everywhere within an exchange.
	settleTime = 300 * time.Millisecond
)

// search is the question which host holds a flow. It lasts until a host affirms, all deny, or searchLimit.
type search struct {
	started time.Time
	asked   time.Time
	// repeats is how often time alone made it ask again.
	repeats int
	group   group
	// answers are what the hosts of the group said, in their order.
	answers []answer
	// reach is how many hosts of the group are asked so far.
	reach int
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

// answer is what a host said about a flow.
type answer uint8

const (
	answerNone answer = iota
	answerDenied
	// answerMaybe is that of a host that did not deny the flow but can't be sure.
	answerMaybe
)

// note keeps a host's answer; a denial is not taken back.
func (s *search) note(l *hostLoad, a answer) {
	if i := slices.Index(s.group.hosts, l); i >= 0 && s.answers[i] != answerDenied {
		s.answers[i] = a
	}
}

func (s *search) count(a answer) int {
	n := 0
	for _, held := range s.answers {
		if held == a {
			n++
		}
	}
	return n
}

// unanswered counts the hosts that did not answer, and those of them that were asked.
func (s *search) unanswered() (left, asked int) {
	for i, l := range s.group.hosts {
		if s.answers[i] != answerNone || l.isDown() && s.repeats >= downRounds {
			continue
		}
		left++
		if i < s.reach {
			asked++
		}
	}
	return left, asked
}

// widen extends the reach from the likely hosts to all.
func (s *search) widen() {
	if likely := min(candidates, len(s.group.hosts)); s.reach < likely {
		s.reach = likely
		return
	}
	s.reach = len(s.group.hosts)
}

// group is the hosts that may hold a flow of a route, as of one directory.
type group struct {
	directory *Directory
	// digest is equal for equal sets of hosts.
	digest uint64
	// hosts begins with the likely ones, which the flow may have been placed on.
	hosts []*hostLoad
}

func (e *Entry) groupOf(now time.Time, f gue.Flow, route *plan.Route) group {
	g := group{directory: e.directory, digest: e.digestOf(route)}
	for _, s := range route.Shares {
		one := e.directory.Group(s.Service)
		if one == nil {
			continue
		}
		e.order = one.rank(f, e.order)
		for _, r := range e.order {
			if l := e.load(r.host.Instance); !r.host.Down || now.Sub(l.downSince) < downAsked {
				g.hosts = append(g.hosts, l)
			}
		}
	}
	return g
}

func (e *Entry) digestOf(route *plan.Route) uint64 {
	var digest uint64
	for _, s := range route.Shares {
		if g := e.directory.Group(s.Service); g != nil {
			digest = mix(digest ^ g.Digest)
		}
	}
	return digest
}

// beginSearch asks which host holds the flow of a packet. A host that is known not to may be given.
func (e *Entry) beginSearch(now time.Time, f gue.Flow, route *plan.Route, k *entryFlow, packet []byte, v *View, out *Output, denied *hostLoad) {
	if len(e.searches) >= maxSearches {
		out.Dropped = gue.ReasonRate
		return
	}
	e.setStage(k, nil, stageIdle)
	s := &search{started: now, group: e.groupOf(now, f, route)}
	s.answers = make([]answer, len(s.group.hosts))
	s.hold(packet, v)
	if denied != nil {
		s.note(denied, answerDenied)
	}
	k.search = s
	e.searches[f] = k
	s.widen()
	e.ask(now, f, s, out)
}

// ask sends the first held packet to the hosts within reach that did not answer yet.
func (e *Entry) ask(now time.Time, f gue.Flow, s *search, out *Output) {
	s.asked = now
	asked := 0
	for i, l := range s.group.hosts[:s.reach] {
		if s.answers[i] != answerNone || l.host == nil {
			continue
		}
		p := append([]byte(nil), s.held[0]...)
		e.Codec.SetMark(p, Mark{Code: CodeLocate})
		out.send(l.host.Packets, p)
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
	e.refresh(now, f, route, k, out)
	if g := e.directory.Group(l.host.Service); g != nil && uint32(g.Digest) == v.Mark.Value {
		k.search.note(l, answerDenied)
	}
	e.progress(now, f, k, out)
}

// perhaps takes a host's word that it may hold a flow.
func (e *Entry) perhaps(now time.Time, f gue.Flow, route *plan.Route, l *hostLoad, out *Output) {
	k, known := e.flows.Get(f)
	if !known || k.search == nil {
		return
	}
	e.refresh(now, f, route, k, out)
	k.search.note(l, answerMaybe)
	e.progress(now, f, k, out)
}

// refresh takes a new directory into a search. Denials of other incarnations, or among fewer hosts, say nothing.
func (e *Entry) refresh(now time.Time, f gue.Flow, route *plan.Route, k *entryFlow, out *Output) {
	s := k.search
	if s.group.directory == e.directory {
		return
	}
	before, answers := s.group, s.answers
	s.group = e.groupOf(now, f, route)
	s.answers = make([]answer, len(s.group.hosts))
	if s.group.digest != before.digest {
		s.reach = len(s.group.hosts)
		e.ask(now, f, s, out)
		return
	}
	s.reach = min(s.reach, len(s.group.hosts))
	for i, l := range before.hosts {
		s.note(l, answers[i])
	}
}

// progress ends a search or widens it. Time alone makes it ask again.
func (e *Entry) progress(now time.Time, f gue.Flow, k *entryFlow, out *Output) {
	s := k.search
	left, asked := s.unanswered()
	switch {
	case s.count(answerMaybe) > 0 && (left == 0 || now.Sub(s.started) > 2*askAgain):
		e.foundWeak(now, f, k, out)
	case left == 0 && len(s.group.hosts) > 0 && now.Sub(e.settledAt(s.group.digest)) >= settleTime:
		e.resetUnheld(now, f, k, out)
	case now.Sub(s.started) > searchLimit:
		e.giveUp(now, f, k, left, out)
	case left > 0 && asked == 0:
		s.widen()
		e.ask(now, f, s, out)
	}
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
		Count: s.count(answerDenied), AgeMs: now.Sub(s.started).Milliseconds(),
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
		Count: s.count(answerDenied), AgeMs: now.Sub(s.started).Milliseconds(),
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
func (e *Entry) foundWeak(now time.Time, f gue.Flow, k *entryFlow, out *Output) {
	s := k.search
	e.endSearch(f, k)
	var first *hostLoad
	for i, l := range s.group.hosts {
		if s.answers[i] != answerDenied {
			k.weak = append(k.weak, l)
		}
		if s.answers[i] == answerMaybe && first == nil {
			first = l
		}
	}
	e.setStage(k, first, stageIdle)
	out.decide(Decision{
		Action: ActionFound, Flow: f, Instance: first.instance(), Reason: "perhaps", PlanVersion: e.plan.Version,
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
		e.beginSearch(now, f, route, k, packet, v, out, nil)
	}
}

func (e *Entry) endSearch(f gue.Flow, k *entryFlow) {
	k.search = nil
	delete(e.searches, f)
}

// Search goes on with the searches under way, and reports whether it stopped short of all to bound what it sends; then call
// it again. An entry that is behind with its packets asks nobody again: the answers are waiting.
func (e *Entry) Search(now time.Time, behind bool, out *Output) (more bool) {
	for f, k := range e.searches {
		if len(out.Sends) >= asksAtOnce {
			return true
		}
		route := e.plan.Find(f.Service)
		if route == nil {
			e.flows.Remove(f)
			continue
		}
		e.refresh(now, f, route, k, out)
		e.progress(now, f, k, out)
		if s := k.search; s != nil && !behind && now.Sub(s.asked) >= askAgain<<s.repeats {
			s.repeats++
			s.reach = len(s.group.hosts)
			e.ask(now, f, s, out)
		}
	}
	return false
}
