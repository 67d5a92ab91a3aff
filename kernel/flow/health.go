package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/outlier"
)

const (
	// hangFactor is how many times the mean service time of its route a request stays unanswered before it counts as
	// failed, within leastHang and mostHang. Three requests in a hundred take seven times the mean.
	hangFactor = 8
	leastHang  = 400 * time.Millisecond
	mostHang   = 3 * time.Second
	// scoreInterval is the least time between two scored requests of a flow, so that the few long flows of a busy caller do
	// not decide about a host.
	scoreInterval = 250 * time.Millisecond
	// expectedTime is what answers are compared with if their route has no objective.
	expectedTime = time.Second
)

// targetHealth scores the target's answers and decides what is reported of them. The zero value is ready to use.
type targetHealth struct {
	score    outlier.Score[gue.Endpoint]
	reporter outlier.Reporter
}

// UpdateHealth decides what the agent reports of the target's answers. It reports whether that has changed.
func (a *Agent) UpdateHealth(now time.Time) (h *facts.Health, changed bool) {
	if !a.Scored {
		return nil, false
	}
	changed = a.health.reporter.Update(now, a.health.score.Health(now))
	return a.health.reporter.Said(), changed
}

// Health returns what the agent reports of the target's answers, or nil if it says nothing.
func (a *Agent) Health() *facts.Health {
	return a.health.reporter.Said()
}

// scores reports whether requests are scored now. A target that drains may close its flows as it likes, and one that is
// cold says that it is slow.
func (a *Agent) scores(now time.Time) bool {
	return a.Scored && a.target != nil && a.target.State == facts.TargetReady && !a.cold.isCold(now)
}

// scoreRequest records that the caller sent data that the target has not answered.
func (a *Agent) scoreRequest(now time.Time, af *agentFlow) {
	if a.Scored && af.unscored.IsZero() && (af.lastScored.IsZero() || now.Sub(af.lastScored) >= scoreInterval) {
		af.unscored = now
	}
}

// waited returns for how long the target has had the flow's unanswered request in a slot.
func (af *agentFlow) waited(now time.Time) time.Duration {
	if af.servedSince.After(af.unscored) {
		return now.Sub(af.servedSince)
	}
	return now.Sub(af.unscored)
}

// scoreAnswer scores the first packet of an answer, or the end of the flow in place of one.
func (a *Agent) scoreAnswer(now time.Time, f gue.Flow, af *agentFlow, size int) {
	if size == 0 {
		a.scoreUnanswered(now, f, af)
		return
	}
	if a.scores(now) && !af.unscored.IsZero() {
		expected := expectedTime
		if r := a.route(f); r != nil && r.Objective > 0 {
			expected = r.Objective
		}
		a.health.score.Answer(now, outlier.Answer[gue.Endpoint]{
			Kind: f.Service, Time: af.waited(now), Expected: expected, Size: size, Flow: f.Hash(gue.Key{}),
		})
		af.lastScored = now
	}
	af.unscored = time.Time{}
}

// scoreUnanswered scores a request that gets no answer.
func (a *Agent) scoreUnanswered(now time.Time, f gue.Flow, af *agentFlow) {
	if a.scores(now) && !af.unscored.IsZero() {
		a.health.score.Failure(now, f.Hash(gue.Key{}))
		af.lastScored = now
	}
	af.unscored = time.Time{}
}

// scoreHanging scores a request that has been in a slot for much longer than is usual.
func (a *Agent) scoreHanging(now time.Time, f gue.Flow, af *agentFlow) {
	if af.unscored.IsZero() || !af.serving {
		return
	}
	if af.waited(now) > min(max(hangFactor*a.serviceTimes.of(f.Service), leastHang), mostHang) {
		a.scoreUnanswered(now, f, af)
	}
}

// scoreAbandoned scores the request of a caller that closes or resets its flow without an answer. One that does so early
// tells nothing about the target.
func (a *Agent) scoreAbandoned(now time.Time, f gue.Flow, af *agentFlow) {
	a.scoreHanging(now, f, af)
	af.unscored = time.Time{}
}

// scoreBounce scores a SYN that the target returned although it has a free slot.
func (a *Agent) scoreBounce(now time.Time, f gue.Flow) {
	if a.scores(now) && a.busyCount < a.slots() {
		a.health.score.Failure(now, f.Hash(gue.Key{}))
	}
}

// scoreHandshake scores a SYN that the target has not answered within handshakeTimeout.
func (a *Agent) scoreHandshake(now time.Time, f gue.Flow, af *agentFlow) {
	if a.scores(now) && !af.synAckSeen && !a.liveness.absent {
		a.health.score.Failure(now, f.Hash(gue.Key{}))
	}
}
