// Package control connects an instance to the fleet. It writes the instance's object to the store, reads the other
// members from there, and keeps the plan up to date.
package control

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// KindInstances is the kind of the store objects that hold one member fact each.
const KindInstances = "instances"

const (
	// minRetryDelay and maxRetryDelay limit the delay after a failed call. With the maximum, the objects of live
	// instances are back in the store within 2 s of its recovery.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// isolatedListInterval is how often an instance lists the members in the store while no peer answers.
	isolatedListInterval = 300 * time.Millisecond
	// agentListDelay and agentListSpread determine when after its start an agent lists the members: after the delay and a
	// random part of the spread. Entries list at once. After a loss of power all instances start together, and the
	// listings of the agents, which serve without one, would hold up those of the entries on the store's link.
	agentListDelay  = 150 * time.Millisecond
	agentListSpread = 400 * time.Millisecond
	// initialTargetWait is how long an agent waits with its first write for the announcement of its target, which its object
	// is of no use without. Targets announce themselves every 770 ms.
	initialTargetWait = 900 * time.Millisecond
	// rewriteInterval is how long an unchanged fact is not written again. It is shorter than DownRetention, so that an
	// instance that returns after its object was removed writes it.
	rewriteInterval = time.Minute
	// removeTimeout limits the repeated attempts to delete the object of an instance that stops.
	removeTimeout = 2 * time.Second
	// writeCoalesceDelay is the delay before a write, so that changes in quick succession are written at once.
	writeCoalesceDelay = 20 * time.Millisecond
)

// Registrar writes this instance's fact to the store. It reads the facts of other members from the store at the start
// and while no peer answers.
type Registrar struct {
	Store  *store.Client
	Gossip *peer.Gossip
	Logger *slog.Logger
	// OnRestore is called with the member that the store holds for this instance from before its start. It may be nil.
	OnRestore func(m facts.Member)

	changed chan struct{}
	// returned is signalled when the store has returned from an older copy.
	returned chan struct{}
	returns  storeReturns
	health   dependencyHealth
	// downSince maps members that are down or have left to the time when this instance first observed it. removed holds
	// the members whose objects this instance has removed.
	downSince map[string]time.Time
	removed   map[string]bool
	// objectExists is set once this instance's object is known to exist in the store.
	objectExists bool
	// written is what the store holds as far as is known, since writtenAt.
	written   facts.Fact
	writtenAt time.Time
	// era is the store's era in which the object was last read, written or deleted, or 0. answered is the era that a peer had
	// reported when that was done, which may be a wrong one.
	era      uint64
	answered uint64
	// deleted is set once the object was deleted because the target has terminated. stopping is set by Remove.
	deleted atomic.Bool
	// listed is set once the members were listed and accepted.
	listed   atomic.Bool
	stopping atomic.Bool
}

// Start reads the members, writes this instance's fact after each change and removes stale objects until ctx is
// cancelled.
func (r *Registrar) Start(ctx context.Context) {
	go r.run(ctx)
	go r.collectLoop(ctx)
}

// prepare initialises the fields that MarkChanged uses, because the instance may publish its fact before Start.
func (r *Registrar) prepare() {
	r.changed = make(chan struct{}, 1)
	r.returned = make(chan struct{}, 1)
	r.returns = storeReturns{store: r.Store, onReport: r.MarkChanged}
	r.removed = make(map[string]bool)
	r.health = dependencyHealth{name: "storeMembers", logger: r.Logger}
}

// Listed reports whether the instance has listed the members in the store since its start. If it does so on the control
// goroutine, the members of the listing are accepted.
func (r *Registrar) Listed() bool {
	return r.listed.Load()
}

// MarkChanged schedules a write of this instance's fact. It does not block.
func (r *Registrar) MarkChanged() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// MarkReturned schedules what is due after a return of the store from an older copy. It does not block.
func (r *Registrar) MarkReturned() {
	r.MarkChanged()
	select {
	case r.returned <- struct{}{}:
	default:
	}
}

// run reads what the store knows, and then writes this instance's fact after each change until ctx is cancelled.
func (r *Registrar) run(ctx context.Context) {
	// The read precedes the first write, because it returns what this instance knew of its target before its start.
	first, listDelay := r.listMembers, isolatedListInterval
	if r.Gossip.Self.Role == facts.RoleAgent {
		first, listDelay = r.readSelf, agentListDelay+rand.N(agentListSpread)
	}
	if !r.retry(ctx, first) {
		return
	}
	list := time.NewTimer(listDelay)
	defer list.Stop()
	listed := r.Gossip.Self.Role != facts.RoleAgent
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
			sleep(ctx, writeCoalesceDelay)
			if r.mayBeLost() {
				sleep(ctx, rand.N(rewriteSpread))
			}
			if !r.awaitTarget(ctx) || !r.retry(ctx, r.writeSelf) {
				return
			}
			continue
		case now := <-list.C:
			// List again while no peer answers: instances that start at the same time may list before any of them has
			// written its object.
			if !listed || now.Sub(r.Gossip.LastReply()) > peerSilenceLimit {
				listed = r.listMembers(ctx) || listed
			}
			list.Reset(isolatedListInterval)
		}
	}
}

