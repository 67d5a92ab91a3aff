package cmd

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// latestTarget returns the latest known state of the target, and false if none is known. A target whose process does not
// exist is gone: its host holds no flows, so no one has to ask about them until the target announces itself again. This
// includes an unknown target, which entries would otherwise take for that of an agent that has just started. The caller
// must hold the mutex.
func (a *passthroughAgent) latestTarget() (facts.Target, bool) {
	t, known := a.tracker.Target()
	if a.flowAgent.TargetIsAbsent() {
		t.State = facts.TargetGone
		return t, true
	}
	return t, known
}

// publishTarget logs a changed state of the target and publishes it to the other instances. The state is read on the
// control goroutine, so that what is published last is the latest state, in whatever order the callers get there.
func (a *passthroughAgent) publishTarget(source string, sequence uint64) {
	a.mutex.Lock()
	t, known := a.latestTarget()
	if !known || a.published != nil && *a.published == t {
		a.mutex.Unlock()
		return
	}
	a.published = &t
	a.mutex.Unlock()
	events.TargetChanged.Log(a.process.Logger, slog.String("target", t.ID), slog.Int64("bornMs", t.StartedMs),
		slog.String("state", string(t.State)), slog.Int("slots", t.Slots), slog.String("source", source),
		slog.Uint64("sequence", sequence))
	a.node.Gossip.Do(context.Background(), func(now time.Time) {
		a.mutex.Lock()
		latest, _ := a.latestTarget()
		a.mutex.Unlock()
		a.node.Gossip.SetTarget(now, latest)
	})
}
