package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// synAnswerTimeout is how long a SYN may stay unanswered before the agent checks whether its target runs. Targets
	// answer within a millisecond.
	synAnswerTimeout = 100 * time.Millisecond
	// heartbeatTimeout is how long a target may be silent before the agent checks whether it runs. It announces itself
	// every 770 ms.
	heartbeatTimeout = 1200 * time.Millisecond
	// livenessInterval is the minimum time between two checks.
	livenessInterval = 200 * time.Millisecond
	// drainingProofTime is how long all checks of a draining target must be refused until its process counts as gone. A
	// target that drains closes its port some milliseconds before it deregisters, while requests are in progress.
	drainingProofTime = 500 * time.Millisecond
)

// liveness decides when an agent checks whether its target's process exists. The zero value checks at once.
type liveness struct {
	// unansweredSYN is when the first SYN was sent to the target that it has not answered, or zero.
	unansweredSYN time.Time
	checked       time.Time
	// refusedSince is the start of the first check of a draining target since which all checks were refused, or zero.
	refusedSince time.Time
	// absent is set while the target's process does not exist.
	absent bool
}

// NeedsTargetCheck reports whether to check that the target's process exists: after the agent's start, and while the
// target does not answer or does not announce itself. If it returns true, the caller starts a check and calls
// TargetAbsent if the connection was refused, or TargetNotRefused otherwise.
func (a *Agent) NeedsTargetCheck(now time.Time) bool {
	l := &a.liveness
	switch {
	case l.absent || !l.checked.IsZero() && now.Sub(l.checked) < livenessInterval:
		return false
	case l.checked.IsZero(), !l.refusedSince.IsZero(),
		!l.unansweredSYN.IsZero() && now.Sub(l.unansweredSYN) > synAnswerTimeout,
		now.Sub(a.lastSignOfTarget()) > heartbeatTimeout:
		l.checked = now
		return true
	}
	return false
}

// lastSignOfTarget returns when the target last announced itself, or when the agent started if it has not yet.
func (a *Agent) lastSignOfTarget() time.Time {
	if a.lastHeartbeat.IsZero() {
		return a.started
	}
	return a.lastHeartbeat
}

// TargetNotRefused tells the agent that a check of its target was not refused.
func (a *Agent) TargetNotRefused() {
	a.liveness.refusedSince = time.Time{}
}

// TargetAbsent tells the agent that a check of its target, which started at the given time, was refused, so that no
// process of the target exists. All flows that it held have ended, and the agent will see each SYN that a later process
// receives. The agent resets the flows, so that their callers need not wait for a timeout, and refuses new ones until the
// target shows itself. A draining target counts as absent only after drainingProofTime.
func (a *Agent) TargetAbsent(now, checked time.Time, out *Output) {
	if a.lastTargetPacket.After(checked) || a.lastHeartbeat.After(checked) {
		a.liveness.refusedSince = time.Time{}
		return
	}
	if a.target != nil && a.target.State == facts.TargetDraining && !a.liveness.proveDrained(checked, a.lastSign()) {
		return
	}
	a.liveness.refusedSince = time.Time{}
	a.cold.restart(now)
	a.startPace("targetAbsent", out)
	a.liveness.absent, a.sawAllSYNs = true, true
	a.liveness.unansweredSYN = time.Time{}
	ended := 0
	for _, f := range a.flows.Keys() {
		af, _ := a.flows.Peek(f)
		a.scoreUnanswered(now, f, af)
		if af.state == stateOpen && !af.callerClosed {
			ended++
			out.sendReset(a.Codec, a.Self, f, af.lastAck)
			out.record(Decision{
				Action: ActionReset, Flow: f, Reason: "targetAbsent", Request: af.requestID, PlanVersion: a.planVersion(),
				AgeMs: now.Sub(af.lastPacket).Milliseconds(),
			})
		}
		a.flows.Remove(f)
	}
	a.handshakes = a.handshakes[:0]
	out.record(Decision{Action: ActionTargetAbsent, Reason: "connectionRefused", PlanVersion: a.planVersion(), Count: ended})
}

// lastSign returns when the target last sent a packet or an announcement.
func (a *Agent) lastSign() time.Time {
	if a.lastTargetPacket.After(a.lastHeartbeat) {
		return a.lastTargetPacket
	}
	return a.lastHeartbeat
}

// proveDrained records a refused check of a draining target, and reports whether all checks were refused for
// drainingProofTime without a sign of the target.
func (l *liveness) proveDrained(checked, lastSign time.Time) bool {
	if l.refusedSince.IsZero() || lastSign.After(l.refusedSince) {
		l.refusedSince = checked
	}
	return checked.Sub(l.refusedSince) >= drainingProofTime
}

// TargetIsAbsent reports whether the target's process was found not to exist and has not shown itself since.
func (a *Agent) TargetIsAbsent() bool {
	return a.liveness.absent
}

// noteTargetPresent records that the target has shown itself.
func (a *Agent) noteTargetPresent() {
	a.liveness.absent = false
}