// retry repeats a call until it succeeds. It returns false if ctx is cancelled first.
func (r *Registrar) retry(ctx context.Context, call func(context.Context) bool) bool {
	b := backoff{}
	for !call(ctx) {
		if !b.wait(ctx) {
			return false
		}
	}
	return true
}

// useSeeds makes the instance turn to the seeds at once, because the store does not tell it of other peers.
func (r *Registrar) useSeeds(ctx context.Context) {
	r.Gossip.Do(ctx, func(time.Time) { r.Gossip.SeedDelay = 0 })
}

// readSelf reads this instance's object. It reports whether the call succeeded, also if there is no object.
func (r *Registrar) readSelf(ctx context.Context) bool {
	o, err := r.Store.Get(ctx, KindInstances, r.Gossip.Self.Instance)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		r.health.observe(nil)
		return true
	}
	r.health.observe(err)
	if err != nil {
		r.useSeeds(ctx)
		return false
	}
	f, err := decodeFact(time.Now(), o)
	if err != nil {
		r.refuseObject(o, err)
		return true
	}
	r.restoreSelf(f, o.Era)
	return r.Gossip.Do(ctx, func(now time.Time) { r.Gossip.Accept(now, []facts.Fact{f}) })
}

// listMembers accepts the valid member facts in the store. What an agent reads may be out of date: it needs only some
// entries, from which it learns the rest. It reports whether the call succeeded.
func (r *Registrar) listMembers(ctx context.Context) bool {
	page, err := r.Store.List(ctx, KindInstances, r.Gossip.Self.Role == facts.RoleAgent)
	r.health.observe(err)
	if err != nil {
		r.useSeeds(ctx)
		return false
	}
	var all []facts.Fact
	for _, o := range page.Objects {
		f, err := decodeFact(time.Now(), o)
		if err != nil {
			r.refuseObject(o, err)
			continue
		}
		all = append(all, f)
		r.restoreSelf(f, o.Era)
	}
	events.MembersRead.Log(r.Logger, slog.Int("members", len(all)), slog.Uint64("revision", page.Revision),
		slog.Uint64("era", page.Era))
	return r.Gossip.Do(ctx, func(now time.Time) {
		r.Gossip.Accept(now, all)
		r.listed.Store(true)
		r.Gossip.ExchangeNow(ctx, now)
	})
}

// restoreSelf passes the fact about this instance that was read in an era of the store to OnRestore. It ignores facts about
// other members.
func (r *Registrar) restoreSelf(f facts.Fact, era uint64) {
	if f.Name != r.Gossip.Self.Instance {
		return
	}
	known := r.objectExists
	r.objectExists = true
	if !known {
		r.written, r.writtenAt, r.era = f, time.Now(), era
	}
	if r.OnRestore == nil || known {
		return
	}
	if m, err := facts.DecodeMember(f); err == nil {
		r.OnRestore(m)
	}
}

// decodeFact decodes and validates a member fact that was read by now. Objects written by other programs may hold anything.
func decodeFact(now time.Time, o store.Object) (facts.Fact, error) {
	var f facts.Fact
	if err := json.Unmarshal(o.Spec, &f); err != nil {
		return f, errors.WithStack(&facts.BodyError{Name: o.Name, Cause: err})
	}
	if err := f.Check(now); err != nil {
		return f, err
	}
	m, err := facts.DecodeMember(f)
	if err != nil {
		return f, err
	}
	if f.Kind != facts.KindMember || f.Name != o.Name || m.Instance != o.Name {
		return f, errors.WithStack(&facts.InvalidMemberError{Instance: o.Name, Field: "name"})
	}
	return f, m.Check()
}

// refuseObject logs an object that is not the one of an instance.
func (r *Registrar) refuseObject(o store.Object, err error) {
	events.FactRefused.Log(r.Logger, slog.String("object", o.Name), slog.Uint64("revision", o.Revision), events.ErrorAttr(err))
}

