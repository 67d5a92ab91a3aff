package cmd

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
)

// targetCheckTimeout limits a connection attempt to the target. Only a refusal shows that there is no process.
const targetCheckTimeout = 200 * time.Millisecond

// targetCheck finds out whether the target's process exists.
type targetCheck struct {
	agent   *passthroughAgent
	started time.Time
}

// checkTarget starts a check if one is needed. The caller must hold the mutex.
func (a *passthroughAgent) checkTarget(now time.Time) {
	if a.settings.TargetListener.IsValid() && a.flowAgent.NeedsTargetCheck(now) {
		go (&targetCheck{agent: a, started: now}).run()
	}
}

func (c *targetCheck) run() {
	a := c.agent
	if !a.targetRefusesConnections() {
		return
	}
	now := time.Now()
	a.mutex.Lock()
	a.step(now, func(out *flow.Output) { a.flowAgent.TargetAbsent(now, c.started, out) })
	target, _ := a.tracker.Target()
	absent := a.flowAgent.TargetIsAbsent()
	if absent {
		a.tracker.SetAbsent()
	}
	a.mutex.Unlock()
	if absent {
		// Without a known target, its zero value is published: entries would otherwise take a host without a target for one
		// whose agent has just started.
		a.publishTarget(asGone(target), "check", 0)
	}
}

// asGone returns the state to publish of a target whose process does not exist. Its host holds no flows, so that no one
// has to ask about them, until the target announces itself again.
func asGone(t facts.Target) facts.Target {
	t.State = facts.TargetGone
	return t
}

// targetRefusesConnections connects to the address on which the target listens while it runs. A refusal shows that its
// process does not exist.
func (a *passthroughAgent) targetRefusesConnections() bool {
	if !a.settings.TargetListener.IsValid() {
		return false
	}
	connection, err := net.DialTimeout("tcp4", a.settings.TargetListener.String(), targetCheckTimeout)
	if err == nil {
		_ = connection.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
