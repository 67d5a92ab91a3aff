package control

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
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
	watchTimeout = 1500 * time.Millisecond
	// watchCheckInterval is how often an instance that does not watch checks whether it should.
	watchCheckInterval = 100 * time.Millisecond
	// fetchTimeout limits the read of a newer plan from the store after no peer sent it.
	fetchTimeout = time.Second
	// maxDecodedPlans is how many plans of one reply of the store are decoded, the latest ones. Decoding 1,450 routes takes
	// up to 60 ms on the smallest core. Each but the last only makes the history complete.
	maxDecodedPlans = 3
	// watchCoalesceDelay is the pause after a change, so that plans in quick succession are read at once.
	watchCoalesceDelay = 150 * time.Millisecond
)

// PlanRequest asks an instance for the plan in use. The zero value asks for the whole plan, as older builds and operators
// do. Otherwise it asks for a piece of an update.
type PlanRequest struct {
	// Pieces is set if the requester takes a compressed update in pieces.
	Pieces bool `json:"pieces,omitempty"`
	// Have is the version of the plan that the requester has, or 0.
	Have uint64 `json:"have,omitempty"`
	// Transfer is a random number, the same in all requests for one update.
	Transfer uint64 `json:"transfer,omitempty"`
	// Version and Base repeat those of the first reply, and Offset is the number of bytes received. They are 0 in the first
	// request for an update.
	Version uint64 `json:"version,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	Offset  int    `json:"offset,omitempty"`
	// From is the control address of the requester. Others are sent there once the requester has the plan.
	From netip.AddrPort `json:"from,omitzero"`
}

// PlanReply carries the plan in use, or a piece of an update to it. Version 0 in both places means that there is none.
type PlanReply struct {
	// Plan is the whole plan.
	Plan plan.Plan `json:"plan,omitzero"`
	// Version is the version of the plan that the update leads to. The requester has the latest plan if Size and RetryMs
	// are 0.
	Version uint64 `json:"version,omitempty"`
	// Base is the version of the requester's plan as far as the responder remembers that plan, otherwise 0.
	Base uint64 `json:"base,omitempty"`
	// Size is the length of the update, and Piece is the requested part of it.
	Size  int    `json:"size,omitempty"`
	Piece []byte `json:"piece,omitempty"`
	// History is that of the plan, in the first reply for an update. An instance of an older build sends none.
	History *plan.HistoryRecord `json:"history,omitempty"`
	// Difference is set if the update is a difference, not a whole plan.
	Difference bool `json:"difference,omitempty"`
	// RetryMs is set if the request is refused. It is when to ask again, in milliseconds. Elsewhere lists instances that
	// have the plan.
	RetryMs   int64            `json:"retryMs,omitempty"`
	Elsewhere []netip.AddrPort `json:"elsewhere,omitempty"`
}

// Caller calls a method of a peer, like *peer.Pool.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Plans keeps the plan up to date. It watches the store, and fetches a newer plan from the peers that report one, or
// from the store if none of them sends it.
type Plans struct {
	Store  *store.Client
	Format plan.Format
	Pool   Caller
	Logger *slog.Logger
	// Self is the control address of this instance.
	Self netip.AddrPort
	// LinkMbps is the capacity of this instance's network link in Mbit/s. 0 means defaultLinkMbps.
	LinkMbps float64
	// OnPlan is called with each newer plan.
	OnPlan func(p *plan.Plan)
	// ShouldWatch reports whether this instance should watch the store at now.
	ShouldWatch func(now time.Time) bool
	// ReadCopy makes Start read the compact copy of the plan, which is used until there is a plan.
	ReadCopy bool
	// ReadHistory makes Start read the stored history of the plan, which becomes part of that of the first plan.
	ReadHistory bool

	current atomic.Pointer[plan.Plan]
	// newest is the highest version that was reported or applied.
	newest atomic.Uint64
	// stored is the version of the plan that was last read from the store, or 0. An instance that no longer reads the store
	// keeps the last one.
	stored atomic.Uint64
	// reported is signalled when a peer reports a newer plan.
	reported chan struct{}
	sources  planSources
	server   planServer
	copy     planCopy
	history  startHistory
	health   dependencyHealth
}

// Start keeps the plan up to date until ctx is cancelled.
func (p *Plans) Start(ctx context.Context) {
	go p.watchLoop(ctx)
	go p.fetchLoop(ctx)
	if p.ReadCopy {
		go p.runCopyRead(ctx)
	}
	if p.ReadHistory {
		go p.runHistoryRead(ctx)
	}
}

// prepare initialises the fields that ObserveVersion uses, because peers may report versions before Start.
func (p *Plans) prepare() {
	p.reported = make(chan struct{}, 1)
	p.server.gate.LinkMbps = p.LinkMbps
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

// NewestVersion returns the highest version that a peer has reported or that is in use.
func (p *Plans) NewestVersion() uint64 {
	return max(p.newest.Load(), p.Version())
}

// ObserveVersion records the plan version that a peer uses and triggers a fetch if it is newer. It does not block.
func (p *Plans) ObserveVersion(version uint64, from netip.AddrPort) {
	if !p.isWanted(version) {
		return
	}
	for newest := p.newest.Load(); version > newest && !p.newest.CompareAndSwap(newest, version); newest = p.newest.Load() {
	}
	p.sources.observe(time.Now(), version, from)
	select {
	case p.reported <- struct{}{}:
	default:
	}
}

// Handlers returns the JSON-RPC handlers of Plans.
func (p *Plans) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{MethodPlan: peer.Handle(func(ctx context.Context, r PlanRequest) (any, error) {
		return p.server.reply(ctx, p.current.Load(), r)
	})}
}

// watchLoop watches the plan in the store until ctx is cancelled.
func (p *Plans) watchLoop(ctx context.Context) {
	kind, _ := p.Format.Location()
	retry := backoff{}
	var from store.Position
	for ctx.Err() == nil {
		if !p.ShouldWatch(time.Now()) {
			from = store.Position{}
			sleep(ctx, watchCheckInterval)
			continue
		}
		next, err := p.listOrWatch(ctx, kind, from)
		p.health.observe(err)
		var expired *store.ExpiredError
		switch {
		case errors.As(err, &expired):
			from = store.Position{}
		case err != nil:
			// A watch without a reply may have missed changes, so that the next call lists the objects.
			from = store.Position{}
			retry.wait(ctx)
		default:
			from, retry = next, backoff{}
		}
	}
}

// listOrWatch lists the objects of a kind if from is the zero position, and otherwise waits for changes after it. It applies
// the latest plan and returns the position from which to watch next.
func (p *Plans) listOrWatch(ctx context.Context, kind string, from store.Position) (store.Position, error) {
	var page store.Page
	var err error
	list := from == store.Position{}
	if list {
		page, err = p.Store.List(ctx, kind, false)
	} else {
		page, err = p.Store.Watch(ctx, kind, from, watchTimeout)
	}
	if err != nil {
		return store.Position{}, err
	}
	p.applyObjects(page.Objects, "store", list)
	if list {
		p.contradictCopy(page)
	} else if len(page.Objects) > 0 {
		sleep(ctx, watchCoalesceDelay)
	}
	return page.Position(), nil
}

// applyObjects applies the latest plan among the given objects, whose order is that of their revisions. The earlier ones
// become part of its history. gap is set if plans before these objects may be missing.
func (p *Plans) applyObjects(objects []store.Object, source string, gap bool) {
	_, name := p.Format.Location()
	objects = slices.DeleteFunc(slices.Clone(objects), func(o store.Object) bool { return o.Name != name || o.Deleted })
	if extra := len(objects) - maxDecodedPlans; extra > 0 {
		objects, gap = objects[extra:], true
	}
	var plans []sequentialPlan
	for _, o := range objects {
		decoded, err := p.Format.Decode(o.Spec, stepsBeside(p.inForce()))
		if err != nil {
			events.PlanRefused.Log(p.Logger, slog.Uint64("revision", o.Revision), events.ErrorAttr(err))
			// An instance of another build may use this plan.
			gap = true
			continue
		}
		plans = append(plans, sequentialPlan{plan: decoded, revision: o.Revision, afterGap: gap})
		gap = false
	}
	if len(plans) == 0 {
		return
	}
	now := time.Now()
	p.observeStored(plans[len(plans)-1].plan.Version, objects[len(objects)-1])
	p.apply(now, source, plans[len(plans)-1].revision, func(current *plan.Plan) *plan.Plan {
		return latestOf(now, current, plans)
	})
}

// observeStored reports a stored plan that is older than the one in use.
func (p *Plans) observeStored(version uint64, o store.Object) {
	p.stored.Store(version)
	if used := p.Version(); version < used {
		events.PlanBehind.Log(p.Logger, slog.Uint64("planVersion", used), slog.Uint64("storedVersion", version),
			slog.Uint64("revision", o.Revision), slog.Uint64("era", o.Era))
	}
}

// sequentialPlan is a plan read from the store. Plans between it and the previous one may be missing if afterGap is set.
type sequentialPlan struct {
	plan     *plan.Plan
	revision uint64
	afterGap bool
}

// latestOf returns the plan that is in force after the given ones have replaced current one after the other. Its history
// contains all of them.
func latestOf(now time.Time, current *plan.Plan, plans []sequentialPlan) *plan.Plan {
	for _, s := range plans {
		if isNewer(s.plan, current) {
			next := *s.plan
			next.History = plan.Succeed(now, current, &next, s.afterGap)
			current = &next
		}
	}
	return current
}

// stepsBeside returns the steps for work on a plan beside the one in use, which may be nil. Without a plan, an instance
// forwards no packets that pauses could spare from waiting, and needs the plan to do so.
func stepsBeside(used *plan.Plan) *plan.Steps {
	if used == nil {
		return nil
	}
	return &plan.Steps{}
}

// isNewer reports whether a plan replaces current, which may be nil.
func isNewer(next, current *plan.Plan) bool {
	return next.Version != 0 && (current == nil || next.Version > current.Version)
}

// apply puts the plan in force that advance returns for the one in use, which may be nil, if it is newer. The source and
// the revision are only logged.
func (p *Plans) apply(now time.Time, source string, revision uint64, advance func(current *plan.Plan) *plan.Plan) {
	var current, next *plan.Plan
	for {
		current = p.current.Load()
		next = advance(current)
		if next == nil || !isNewer(next, current) {
			return
		}
		var swapped bool
		if next, swapped = p.swap(now, current, next); next == nil {
			return
		}
		if swapped {
			break
		}
	}
	p.server.remember(next)
	events.PlanTaken.Log(p.Logger, slog.Uint64("planVersion", next.Version), slog.String("source", source),
		slog.Uint64("revision", revision), slog.Int("routes", len(next.Routes)))
	if current == nil || current.History != nil && next.History.Since.After(current.History.Since) {
		events.PlanHistoryShort.Log(p.Logger, slog.Uint64("planVersion", next.Version), slog.String("source", source),
			slog.Int64("ageMs", now.Sub(next.History.Since).Milliseconds()))
	}
	p.OnPlan(next)
}

// historySeconds returns how far back the history of the plan in use reaches, for the metrics.
func (p *Plans) historySeconds() float64 {
	if c := p.current.Load(); c != nil && c.History != nil {
		return time.Since(c.History.Since).Seconds()
	}
	return 0
}