// awaitTarget waits until an agent that has just started knows its target, but not longer than initialTargetWait. It
// returns false if ctx is cancelled first.
func (r *Registrar) awaitTarget(ctx context.Context) bool {
	timeout := time.NewTimer(initialTargetWait)
	defer timeout.Stop()
	for r.Gossip.Self.Role == facts.RoleAgent && !r.objectExists && !r.hasTarget(ctx) {
		select {
		case <-ctx.Done():
			return false
		case <-timeout.C:
			return true
		case <-r.changed:
		}
	}
	return true
}

// hasTarget reports whether this instance has published the state of its target.
func (r *Registrar) hasTarget(ctx context.Context) bool {
	has := false
	r.Gossip.Do(ctx, func(time.Time) { has = r.Gossip.Self.Target != nil })
	return has
}

// mayBeLost reports whether the store has returned from an older copy, which this instance or a peer has seen, since the
// object was read, written or deleted.
func (r *Registrar) mayBeLost() bool {
	if r.era == 0 {
		return false
	}
	reported := r.returns.reported.Load()
	return r.era < r.Store.Era() || r.era < reported && r.answered != reported
}

// settle records that the object is as it should be in an era, after a peer reported another one.
func (r *Registrar) settle(era, reported uint64) {
	r.era, r.answered = era, reported
}

// writeSelf writes this instance's fact to the store, unless only its incarnation, version or health differ from what the
// store holds. It removes the object once the target has terminated. It returns false if the call must be repeated.
func (r *Registrar) writeSelf(ctx context.Context) bool {
	if r.stopping.Load() {
		return true
	}
	var f facts.Fact
	var ok, gone bool
	var now time.Time
	done := r.Gossip.Do(ctx, func(t time.Time) {
		now = t
		f, ok = r.Gossip.SelfFact()
		gone = r.Gossip.Self.Target != nil && r.Gossip.Self.Target.State == facts.TargetGone
	})
	if !done || !ok {
		return ctx.Err() != nil
	}
	lost := r.mayBeLost()
	unchanged := r.objectExists && facts.EqualExceptHealth(f, r.written)
	if unchanged && !lost && now.Sub(r.writtenAt) < rewriteInterval {
		return true
	}
	if gone {
		return !lost && (r.deleted.Load() || !r.objectExists) || r.delete(ctx, f)
	}
	r.deleted.Store(false)
	reason := "changed"
	switch {
	case lost:
		reason = "storeReturned"
	case unchanged:
		reason = "expired"
	}
	return r.put(ctx, now, f, reason)
}

// put writes this instance's fact, published at now. It returns false if the call must be repeated.
func (r *Registrar) put(ctx context.Context, now time.Time, f facts.Fact, reason string) bool {
	spec, err := json.Marshal(f)
	if err != nil {
		events.FactRefused.Log(r.Logger, events.ErrorAttr(err))
		return true
	}
	var object store.Object
	reported := r.returns.reported.Load()
	if r.objectExists {
		object, err = r.Store.Put(ctx, KindInstances, f.Name, spec)
	} else {
		object, err = r.Store.Create(ctx, KindInstances, f.Name, spec)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// An earlier create call succeeded, but its reply was lost.
		r.objectExists = true
		return false
	}
	r.health.observe(err)
	if err != nil {
		return false
	}
	r.objectExists, r.written, r.writtenAt = true, f, now
	r.settle(object.Era, reported)
	events.OwnObjectWritten.Log(r.Logger, slog.String("reason", reason), slog.Uint64("revision", object.Revision),
		slog.Uint64("era", object.Era))
	return true
}

// delete deletes the object of this instance, whose target has terminated according to f. It returns false if the call
// must be repeated.
func (r *Registrar) delete(ctx context.Context, f facts.Fact) bool {
	era, reported := r.Store.Era(), r.returns.reported.Load()
	err := r.Store.Delete(ctx, KindInstances, f.Name, 0)
	r.health.observe(err)
	if err == nil {
		r.settle(era, reported)
		r.objectExists, r.written = false, facts.Fact{}
		r.deleted.Store(true)
	}
	return err == nil
}

// Remove deletes the object of this instance, which stops, unless it was deleted before. It repeats the call for
// removeTimeout at most: with an object that is left, the instance would be in use again after the next restart of all.
func (r *Registrar) Remove(ctx context.Context) {
	r.stopping.Store(true)
	if r.deleted.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	r.retry(ctx, func(ctx context.Context) bool {
		err := r.Store.Delete(ctx, KindInstances, r.Gossip.Self.Instance, 0)
		if err != nil {
			events.StoreUnavailable.Log(r.Logger, events.ErrorAttr(err))
		}
		return err == nil
	})
}
