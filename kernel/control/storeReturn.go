package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// rewriteSpread is the time over which the instances write their objects again after a return of the store. Their objects
// must be there again 2 s after it, and the instances learn of it within a second.
const rewriteSpread = 500 * time.Millisecond

// returnSilence is the time without an answer of the store after which what is known of an object is read again before a
// write that depends on its revision: an instance that was cut off while the store returned could replace another object, to
// which the revision was assigned again.
const returnSilence = 2 * time.Second

// storeReturns tells this instance's parts and its peers when the store has returned from an older copy. Most instances make
// no calls while nothing changes, so they learn it from a peer.
type storeReturns struct {
	store *store.Client
	// onReport is called when a peer reports an era that this instance has not seen.
	onReport func()

	// reported is the latest era that a peer reported.
	reported atomic.Uint64
}

// Era returns the latest era that the store itself has reported to this instance. What peers report is not passed on,
// because anyone can call a control address.
func (r *storeReturns) Era() uint64 {
	return r.store.Era()
}

// ObserveEra records the era that a peer has seen. It does not block.
func (r *storeReturns) ObserveEra(era uint64) {
	if era <= r.store.Era() || r.reported.Swap(era) == era {
		return
	}
	r.onReport()
}

// runStoreReturns tells the peers and the registrar of each return of the store until ctx is cancelled.
func (n *Node) runStoreReturns(ctx context.Context) {
	for {
		era, ended := n.Store.EraEnd()
		select {
		case <-ctx.Done():
			return
		case <-ended:
		}
		if era != 0 {
			n.Registrar.MarkReturned()
			n.Gossip.Do(ctx, n.Gossip.PushVersions)
		}
	}
}

// returnCheck detects returns of the store between the steps of a periodic task. The zero value is ready to use.
type returnCheck struct {
	era uint64
}

// returned reports whether the store has returned from an older copy since the previous call.
func (c *returnCheck) returned(s *store.Client) bool {
	latest := s.Era()
	returned := c.era != 0 && latest != c.era
	c.era = latest
	return returned
}

// mayHaveMissedReturn reports whether this instance may not know yet, at now, that the store has returned from an older copy.
// The store is away for a moment before it returns.
func mayHaveMissedReturn(now time.Time, s *store.Client) bool {
	return now.Sub(s.LastResponse()) > returnSilence
}

// deleteLeft deletes the objects that are in the store again, after its return, of instances that have left or whose
// target had deregistered before they went down. It does nothing unless this instance is the first serving entry. It
// returns false if the calls must be repeated.
func (r *Registrar) deleteLeft(ctx context.Context) bool {
	members := r.Gossip.View().Members
	if !r.isCollector(members) {
		return true
	}
	left := make(map[string]bool)
	for _, m := range members {
		gone := m.State == facts.StateDown && m.Target != nil && m.Target.State == facts.TargetGone
		left[m.Instance] = m.State == facts.StateLeft || gone
	}
	page, err := r.Store.List(ctx, KindInstances, false)
	for i := 0; err == nil && i < len(page.Objects); i++ {
		o := page.Objects[i]
		if !left[o.Name] {
			continue
		}
		// The revision guards an object that the instance, started again, has just written.
		err = r.Store.Delete(ctx, KindInstances, o.Name, o.Revision)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			err = nil
			continue
		}
		if err == nil {
			events.LeftObjectDeleted.Log(r.Logger, slog.String("member", o.Name), slog.Uint64("revision", o.Revision),
				slog.Uint64("era", o.Era))
		}
	}
	if err != nil {
		events.StoreUnavailable.Log(r.Logger, events.ErrorAttr(err))
	}
	return err == nil
}
