package flow

import (
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	// startMargin is how much earlier than its agent a target may have started for the agent to have seen all of its
	// SYNs. Both start together when their machine does. A process that ended is started again only later than that, so
	// no earlier agent has sent packets to the target.
	startMargin = 100 * time.Millisecond
	// maxClockDrift is the difference between the clocks above which the wall clock was set since the agent's start.
	maxClockDrift = 20 * time.Millisecond
)

// sawStartOf reports whether the agent has run since the target started: it has heard from the previous incarnation
// itself, or both started together. The target's start time and the agent's are of the same machine's wall clock; if
// that was set in between, the answer is no.
func (a *Agent) sawStartOf(now time.Time, t facts.Target) bool {
	if !a.lastHeartbeat.IsZero() {
		return true
	}
	drift := now.Round(0).Sub(a.started.Round(0)) - now.Sub(a.started)
	born := time.UnixMilli(t.StartedMs)
	return drift.Abs() <= maxClockDrift && born.After(a.started.Add(-startMargin)) && !born.After(now.Add(maxClockDrift)) &&
		(a.target == nil || !a.target.SameIncarnation(t))
}

// NoteStoredTarget tells the agent which target an earlier process of this instance has stored. If that is the present
// one, the earlier process may have sent it SYNs.
func (a *Agent) NoteStoredTarget(t facts.Target) {
	if a.target != nil && a.target.SameIncarnation(t) {
		a.sawAllSYNs = false
	}
}

// track adds a flow. If an older one has to make room, the agent no longer knows all flows of its target.
func (a *Agent) track(f gue.Flow, af *agentFlow) {
	if a.trackedRoutes == nil {
		a.trackedRoutes = make(map[gue.Endpoint]bool)
	}
	a.trackedRoutes[f.Service] = true
	if a.flows.Add(f, af) {
		a.sawAllSYNs = false
	}
}

// handleQuestion answers an entry's question which of some flows the target holds. The question's form tells which digest
// the entry expects; entries of earlier builds expect that of the hosts and their targets' incarnations.
func (a *Agent) handleQuestion(from netip.AddrPort, packet []byte, form uint32, out *Output) {
	data, ok := appendAnswers(nil, a.Codec.Data(packet), a.answerFor)
	if !ok {
		out.DropReason = gue.ReasonTag
		return
	}
	reply := a.Codec.EncodeMessage(data)
	digest := a.digest
	if form == questionFormHosts {
		digest = a.hostsDigest
	}
	a.Codec.SetMark(reply, Mark{Code: CodeAnswers, Value: digest})
	out.send(from, reply)
}

// answerFor returns what the agent knows about a flow, or about a route if the flow stands for one.
func (a *Agent) answerFor(f gue.Flow) answer {
	if f == routeFlow(f.Service) {
		return a.answerForRoute(f.Service)
	}
	af, known := a.flows.Peek(f)
	switch {
	case known && (af.state == stateOpen || af.state == stateClosed):
		return answerHeld
	case a.sawAllSYNs && (!known || af.state == stateUnknown):
		return answerDenied
	}
	return answerUnsure
}
