package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// A host of a service that never had a route holds no flow of it. One question about the route, in place of one about each
// flow, finds that out for all flows that are searched at the time. It is asked of hosts of services that neither the plan
// in force nor an earlier one gave to the route. In a question, the flow without a caller stands for the route.

// flowQuestionTime is how long a host that may hold flows of a route is asked about single flows of it.
const flowQuestionTime = time.Second

// routeFlow returns the flow that stands for all flows of a route's address.
func routeFlow(a gue.Endpoint) gue.Flow {
	return gue.Flow{Service: a}
}

// answerForRoute returns answerDenied if the target holds no flow of an address.
func (a *Agent) answerForRoute(address gue.Endpoint) answer {
	if a.sawAllSYNs && !a.trackedRoutes[address] {
		return answerDenied
	}
	return answerUnsure
}

// mayAskAboutRoute reports whether a search asks the i-th host about the route in place of the flow.
func (s *search) mayAskAboutRoute(now time.Time, i int, address gue.Endpoint) bool {
	hl := s.group.hosts[i]
	return i >= s.group.known && hl.host.RouteQuestions && !now.Before(hl.flowQuestionsUntil[address])
}

// askAboutRoutes asks each host about routes. If the budget is used up, the next call of ContinueSearches does so.
func (e *Entry) askAboutRoutes(now time.Time, routes map[*hostLoad]map[gue.Endpoint]bool, out *Output) {
	left := map[gue.Endpoint]bool{}
	for hl, addresses := range routes {
		var flows []gue.Flow
		for a := range addresses {
			if len(flows) < maxQuestionFlows {
				flows = append(flows, routeFlow(a))
			} else {
				left[a] = true
			}
		}
		if !e.sendQuestion(now, hl, flows, true, out) {
			for _, f := range flows {
				left[f.Service] = true
			}
		}
	}
	if len(left) == 0 {
		return
	}
	for f, ef := range e.searches {
		ef.search.due = ef.search.due || left[f.Service]
	}
}

// handleRouteAnswer applies a host's answer about a route to all searches that had started when the question was asked.
// Their flows were open by then.
func (e *Entry) handleRouteAnswer(now time.Time, address gue.Endpoint, q *askedQuestion, a answer, sameHosts bool, out *Output) {
	route := e.plan.Find(address)
	if route == nil {
		return
	}
	if a != answerDenied {
		q.host.askAboutFlows(address, now.Add(flowQuestionTime))
	}
	for f, ef := range e.searches {
		s := ef.search
		if f.Service != address || s.started.After(q.asked) {
			continue
		}
		e.refreshSearch(now, f, route, ef)
		if i := s.indexOf(q.host); i < s.group.known {
			continue
		}
		if a != answerDenied {
			s.due = true
			continue
		}
		s.recordDenial(q.host, sameHosts)
		e.advanceSearch(now, f, ef, out)
	}
}

// askAboutFlows makes searches ask the host about single flows of an address until the given time.
func (hl *hostLoad) askAboutFlows(address gue.Endpoint, until time.Time) {
	if hl.flowQuestionsUntil == nil {
		hl.flowQuestionsUntil = map[gue.Endpoint]time.Time{}
	}
	hl.flowQuestionsUntil[address] = until
}
