package control

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// MethodPlan is the JSON-RPC method that returns the plan an instance uses.
const MethodPlan = "plan.get"

const (
	// watchTimeout is how long a watch waits for changes. Each watch is a billed call, which favours long watches. But
	// a watch misses changes if the store loses its history, so it must end well within the 3 s after which an
	// acknowledged plan must be in force.
	watchTimeout = 1800 * time.Millisecond
	// watchCheckInterval is how often an instance that does not watch checks whether it should.
	watchCheckInterval = 100 * time.Millisecond
	// fetchTimeout limits each read of a newer plan that a peer reported. A plan may take one second to arrive.
	fetchTimeout = time.Second
	// watchCoalesceDelay is the pause after a change, so that plans in quick succession are read at once.
	watchCoalesceDelay = 150 * time.Millisecond
)

// PlanRequest asks an instance for the plan in use.
type PlanRequest struct{}

// PlanReply carries the plan in use. Version 0 means that there is none.
type PlanReply struct {
	Plan plan.Plan `json:"plan"`
}

// Plans keeps the plan up to date. It watches the store, and fetches a newer plan from the peer that reports one, or
// from the store if the peer fails.
type Plans struct {
	Store  *store.Client
	Format plan.Format
	Pool   *peer.Pool
	Logger *slog.Logger
	// OnPlan is called with each newer plan.
	OnPlan func(p *plan.Plan)
	// ShouldWatch reports whether this instance should watch the store at now.
	ShouldWatch func(now time.Time) bool

	current atomic.Pointer[plan.Plan]
	reports chan versionReport
	health  dependencyHealth
}

// versionReport is a report by a peer of the version of the plan that it uses.
type versionReport struct {
	version uint64
	from    netip.AddrPort
}

// Start keeps the plan up to date until ctx is cancelled.
func (p *Plans) Start(ctx context.Context) {
	go p.watchLoop(ctx)
	go p.fetchLoop(ctx)
}

// prepare initialises the fields that ObserveVersion uses, because peers may report versions before Start.
func (p *Plans) prepare() {
	p.reports = make(chan versionReport, 1)
	p.health = dependencyHealth{name: "storePlan", logger: p.Logger}
}

// Current returns the plan in use, or nil if there is none.
func (p *Plans) Current() *plan.Plan {
	return p.current.Load()
}

// Version returns the version of the plan in use, or 0 if there is none.
func (p *Plans) Version() uint64 {
	if c := p.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// ObserveVersion records the plan version that a peer uses and triggers a fetch if it is newer. It does not block.
func (p *Plans) ObserveVersion(version uint64, from netip.AddrPort) {
	if version <= p.Version() {
		return
	}
	select {
	case p.reports <- versionReport{version: version, from: from}:
	default:
	}
}

// Handlers returns the JSON-RPC handlers of Plans.
func (p *Plans) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{MethodPlan: peer.Handle(func(context.Context, PlanRequest) (PlanReply, error) {
		if c := p.current.Load(); c != nil {
			return PlanReply{Plan: *c}, nil
		}
		return PlanReply{}, nil
	})}
}

// watchLoop watches the plan in the store until ctx is cancelled.
func (p *Plans) watchLoop(ctx context.Context) {
	kind, _ := p.Format.Location()
	retry := backoff{}
	revision := uint64(0)
	for ctx.Err() == nil {
		if !p.ShouldWatch(time.Now()) {
			revision = 0
			sleep(ctx, watchCheckInterval)
			continue
		}
		next, err := p.listOrWatch(ctx, kind, revision)
		p.health.observe(err)
		var expired *store.ExpiredError
		switch {
		case errors.As(err, &expired):
			revision = 0
		case err != nil:
			// A watch without a reply may have missed changes, so that the next call lists the objects.
			revision = 0
			retry.wait(ctx)
		default:
			revision, retry = next, backoff{}
		}
	}
}

// listOrWatch lists the objects of a kind if revision is 0, and otherwise waits for changes after that revision. It
// applies the latest plan and returns the revision from which to watch next.
func (p *Plans) listOrWatch(ctx context.Context, kind string, revision uint64) (uint64, error) {
	var page store.Page
	var err error
	if revision == 0 {
		page, err = p.Store.List(ctx, kind, false)
	} else {
		page, err = p.Store.Watch(ctx, kind, revision, watchTimeout)
	}
	if err != nil {
		return 0, err
	}
	p.applyLatest(page.Objects, "store")
	if revision != 0 && len(page.Objects) > 0 {
		sleep(ctx, watchCoalesceDelay)
	}
	return page.Revision, nil
}

// applyLatest applies the plan from the last of the given objects that holds it.
func (p *Plans) applyLatest(objects []store.Object, source string) {
	_, name := p.Format.Location()
	for i := len(objects) - 1; i >= 0; i-- {
		o := objects[i]
		if o.Name != name || o.Deleted {
			continue
		}
		decoded, err := p.Format.Decode(o.Spec)
		if err != nil {
			events.PlanRefused.Log(p.Logger, slog.Uint64("revision", o.Revision), events.ErrorAttr(err))
			return
		}
		p.apply(decoded, source, o.Revision)
		return
	}
}

// apply puts a plan in force if it is newer than the one in use. The source is only logged.
func (p *Plans) apply(next *plan.Plan, source string, revision uint64) {
	for {
		current := p.current.Load()
		if next.Version == 0 || current != nil && next.Version <= current.Version {
			return
		}
		if p.current.CompareAndSwap(current, next) {
			break
		}
	}
	events.PlanTaken.Log(p.Logger, slog.Uint64("planVersion", next.Version), slog.String("source", source),
		slog.Uint64("revision", revision), slog.Int("routes", len(next.Routes)))
	p.OnPlan(next)
}

// fetchLoop fetches the newer plans that peers report until ctx is cancelled.
func (p *Plans) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-p.reports:
			if r.version > p.Version() {
				p.fetch(ctx, r)
			}
		}
	}
}

// fetch reads the newer plan from the peer that reported it, or from the store if the peer fails.
func (p *Plans) fetch(ctx context.Context, r versionReport) {
	if p.fetchFromPeer(ctx, r) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	kind, name := p.Format.Location()
	object, err := p.Store.Get(ctx, kind, name)
	if err != nil {
		events.StoreUnavailable.Log(p.Logger, events.ErrorAttr(err), slog.Uint64("planVersion", r.version))
		return
	}
	p.applyLatest([]store.Object{object}, "storeAfterPeer")
}

// fetchFromPeer reads and applies the peer's plan. It reports whether the plan in use is now at least as new as the
// version that the peer reported.
func (p *Plans) fetchFromPeer(ctx context.Context, r versionReport) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply PlanReply
	if err := p.Pool.Call(ctx, r.from, MethodPlan, PlanRequest{}, &reply); err != nil {
		events.PeerFailed.Log(p.Logger, slog.String("peer", r.from.String()), events.ErrorAttr(err))
		return false
	}
	reply.Plan.Index()
	p.apply(&reply.Plan, r.from.String(), 0)
	return p.Version() >= r.version
}
