package cmd

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// reportHealth publishes what the agent says of the target's answers if that has changed. The caller must hold the mutex.
func (a *passthroughAgent) reportHealth(now time.Time) {
	h, changed := a.flowAgent.UpdateHealth(now)
	if !changed {
		return
	}
	failing := 0
	if h != nil {
		failing = h.Failing
	}
	events.HealthChanged.Log(a.process.Logger, slog.Int("count", failing))
	go (&healthReport{agent: a}).run()
}

// healthReport publishes the agent's latest word on the target's answers. It has its own goroutine because the control
// goroutine may wait for the agent's mutex.
type healthReport struct {
	agent *passthroughAgent
}

func (r *healthReport) run() {
	a := r.agent
	a.node.Gossip.Do(context.Background(), func(now time.Time) {
		a.mutex.Lock()
		latest := a.flowAgent.Health()
		a.mutex.Unlock()
		a.node.Gossip.SetHealth(now, latest)
	})
}
