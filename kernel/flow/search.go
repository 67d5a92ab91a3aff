package flow

import (
	"bytes"
	"slices"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// locateRetryInterval is how long a search waits for answers before it asks again. The wait doubles with each retry.
	// Retries are needed because a datagram may be lost or an agent may still be starting.
	locateRetryInterval = 100 * time.Millisecond
	// toleratedSilence is how many questions in a row a host may leave unanswered before it is asked less often. An agent
	// that restarts misses some.
	toleratedSilence = 3
	// maxRetryDoublings bounds the wait between the retries of a search at 200 ms, and maxSilentDoublings that between
	// questions to a silent host at 800 ms.
	maxRetryDoublings  = 1
	maxSilentDoublings = 3
	// questionTimeout is how long an entry waits for the answer to a question. Then the host counts as silent, and is asked
	// less often.
	questionTimeout = 300 * time.Millisecond
	// searchTimeout bounds the duration of a search. Callers and targets retransmit a packet after 200 ms to 1.6 s, which
	// starts another search.
	searchTimeout = 3 * time.Second
	// downHostWindow is how long after it was marked as down a host is still asked. Callers and targets have given up
	// their flows by then.
	downHostWindow = 10 * time.Second
	// downHostRetries is how many times a host that is down is asked again before its silence counts as a denial.
	downHostRetries = 2
	// nearbyHosts is how many hosts a search asks before it asks all. In the order of a flow they include the hosts of the
	// entry's data centre, of which the largest fleet has 28 a service.
	nearbyHosts = 32
	// downAnswerTime is how long a host that is down has to answer after it was last asked.
	downAnswerTime = 50 * time.Millisecond
	// maxQueuedPackets bounds the packets that one search queues. A caller or target has at most 16 in flight.
	maxQueuedPackets = 16
	// maxSearches bounds the concurrent searches. Together with maxQueuedPackets it bounds their memory.
	maxSearches = 1024
	// maxPacketsPerStep is how many packets one call of ContinueSearches sends before it stops. Sending them takes the
	// smallest entry about 8 ms.
	maxPacketsPerStep = 256
	// groupSettleTime is how long a group must be unchanged before a denial by all of its hosts is conclusive. All members
	// learn of a new host within one exchange of the membership.
	groupSettleTime = 300 * time.Millisecond
)

// search finds out which host holds a flow. It asks the agents, and sends a copy of a packet only to the targets whose
// agents are unsure. It ends when a host confirms that it holds the flow, when all hosts have answered, or after
// searchTimeout.
type search struct {
	started time.Time
	// lastRound is when the hosts were last asked.
	lastRound time.Time
	// retries counts how many times the hosts were asked again because answers were missing.
	retries int
	group   searchGroup
	// answers holds the answers of the group's hosts, in the same order.
	answers []answer
	// scope is the number of hosts, from the start of the group, that the search asks.
	scope int
	// knownFrom and othersFrom are the values of retries when the hosts of earlier plans' services, and those of others, were
	// first asked.
	knownFrom, othersFrom int
	// due is set if hosts in scope are to be asked by the next call of ContinueSearches.
	due bool
	// queued holds the packets that wait for the holder. The first of them is also the one that targets of unsure agents
	// are sent.
	queued [][]byte
	// lastAck is the acknowledgement number of the caller's latest packet.
	lastAck uint32
}

// enqueue queues a copy of a packet, unless the queue is full or the packet is a retransmission of a queued one.
func (s *search) enqueue(packet []byte, hdr *Header) {
	retransmitted := slices.ContainsFunc(s.queued, func(p []byte) bool { return bytes.Equal(p, packet) })
	if !retransmitted && len(s.queued) < maxQueuedPackets {
		s.queued = append(s.queued, append([]byte(nil), packet...))
	}
	s.lastAck = hdr.Acknowledged
}

// recordAnswer records a host's answer, unless the host has already denied the flow. An unsure host has nothing to add
// after it was sent a packet.
func (s *search) recordAnswer(hl *hostLoad, a answer) {
	i := s.indexOf(hl)
	if i < 0 || s.answers[i] == answerDenied || a == answerUnsure && s.answers[i] == answerPending {
		return
	}
	s.answers[i] = a
}

// recordDenial records that a host does not hold the flow. sameHosts reports whether it knows the same hosts as the entry.
func (s *search) recordDenial(hl *hostLoad, sameHosts bool) {
	if sameHosts {
		s.recordAnswer(hl, answerDenied)
		return
	}
	s.recordAnswer(hl, answerElsewhere)
}

// indexOf returns the index of a host in the group, or -1.
func (s *search) indexOf(hl *hostLoad) int {
	return slices.Index(s.group.hosts, hl)
}

func (s *search) countAnswers(a answer) int {
	n := 0
	for _, other := range s.answers {
		if other == a {
			n++
		}
	}
	return n
}

// countsAsDenied reports whether the silence of the i-th host, if it is down, counts as a denial. One that did not answer questions
// about other flows either is asked again less often, but at least once: it may be reachable again.
func (s *search) countsAsDenied(now time.Time, i int) bool {
	hl := s.group.hosts[i]
	retries := downHostRetries
	if hl.silent >= downHostRetries {
		retries = 1
	}
	switch {
	case i >= s.group.known:
		retries += s.othersFrom
	case i >= s.group.inForce:
		retries += s.knownFrom
	}
	return hl.isDown() && s.retries >= retries && now.Sub(s.lastRound) >= downAnswerTime
}

