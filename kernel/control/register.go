// Package control joins an instance to the others: its entry in the store, the members found there, and the plan.
package control

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// KindInstances is the store's kind of the objects that hold one member fact each.
const KindInstances = "instances"

const (
	// retryLeast and retryGreatest bound the pause after a failed call. The greatest keeps entries of living
	// instances back within 2 s of the store's return.
	retryLeast    = 100 * time.Millisecond
	retryGreatest = 1200 * time.Millisecond
	// lonelyPeriod is how often an instance that no peer answers lists the members anew.
	lonelyPeriod = 300 * time.Millisecond
	// changeDelay gathers changes that follow each other into one write.
	changeDelay = 20 * time.Millisecond
)

// Register keeps this instance's fact in the store, and reads the others' at the start and while no peer answers.
type Register struct {
	Store  *store.Client
	Spread *peer.Spread
	Logger *slog.Logger
	// OnOwn takes what the store holds of this instance from before its start; it may be nil.
	OnOwn func(m facts.Member)

	changed chan struct{}
	link    dependency
	// down are the members that were found down, and since when; removed are those whose entries were removed.
	down    map[string]time.Time
	removed map[string]bool
	// exists says that the store held this instance's object.
	exists bool
}

// Start reads the members and keeps the fact written until ctx ends.
func (r *Register) Start(ctx context.Context) {
	go r.run(ctx)
	go r.loop(ctx)
}

// prepare makes Changed usable, which the first announcement causes before Start.
func (r *Register) prepare() {
	r.changed = make(chan struct{}, 1)
	r.removed = make(map[string]bool)
	r.link = dependency{name: "storeMembers", logger: r.Logger}
}

// Changed says that this instance's fact has to be written again. It does not block.
func (r *Register) Changed() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Register) run(ctx context.Context) {
	// The list comes first: it holds what this instance knew of its target before its start.
	if !r.insist(ctx, r.list) {
		return
	}
	ticker := time.NewTicker(lonelyPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
			wait(ctx, changeDelay)
			if !r.insist(ctx, r.write) {
				return
			}
			continue
		case now := <-ticker.C:
			// Instances that start together list before either has written.
			if now.Sub(r.Spread.Answered()) > peersSilent {
				r.list(ctx)
			}
		}
	}
}

// insist repeats a call until it succeeds, and reports false when ctx ended first.
func (r *Register) insist(ctx context.Context, call func(context.Context) bool) bool {
	p := pauser{}
	for !call(ctx) {
		if !p.pause(ctx) {
			return false
		}
	}
	return true
}

func (r *Register) list(ctx context.Context) bool {
	page, err := r.Store.List(ctx, KindInstances)
	r.link.saw(err)
	if err != nil {
		return false
	}
	var all []facts.Fact
	for _, o := range page.Objects {
		f, ok := factOf(o)
		if !ok {
			events.FactRefused.Log(r.Logger, slog.String("object", o.Name), slog.Uint64("revision", o.Revision))
			continue
		}
		all = append(all, f)
		r.restoreOwn(f)
	}
	events.MembersRead.Log(r.Logger, slog.Int("members", len(all)), slog.Uint64("revision", page.Revision))
	return r.Spread.Do(ctx, func(now time.Time) { r.Spread.Accept(now, all) })
}

func (r *Register) restoreOwn(f facts.Fact) {
	if f.Name != r.Spread.Self.Instance {
		return
	}
	r.exists = true
	if r.OnOwn == nil {
		return
	}
	if m, err := facts.MemberOf(f); err == nil {
		r.OnOwn(m)
	}
}

// factOf reads a member fact; objects of other writers may hold anything.
func factOf(o store.Object) (facts.Fact, bool) {
	var f facts.Fact
	if err := json.Unmarshal(o.Spec, &f); err != nil || f.Kind != facts.KindMember || f.Name != o.Name {
		return facts.Fact{}, false
	}
	m, err := facts.MemberOf(f)
	return f, err == nil && m.Instance == f.Name && m.Packets.IsValid() && m.Control.IsValid()
}

func (r *Register) write(ctx context.Context) bool {
	var f facts.Fact
	var ok bool
	if !r.Spread.Do(ctx, func(time.Time) { f, ok = r.Spread.Own() }) || !ok {
		return ctx.Err() != nil
	}
	spec, err := json.Marshal(f)
	if err != nil {
		events.FactRefused.Log(r.Logger, events.Failure(err))
		return true
	}
	if r.exists {
		_, err = r.Store.Put(ctx, KindInstances, f.Name, spec)
	} else {
		_, err = r.Store.Create(ctx, KindInstances, f.Name, spec)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// The answer to an earlier creation was lost.
		r.exists = true
		return false
	}
	r.link.saw(err)
	r.exists = r.exists || err == nil
	return err == nil
}

// Remove deletes this instance's entry.
func (r *Register) Remove(ctx context.Context, instance string) {
	if err := r.Store.Delete(ctx, KindInstances, instance, 0); err != nil {
		events.StoreUnavailable.Log(r.Logger, events.Failure(err))
	}
}

// pauser waits longer after each failure. Its zero value is ready to use.
type pauser struct {
	next time.Duration
}

// pause reports false when ctx ended.
func (p *pauser) pause(ctx context.Context) bool {
	p.next = min(max(2*p.next, retryLeast), retryGreatest)
	return wait(ctx, p.next/2+rand.N(p.next/2))
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// dependency logs when something that this process needs is lost and regained.
type dependency struct {
	name   string
	logger *slog.Logger
	lost   time.Time
}

func (d *dependency) saw(err error) {
	now := time.Now()
	switch {
	case err != nil && d.lost.IsZero():
		d.lost = now
		events.DependencyLost.Log(d.logger, slog.String("dependency", d.name), events.Failure(err))
	case err == nil && !d.lost.IsZero():
		events.DependencyRegained.Log(d.logger, slog.String("dependency", d.name), slog.Int64("ageMs", now.Sub(d.lost).Milliseconds()))
		d.lost = time.Time{}
	}
}
