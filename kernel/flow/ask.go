package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// isFinal reports whether a host with this answer need not be asked again.
func (a answer) isFinal() bool {
	return a == answerDenied || a == answerMaybe
}

// askedQuestion is a question that a host has not answered yet.
type askedQuestion struct {
	host  *hostLoad
	flows []gue.Flow
	asked time.Time
	// routes is set if the flows stand for routes.
	routes bool
}

// ask asks the hosts in scope about one flow. If the budget is used up, ContinueSearches asks them together with other
// flows.
func (e *Entry) ask(now time.Time, f gue.Flow, s *search, out *Output) {
	s.lastRound = now
	asked := 0
	for i, hl := range s.group.hosts[:s.scope] {
		switch {
		case hl.host == nil || s.answers[i].isFinal() || now.Before(hl.askAfter):
		case s.answers[i] == answerUnsure:
			e.sendUnsure(now, s, i, out)
		case s.answers[i] == answerNone:
			if !e.sendQuestion(now, hl, []gue.Flow{f}, false, out) {
				s.due = true
				continue
			}
			asked++
		}
	}
	e.recordSearch(now, f, s, asked, out)
}

// recordSearch records that the search asked some hosts, or has more hosts to ask with the next call of ContinueSearches.
func (e *Entry) recordSearch(now time.Time, f gue.Flow, s *search, asked int, out *Output) {
	reason := ""
	switch {
	case s.scope > s.group.known:
		reason = "allServices"
	case s.scope > s.group.inForce:
		reason = "earlierServices"
	}
	out.record(Decision{
		Action: ActionSearched, Flow: f, Reason: reason, PlanVersion: e.plan.Version, Count: asked, AgeMs: now.Sub(s.started).Milliseconds(),
	})
}

// askDue asks the hosts of the searches that are due, with one question a host for many flows. Map iteration varies the
// order, so that no flow is always the one for which the budget does not suffice. It returns true if it stopped early
// because of maxPacketsPerStep.
func (e *Entry) askDue(now time.Time, out *Output) (more bool) {
	byHost := map[*hostLoad][]gue.Flow{}
	routes := map[*hostLoad]map[gue.Endpoint]bool{}
	for f, ef := range e.searches {
		s := ef.search
		if !s.due {
			continue
		}
		if len(out.Packets) >= maxPacketsPerStep {
			more = true
			break
		}
		s.due = false
		for i, hl := range s.group.hosts[:s.scope] {
			switch {
			case hl.host == nil || now.Before(hl.askAfter):
			case s.answers[i] == answerUnsure:
				e.sendUnsure(now, s, i, out)
			case s.answers[i] != answerNone && s.answers[i] != answerElsewhere:
			case s.mayAskAboutRoute(now, i, f.Service):
				if routes[hl] == nil {
					routes[hl] = map[gue.Endpoint]bool{}
				}
				routes[hl][f.Service] = true
			default:
				byHost[hl] = append(byHost[hl], f)
			}
		}
	}
	for hl, flows := range byHost {
		for len(flows) > 0 {
			n := min(len(flows), maxQuestionFlows)
			if !e.sendQuestion(now, hl, flows[:n:n], false, out) {
				e.markDue(flows)
				break
			}
			flows = flows[n:]
		}
	}
	e.askAboutRoutes(now, routes, out)
	return more
}

// markDue makes the searches for the flows ask again with the next call of ContinueSearches.
func (e *Entry) markDue(flows []gue.Flow) {
	for _, f := range flows {
		e.searches[f].search.due = true
	}
}

// sendQuestion asks a host about flows, which stand for routes if routes is set. It returns false if the budget is used up.
func (e *Entry) sendQuestion(now time.Time, hl *hostLoad, flows []gue.Flow, routes bool, out *Output) bool {
	length := e.Codec.HeaderLength() + questionNumberLength + len(flows)*flowLength
	if !e.budget.take(now, e.LinkMbps, length) {
		return false
	}
	e.questionNumber++
	if e.questions == nil {
		e.questions = make(map[uint32]askedQuestion)
	}
	e.questions[e.questionNumber] = askedQuestion{host: hl, flows: flows, asked: now, routes: routes}
	packet := e.Codec.EncodeMessage(appendQuestion(nil, e.questionNumber, flows))
	e.Codec.SetMark(packet, Mark{Code: CodeAsk, Value: questionFormHosts})
	out.send(hl.host.Packets, packet)
	return true
}

// sendUnsure sends the first queued packet to the target of an unsure agent, which answers by what its target does. If
// the budget is used up, ContinueSearches does so.
func (e *Entry) sendUnsure(now time.Time, s *search, i int, out *Output) {
	hl := s.group.hosts[i]
	if hl.host == nil {
		return
	}
	if i >= s.group.known {
		// A caller's packet is sent to hosts of services that had the route only. The host is asked again.
		s.answers[i] = answerElsewhere
		return
	}
	if !e.budget.take(now, e.LinkMbps, len(s.queued[0])) {
		s.due = true
		return
	}
	p := append([]byte(nil), s.queued[0]...)
	e.Codec.SetMark(p, Mark{Code: CodeLocate})
	out.send(hl.host.Packets, p)
	s.answers[i] = answerPending
}

// handleAnswers handles an agent's answers to a question. Denials count only if the agent and the entry know the same
// hosts.
func (e *Entry) handleAnswers(now time.Time, hl *hostLoad, packet []byte, hdr *Header, out *Output) {
	number, answers, ok := decodeAnswers(e.Codec.Data(packet))
	question, known := e.questions[number]
	if !ok || !known || question.host != hl || len(answers) != len(question.flows) {
		out.DropReason = gue.ReasonTag
		return
	}
	delete(e.questions, number)
	sameHosts := e.knowsSameHosts(now, hl, hdr)
	for i, f := range question.flows {
		if question.routes {
			e.handleRouteAnswer(now, f.Service, &question, answer(answers[i]), sameHosts, out)
			continue
		}
		e.handleAnswer(now, f, hl, answer(answers[i]), sameHosts, out)
	}
}

// handleAnswer handles an agent's answer about one flow.
func (e *Entry) handleAnswer(now time.Time, f gue.Flow, hl *hostLoad, a answer, sameHosts bool, out *Output) {
	ef := e.searches[f]
	route := e.plan.Find(f.Service)
	if ef == nil || route == nil {
		return
	}
	e.refreshSearch(now, f, route, ef)
	switch a {
	case answerHeld:
		ef.lastPacket = now
		e.handleHere(now, f, hl, out)
		return
	case answerDenied:
		ef.search.recordDenial(hl, sameHosts)
	case answerUnsure:
		ef.search.recordAnswer(hl, a)
	}
	if i := ef.search.indexOf(hl); i >= 0 && ef.search.answers[i] == answerUnsure {
		e.sendUnsure(now, ef.search, i, out)
	}
	e.advanceSearch(now, f, ef, out)
}

// expireQuestions forgets the questions that were not answered within questionTimeout. It makes the entry ask silent
// hosts less often; a host that holds flows answers the next question.
func (e *Entry) expireQuestions(now time.Time) {
	for number, q := range e.questions {
		if now.Sub(q.asked) <= questionTimeout {
			continue
		}
		delete(e.questions, number)
		if q.asked.Before(q.host.askAfter) {
			continue
		}
		q.host.silent++
		if q.host.silent > toleratedSilence && !q.host.isDown() {
			// A host that is down is asked with each search, which waits for it only briefly.
			q.host.askAfter = now.Add(locateRetryInterval << min(q.host.silent-toleratedSilence, maxSilentDoublings))
		}
	}
}