// unanswered returns how many of the hosts that must answer have not done so conclusively, and how many of those in scope
// have not answered at all. Other services that are not in the group yet count as one host.
func (s *search) unanswered(now time.Time) (left, asked int) {
	hosts := s.group.hosts
	switch {
	case !s.mustAskOthers(now):
		hosts = hosts[:s.group.known]
	case s.group.others != othersAdded:
		left++
	}
	for i := range hosts {
		if s.answers[i].isFinal() || s.countsAsDenied(now, i) {
			continue
		}
		left++
		if i < s.scope && s.answers[i] != answerElsewhere {
			asked++
		}
	}
	return left, asked
}

// startSearch queues a packet and starts a search for the holder of its flow among the hosts of the route. denied, if
// not nil, is a host that is known not to hold the flow.
func (e *Entry) startSearch(now time.Time, f gue.Flow, route *plan.Route, ef *entryFlow, packet []byte, hdr *Header, out *Output, denied *hostLoad) {
	if len(e.searches) >= maxSearches {
		out.DropReason = gue.ReasonRate
		return
	}
	e.setStage(ef, nil, stageIdle)
	s := &search{started: now, group: e.searchGroupFor(now, f, route)}
	s.answers = make([]answer, len(s.group.hosts))
	s.enqueue(packet, hdr)
	if denied != nil {
		s.recordAnswer(denied, answerDenied)
	}
	ef.search = s
	e.searches[f] = ef
	e.widen(now, f, s)
	e.ask(now, f, s, out)
}

// handleNotHere handles a packet that a host returned because it does not hold the flow. The denial counts only if the
// agent and the entry know the same hosts.
func (e *Entry) handleNotHere(now time.Time, f gue.Flow, route *plan.Route, hl *hostLoad, packet []byte, hdr *Header, out *Output) {
	ef, known := e.flows.Get(f)
	if !known {
		ef = &entryFlow{waitingSince: now, lastPacket: now}
		e.flows.Add(f, ef)
	}
	if len(ef.possibleHolders) > 0 {
		e.removePossibleHolder(now, f, route, ef, hl, packet, hdr, out)
		return
	}
	if ef.search == nil {
		if ef.holder != nil && ef.holder != hl {
			// A search has found another holder in the meantime. That holder has the packet, unless the packet was forwarded
			// only to the previous holder.
			return
		}
		e.startSearch(now, f, route, ef, packet, hdr, out, hl)
		return
	}
	e.refreshSearch(now, f, route, ef)
	ef.search.recordDenial(hl, e.knowsSameHosts(now, hl, hdr))
	e.advanceSearch(now, f, ef, out)
}

// handleMaybe handles the answer of a host that can neither confirm nor deny that it holds a flow.
func (e *Entry) handleMaybe(now time.Time, f gue.Flow, route *plan.Route, hl *hostLoad, out *Output) {
	ef, known := e.flows.Get(f)
	if !known || ef.search == nil {
		return
	}
	e.refreshSearch(now, f, route, ef)
	ef.search.recordAnswer(hl, answerMaybe)
	e.advanceSearch(now, f, ef, out)
}

// advanceSearch ends or widens a search, depending on the answers. It does not ask the same hosts again;
// ContinueSearches does so after a timeout.
func (e *Entry) advanceSearch(now time.Time, f gue.Flow, ef *entryFlow, out *Output) {
	s := ef.search
	left, asked := s.unanswered(now)
	switch {
	case s.countAnswers(answerMaybe) > 0 && (left <= s.countAnswers(answerElsewhere) || now.Sub(s.started) > 2*locateRetryInterval):
		e.acceptPossibleHolders(now, f, ef, out)
	case left == 0 && s.group.inForce > 0 && now.Sub(s.group.changed) >= groupSettleTime:
		e.resetUnheldFlow(now, f, ef, out)
	case now.Sub(s.started) > searchTimeout:
		e.abandonSearch(now, f, ef, left, out)
	case left > 0 && asked == 0 && s.canWiden():
		e.widen(now, f, s)
		if s.scope > s.group.known && len(e.searches) > maxSingleQuestions {
			s.due = true
			e.recordSearch(now, f, s, 0, out)
			return
		}
		e.ask(now, f, s, out)
	}
}

// ContinueSearches applies timeouts and directory changes to the active searches, and asks the hosts that are due. It
// returns true if it stopped early because of maxPacketsPerStep; call it again then. Set behind if the entry has not read
// all packets that it received. It then asks no host, because the answers may be among the unread packets.
func (e *Entry) ContinueSearches(now time.Time, behind bool, out *Output) (more bool) {
	for f, ef := range e.searches {
		route := e.plan.Find(f.Service)
		if route == nil {
			e.flows.Remove(f)
			continue
		}
		e.refreshSearch(now, f, route, ef)
		e.advanceSearch(now, f, ef, out)
		if s := ef.search; s != nil && !behind && now.Sub(s.lastRound) >= locateRetryInterval<<min(s.retries, maxRetryDoublings) {
			e.retry(now, f, s)
		}
	}
	if behind {
		return false
	}
	e.expireQuestions(now)
	return e.askDue(now, out)
}

// retry makes the search ask all hosts again that have not answered. If it does not know all services that may hold the
// flow, it asks the hosts of the other ones from the second time on.
func (e *Entry) retry(now time.Time, f gue.Flow, s *search) {
	s.retries++
	s.widenToKnown()
	s.due, s.lastRound = true, now
	if s.retries > 1 && !s.group.complete {
		e.widenToOthers(now, f, s)
	}
	for i, a := range s.answers {
		if a == answerPending || a == answerUnsure {
			s.answers[i] = answerNone
		}
	}
}
