package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// DownRetention is how long the store object of an instance that is down or has left is retained. It is longer than
	// any outage after which the instance may return with its target.
	DownRetention = 2 * time.Minute
	// collectPeriod is the interval between checks for stale objects.
	collectPeriod = 10 * time.Second
)

// collectLoop removes stale objects periodically, and those that a return of the store brought back, until ctx is
// cancelled.
func (r *Registrar) collectLoop(ctx context.Context) {
	ticker := time.NewTicker(collectPeriod)
	defer ticker.Stop()
	// An instance that left shortly before the return may be known as down first, and as left later.
	var checkLeftUntil time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.CollectStale(ctx, now)
			if now.Before(checkLeftUntil) {
				r.deleteLeft(ctx)
			}
		case <-r.returned:
			checkLeftUntil = time.Now().Add(DownRetention)
			clear(r.removed)
			r.retry(ctx, r.deleteLeft)
		}
	}
}

// runPeriodically calls f once per period until ctx is cancelled.
func runPeriodically(ctx context.Context, period time.Duration, f func(now time.Time)) {
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

// CollectStale removes the store objects of members that have been down for DownRetention, or whose address another
// member holds, and returns the names of these members. It does nothing unless this instance is the first serving entry.
// A member that returns writes its object again.
func (r *Registrar) CollectStale(ctx context.Context, now time.Time) []string {
	members := r.Gossip.View().Members
	if !r.isCollector(members) {
		return nil
	}
	var removed []string
	downSince := map[string]time.Time{}
	holders, _ := facts.ResolveAddresses(members)
	for _, m := range members {
		if m.State != facts.StateDown && m.State != facts.StateLeft {
			delete(r.removed, m.Instance)
			continue
		}
		since, known := r.downSince[m.Instance]
		if !known {
			since = now
		}
		downSince[m.Instance] = since
		holder, taken := holders[m.Packets.Addr()]
		superseded := taken && m.Role == facts.RoleAgent && holder.Instance != m.Instance
		if known && (superseded || now.Sub(since) >= DownRetention) && !r.removed[m.Instance] {
			if err := r.Store.Delete(ctx, KindInstances, m.Instance, 0); err != nil {
				events.StoreUnavailable.Log(r.Logger, events.ErrorAttr(err))
				continue
			}
			events.EntryRemoved.Log(r.Logger, slog.String("member", m.Instance), slog.Int64("ageMs", now.Sub(since).Milliseconds()))
			removed = append(removed, m.Instance)
		}
	}
	for _, instance := range removed {
		r.removed[instance] = true
	}
	r.downSince = downSince
	return removed
}

// isCollector reports whether this instance removes the objects of others. Other goroutines change Self, but not the fields
// that are read here.
func (r *Registrar) isCollector(members []facts.Member) bool {
	return r.Gossip.Self.Role == facts.RoleEntry && isFirstServingEntry(r.Gossip.Self.Instance, members)
}

// isFirstServingEntry reports whether no other serving entry has a lower name than the entry self. That entry writes to the store
// on behalf of the fleet: it removes stale objects and writes the audit trail.
func isFirstServingEntry(self string, members []facts.Member) bool {
	for _, m := range members {
		if m.Role == facts.RoleEntry && m.State == facts.StateServing && m.Instance < self {
			return false
		}
	}
	return true
}
