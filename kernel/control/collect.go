package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// KeptAfterDeath is how long the entry of an instance that is down stays in the store: longer than any outage after
	// which it may come back with its target.
	KeptAfterDeath = 2 * time.Minute
	// collectPeriod is how often entries of dead instances are looked for.
	collectPeriod = 10 * time.Second
)

// loop removes the entries of instances that are gone for good.
func (r *Register) loop(ctx context.Context) {
	every(ctx, collectPeriod, func(now time.Time) { r.Collect(ctx, now) })
}

// every calls f once in a period until ctx ends.
func every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

// Collect removes the entries of members that were down for KeptAfterDeath, if this instance is the one to do so, and
// returns their names. A member that comes back writes its entry anew.
func (r *Register) Collect(ctx context.Context, now time.Time) []string {
	members := r.Spread.View().Members
	if r.Spread.Self.Role != facts.RoleEntry || !firstEntry(r.Spread.Self, members) {
		return nil
	}
	var removed []string
	down := map[string]time.Time{}
	for _, m := range members {
		if m.State != facts.StateDown && m.State != facts.StateLeft {
			continue
		}
		since, known := r.down[m.Instance]
		if !known {
			since = now
		}
		down[m.Instance] = since
		if known && now.Sub(since) >= KeptAfterDeath && !r.removed[m.Instance] {
			if err := r.Store.Delete(ctx, KindInstances, m.Instance, 0); err != nil {
				events.StoreUnavailable.Log(r.Logger, events.Failure(err))
				continue
			}
			events.EntryRemoved.Log(r.Logger, slog.String("member", m.Instance), slog.Int64("ageMs", now.Sub(since).Milliseconds()))
			removed = append(removed, m.Instance)
		}
	}
	for _, instance := range removed {
		r.removed[instance] = true
	}
	r.down = down
	return removed
}

// firstEntry picks the one entry of the fleet that writes for all: it removes entries and keeps the audit trail.
func firstEntry(self facts.Member, members []facts.Member) bool {
	for _, m := range members {
		if m.Role == facts.RoleEntry && m.State == facts.StateServing && m.Instance < self.Instance {
			return false
		}
	}
	return true
}
