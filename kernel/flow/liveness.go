package flow

import "time"

const (
	// synAnswerTimeout is how long a SYN may stay unanswered before the agent checks whether its target runs. Targets
	// answer within a millisecond.
	synAnswerTimeout = 100 * time.Millisecond
	// heartbeatTimeout is how long a target may be silent before the agent checks whether it runs. It announces itself
	// every 770 ms.
	heartbeatTimeout = 1200 * time.Millisecond
	// livenessInterval is the minimum time between two checks.
	livenessInterval = 200 * time.Millisecond
)

// liveness decides when an agent checks whether its target's process exists. The zero value checks at once.
type liveness struct {
	// unansweredSYN is when the first SYN was sent to the target that it has not answered, or zero.
	unansweredSYN time.Time
	checked       time.Time
	// absent is set while the target's process does not exist.
	absent bool
}

// NeedsTargetCheck reports whether to check that the target's process exists: after the agent's start, and while the
// target does not answer or does not announce itself. If it returns true, the caller starts a check and calls
// TargetAbsent if there is no process.
func (a *Agent) NeedsTargetCheck(now time.Time) bool {
	l := &a.liveness
	switch {
	case l.absent || !l.checked.IsZero() && now.Sub(l.checked) < livenessInterval:
		return false
	case l.checked.IsZero(),
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

// TargetAbsent tells the agent that, at the given time, no process of its target existed. All flows that it held have
// ended, and the agent will see each SYN that a later process receives. The agent resets the flows, so that their callers
// need not wait for a timeout, and refuses new ones until the target shows itself.
func (a *Agent) TargetAbsent(now, checked time.Time, out *Output) {
	if a.lastTargetPacket.After(checked) || a.lastHeartbeat.After(checked) {
		return
	}
	a.liveness.absent, a.sawAllSYNs = true, true
	a.liveness.unansweredSYN = time.Time{}
	ended := 0
	for _, f := range a.flows.Keys() {
		af, _ := a.flows.Peek(f)
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

// TargetIsAbsent reports whether the target's process was found not to exist and has not shown itself since.
func (a *Agent) TargetIsAbsent() bool {
	return a.liveness.absent
}

// noteTargetPresent records that the target has shown itself.
func (a *Agent) noteTargetPresent() {
	a.liveness.absent = false
}
