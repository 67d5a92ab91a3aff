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

// MethodPlan asks an instance for the plan it uses.
const MethodPlan = "plan.get"

const (
	// watchWait is how long a watch waits. Each watch is a priced call, but one that hears nothing while the store loses its
	// history must end well within the 3 s after which a plan is in force.
	watchWait = 1800 * time.Millisecond
	// watchCheck is how often an instance that does not watch looks whether it has to.
	watchCheck = 100 * time.Millisecond
	// freshWait bounds a read after word of a newer plan, within the second that a plan may take.
	freshWait = time.Second
	// gatherDelay gathers plans that follow each other quickly into one read.
	gatherDelay = 150 * time.Millisecond
)

// PlanRequest asks for a plan.
type PlanRequest struct{}

// PlanReply carries the plan in use; Version 0 means none.
type PlanReply struct {
	Plan plan.Plan `json:"plan"`
}

// Plans follows the plan: it watches the store, and reads it anew when a peer uses a newer one. When the store does
// not answer, the peer is asked.
type Plans struct {
	Store  *store.Client
	Format plan.Format
	Pool   *peer.Pool
	Logger *slog.Logger
	// OnPlan takes each newer plan.
	OnPlan func(p *plan.Plan)
	// Watches says whether this instance has to ask the store itself at now.
	Watches func(now time.Time) bool

	current atomic.Pointer[plan.Plan]
	newer   chan offer
	link    dependency
}

// offer says that a peer uses a plan.
type offer struct {
	version uint64
	from    netip.AddrPort
}

// Start follows the plan until ctx ends.
func (p *Plans) Start(ctx context.Context) {
	go p.run(ctx)
	go p.loop(ctx)
}

// prepare makes Heard usable, which peers may cause before Start.
func (p *Plans) prepare() {
	p.newer = make(chan offer, 1)
	p.link = dependency{name: "storePlan", logger: p.Logger}
}

// Current returns the plan in use, or nil.
func (p *Plans) Current() *plan.Plan {
	return p.current.Load()
}

// Version returns the version of the plan in use, or 0.
func (p *Plans) Version() uint64 {
	if c := p.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Heard takes word that a peer uses a version. It does not block.
func (p *Plans) Heard(version uint64, from netip.AddrPort) {
	if version <= p.Version() {
		return
	}
	select {
	case p.newer <- offer{version: version, from: from}:
	default:
	}
}

// Handlers returns the methods that Plans answers.
func (p *Plans) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{MethodPlan: peer.Handle(func(context.Context, PlanRequest) (PlanReply, error) {
		if c := p.current.Load(); c != nil {
			return PlanReply{Plan: *c}, nil
		}
		return PlanReply{}, nil
	})}
}

// run watches the store.
func (p *Plans) run(ctx context.Context) {
	kind, _ := p.Format.Location()
	retry := pauser{}
	revision := uint64(0)
	for ctx.Err() == nil {
		if !p.Watches(time.Now()) {
			revision = 0
			wait(ctx, watchCheck)
			continue
		}
		next, err := p.follow(ctx, kind, revision)
		p.link.saw(err)
		var expired *store.ExpiredError
		switch {
		case errors.As(err, &expired):
			revision = 0
		case err != nil:
			// A watch that got no answer may have missed changes: the next call lists.
			revision = 0
			retry.pause(ctx)
		default:
			revision, retry = next, pauser{}
		}
	}
}

func (p *Plans) follow(ctx context.Context, kind string, revision uint64) (uint64, error) {
	var page store.Page
	var err error
	if revision == 0 {
		page, err = p.Store.List(ctx, kind)
	} else {
		page, err = p.Store.Watch(ctx, kind, revision, watchWait)
	}
	if err != nil {
		return 0, err
	}
	p.takeAll(page.Objects, "store")
	if revision != 0 && len(page.Objects) > 0 {
		wait(ctx, gatherDelay)
	}
	return page.Revision, nil
}

// takeAll takes the last object that holds the plan.
func (p *Plans) takeAll(objects []store.Object, source string) {
	_, name := p.Format.Location()
	for i := len(objects) - 1; i >= 0; i-- {
		o := objects[i]
		if o.Name != name || o.Deleted {
			continue
		}
		decoded, err := p.Format.Decode(o.Spec)
		if err != nil {
			events.PlanRefused.Log(p.Logger, slog.Uint64("revision", o.Revision), events.Failure(err))
			return
		}
		p.take(decoded, source, o.Revision)
		return
	}
}

func (p *Plans) take(n *plan.Plan, source string, revision uint64) {
	for {
		held := p.current.Load()
		if n.Version == 0 || held != nil && n.Version <= held.Version {
			return
		}
		if p.current.CompareAndSwap(held, n) {
			break
		}
	}
	events.PlanTaken.Log(p.Logger, slog.Uint64("planVersion", n.Version), slog.String("source", source),
		slog.Uint64("revision", revision), slog.Int("routes", len(n.Routes)))
	p.OnPlan(n)
}

// loop fetches plans that peers use and this instance does not.
func (p *Plans) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-p.newer:
			if o.version > p.Version() {
				p.fetch(ctx, o)
			}
		}
	}
}

// fetch asks the peer that uses a newer plan for it, and the store if the peer fails.
func (p *Plans) fetch(ctx context.Context, o offer) {
	if p.ask(ctx, o) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, freshWait)
	defer cancel()
	kind, name := p.Format.Location()
	object, err := p.Store.Get(ctx, kind, name)
	if err != nil {
		events.StoreUnavailable.Log(p.Logger, events.Failure(err), slog.Uint64("planVersion", o.version))
		return
	}
	p.takeAll([]store.Object{object}, "storeAfterPeer")
}

// ask takes the plan from the peer and reports whether that is as new as the peer said.
func (p *Plans) ask(ctx context.Context, o offer) bool {
	ctx, cancel := context.WithTimeout(ctx, freshWait)
	defer cancel()
	var reply PlanReply
	if err := p.Pool.Call(ctx, o.from, MethodPlan, PlanRequest{}, &reply); err != nil {
		events.PeerFailed.Log(p.Logger, slog.String("peer", o.from.String()), events.Failure(err))
		return false
	}
	reply.Plan.Index()
	p.take(&reply.Plan, o.from.String(), 0)
	return p.Version() >= o.version
}
