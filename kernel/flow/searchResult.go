package flow

import (
	"slices"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// resetUnheldFlow resets a flow that every host denied, apart from hosts that are down and do not answer.
func (e *Entry) resetUnheldFlow(now time.Time, f gue.Flow, ef *entryFlow, out *Output) {
	s := ef.search
	out.sendReset(e.Codec, e.Self, f, s.lastAck)
	out.record(Decision{
		Action: ActionReset, Flow: f, Reason: "nobodyHolds", PlanVersion: e.plan.Version,
		Count: s.countAnswers(answerDenied), AgeMs: now.Sub(s.started).Milliseconds(),
	})
	e.flows.Remove(f)
}

// abandonSearch ends a search without a result after searchTimeout. The flow is not reset, because a host that did not
// answer may hold it.
func (e *Entry) abandonSearch(now time.Time, f gue.Flow, ef *entryFlow, left int, out *Output) {
	out.record(Decision{
		Action: ActionUncertain, Flow: f, Reason: "unanswered", PlanVersion: e.plan.Version,
		Count: left, AgeMs: now.Sub(ef.search.started).Milliseconds(),
	})
	e.flows.Remove(f)
}

// handleHere handles a host's confirmation that it holds a flow, and forwards the queued packets to the host. The
// first of them may already have been sent to it by the search.
func (e *Entry) handleHere(now time.Time, f gue.Flow, hl *hostLoad, out *Output) {
	ef, known := e.flows.Get(f)
	if !known {
		ef = &entryFlow{waitingSince: now}
		e.flows.Add(f, ef)
	}
	ef.lastPacket = now
	e.setStage(ef, hl, stageIdle)
	ef.possibleHolders = nil
	s := ef.search
	if s == nil {
		return
	}
	e.endSearch(f, ef)
	i := s.indexOf(hl)
	delivered := i >= 0 && (s.answers[i] == answerPending || s.answers[i] == answerMaybe)
	out.record(Decision{
		Action: ActionFound, Flow: f, Instance: hl.host.Instance, PlanVersion: e.plan.Version,
		Count: s.countAnswers(answerDenied), AgeMs: now.Sub(s.started).Milliseconds(),
	})
	for i, p := range s.queued {
		if hdr, reason := e.Codec.Parse(p); reason == gue.ReasonNone {
			e.trackRequest(now, ef, &hdr)
		}
		if i > 0 || !delivered {
			e.forward(hl, p, Mark{}, out)
		}
	}
}

// acceptPossibleHolders ends a search in which no host confirmed the flow but at least one answered CodeMaybe. The
// flow's packets are sent to all hosts that did not deny the flow until one confirms it, except for hosts of services
// that the history does not name and that did not answer.
func (e *Entry) acceptPossibleHolders(now time.Time, f gue.Flow, ef *entryFlow, out *Output) {
	s := ef.search
	e.endSearch(f, ef)
	var first *hostLoad
	for i, hl := range s.group.hosts {
		silent := s.answers[i] == answerNone
		if s.answers[i] != answerDenied && s.answers[i] != answerElsewhere && (i < s.group.known || !silent) {
			ef.possibleHolders = append(ef.possibleHolders, hl)
		}
		if s.answers[i] == answerMaybe && first == nil {
			first = hl
		}
	}
	e.setStage(ef, first, stageIdle)
	out.record(Decision{
		Action: ActionFound, Flow: f, Instance: first.instance(), Reason: "perhaps", PlanVersion: e.plan.Version,
		Count: len(ef.possibleHolders), AgeMs: now.Sub(s.started).Milliseconds(),
	})
	for _, p := range s.queued {
		e.sendToPossibleHolders(ef, p, out)
	}
}

// sendToPossibleHolders sends a packet to every host that may hold its flow.
func (e *Entry) sendToPossibleHolders(ef *entryFlow, packet []byte, out *Output) {
	e.Codec.SetMark(packet, Mark{Code: CodeLocate})
	for _, hl := range ef.possibleHolders {
		if hl.host != nil {
			out.send(hl.host.Packets, packet)
		}
	}
}

// removePossibleHolder handles the denial of a possible holder. If none is left, it starts another search.
func (e *Entry) removePossibleHolder(now time.Time, f gue.Flow, route *plan.Route, ef *entryFlow, hl *hostLoad, packet []byte, hdr *Header, out *Output) {
	ef.possibleHolders = slices.DeleteFunc(ef.possibleHolders, func(h *hostLoad) bool { return h == hl })
	if len(ef.possibleHolders) == 0 {
		e.startSearch(now, f, route, ef, packet, hdr, out, nil)
	}
}

// endSearch removes the search of a flow, if any.
func (e *Entry) endSearch(f gue.Flow, ef *entryFlow) {
	ef.search = nil
	delete(e.searches, f)
}
