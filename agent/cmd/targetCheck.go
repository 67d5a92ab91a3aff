package cmd

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

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
	refused := c.agent.targetRefusesConnections()
	c.conclude(time.Now(), refused)
	c.agent.publishTarget("check", 0)
}

// conclude passes the result of the check to the agent.
func (c *targetCheck) conclude(now time.Time, refused bool) {
	a := c.agent
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !refused {
		a.flowAgent.TargetNotRefused()
		return
	}
	a.step(now, func(out *flow.Output) { a.flowAgent.TargetAbsent(now, c.started, out) })
	if a.flowAgent.TargetIsAbsent() {
		a.tracker.SetAbsent()
	}
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
