package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// JSON-RPC methods served by Gossip.
const (
	MethodExchange  = "peer.exchange"
	MethodReconcile = "peer.reconcile"
	MethodSpread    = "peer.spread"
)

const (
	// exchangePeriod is the default of Gossip.Period.
	exchangePeriod = 250 * time.Millisecond
	// exchangeTimeout limits the calls that a link makes to its peer each time it is woken, taken together.
	exchangeTimeout = time.Second
	// pushFanOut is the number of peers to which accepted facts are pushed.
	pushFanOut      = 8
	taskQueueLength = 256
	// failedPeerExclusion is how long a peer is excluded from the choice of additional peers after a failed call. Its
	// replacement needs about one second.
	failedPeerExclusion = 2 * time.Second
)

// PlanTracker returns the version of the plan in use and receives the versions that peers use. Its methods are called
// on the control goroutine and must not block. Version is also called on other goroutines.
type PlanTracker interface {
	Version() uint64
	ObserveVersion(version uint64, from netip.AddrPort)
}

// Gossip replicates facts between instances by gossip and owns this instance's fact set. All access to the set runs on
// one goroutine, the control goroutine. Set the exported fields before calling Start.
type Gossip struct {
	Self        facts.Member
	Incarnation uint64
	// Seeds are the control addresses of the entries to contact first. An entry known as a member replaces its seed.
	Seeds  []netip.AddrPort
	Pool   *Pool
	Logger *slog.Logger
	// OnChange is called on the control goroutine after each change of the view.
	OnChange func(now time.Time, v *View)
	// OnSelfPublished is called on the control goroutine each time this instance publishes its member fact. It may be
	// nil.
	OnSelfPublished func()
	// DetectFailures enables failure detection: silent members are marked down.
	DetectFailures bool
	// SeedDelay is how long after the start the seeds are not used, so that the instance can learn of other peers from the
	// store. The seeds of a large fleet can't serve all instances that start together.
	SeedDelay time.Duration
	// Selection limits the number of peers.
	Selection Selection
	// Period is the interval between exchanges with each peer. 0 means exchangePeriod.
	Period time.Duration
	// Plan provides the version of the plan in use and receives the versions that peers report. It may be nil.
	Plan PlanTracker
	// Eras provides the era of the store and receives the eras that peers report. It may be nil.
	Eras EraTracker

	set     facts.Set
	version uint64
	started time.Time
	members map[string]facts.Member
	// evacuations holds the decoded evacuation facts by data centre. evacuationsKnown is set by MarkEvacuationsKnown.
	evacuations      map[string]facts.Evacuation
	evacuationsKnown bool
	// viewOutdated is set if facts were accepted since the view was published. viewPace spaces the publications.
	viewOutdated bool
	viewPace     viewPace
	// expected holds the members that choose this instance as a peer.
	expected map[string]bool
	detector facts.Detector
	tasks    chan func(now time.Time)
	links    map[netip.AddrPort]*link
	view     atomic.Pointer[View]
	// lastReply is the time of the last successful call to a peer. It keeps the monotonic reading, because the wall clock
	// may be set by seconds.
	lastReply atomic.Pointer[time.Time]
	// failures maps each peer whose last call failed to the time of that failure.
	failuresMutex sync.Mutex
	failures      map[netip.AddrPort]time.Time
}

// recordResult records the outcome of a call to a peer.
func (g *Gossip) recordResult(to netip.AddrPort, err error) {
	now := time.Now()
	if err == nil {
		g.lastReply.Store(&now)
	}
	g.failuresMutex.Lock()
	defer g.failuresMutex.Unlock()
	if err == nil {
		delete(g.failures, to)
		return
	}
	if g.failures == nil {
		g.failures = make(map[netip.AddrPort]time.Time)
	}
	g.failures[to] = now
}

// failedPeers returns the peers whose last call failed within failedPeerExclusion.
func (g *Gossip) failedPeers(now time.Time) map[netip.AddrPort]bool {
	g.failuresMutex.Lock()
	defer g.failuresMutex.Unlock()
	all := map[netip.AddrPort]bool{}
	for to, at := range g.failures {
		if now.Sub(at) > failedPeerExclusion {
			delete(g.failures, to)
			continue
		}
		all[to] = true
	}
	return all
}

// LastReply returns the time of the last successful call to any peer, or the zero time if there was none.
func (g *Gossip) LastReply() time.Time {
	if at := g.lastReply.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Handlers returns the JSON-RPC handlers of Gossip.
func (g *Gossip) Handlers() map[string]Handler {
	return map[string]Handler{
		MethodExchange:  Handle(g.handleExchange),
		MethodReconcile: Handle(g.handleReconcile),
		MethodSpread:    Handle(g.handleSpread),
	}
}

// Start starts the control goroutine, which runs until ctx is cancelled.
func (g *Gossip) Start(ctx context.Context) {
	g.tasks = make(chan func(time.Time), taskQueueLength)
	g.links = make(map[netip.AddrPort]*link)
	g.view.Store(&View{})
	go g.loop(ctx)
}

// Do runs f on the control goroutine and waits for it to return. It returns false if ctx is cancelled first. A panic of f
// is logged, because f may handle what a peer sent.
func (g *Gossip) Do(ctx context.Context, f func(now time.Time)) bool {
	done := make(chan struct{})
	task := func(now time.Time) {
		defer close(done)
		defer events.RecoverInput(g.Logger, "task")
		f(now)
	}
	select {
	case g.tasks <- task:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// SetState publishes a new state of this instance. It must be called on the control goroutine.
func (g *Gossip) SetState(now time.Time, state facts.State) {
	g.Self.State = state
	g.publishSelf(now)
}

// Leave publishes that this instance has left, and waits until the links had time to send that.
func (g *Gossip) Leave(ctx context.Context) {
	g.Do(ctx, func(now time.Time) { g.SetState(now, facts.StateLeft) })
	sleep(ctx, 2*flushInterval)
}

// SetSeeds replaces the seeds. It must be called on the control goroutine.
func (g *Gossip) SetSeeds(seeds []netip.AddrPort) {
	g.Seeds = seeds
}

// SetTarget publishes the status of this instance's target. It must be called on the control goroutine.
func (g *Gossip) SetTarget(now time.Time, t facts.Target) {
	g.Self.Target = &t
	g.publishSelf(now)
}

// SetHealth publishes what this instance says of its target's answers. It must be called on the control goroutine.
func (g *Gossip) SetHealth(now time.Time, h *facts.Health) {
	g.Self.Health = h
	g.publishSelf(now)
}

// SelfFact returns the latest fact about this instance. It must be called on the control goroutine.
func (g *Gossip) SelfFact() (facts.Fact, bool) {
	return g.set.Get(facts.Key{Kind: facts.KindMember, Name: g.Self.Instance})
}

// Accept merges facts into the set and forwards the new ones to peers. It must be called on the control goroutine.
func (g *Gossip) Accept(now time.Time, all []facts.Fact) {
	accepted := g.set.MergeAll(g.plausible(now, all))
	if len(accepted) == 0 {
		return
	}
	g.updateMembers(accepted)
	g.disseminate(now, accepted)
	// The refutation comes last, because it replaces an accepted fact in the members and in the queues of the links.
	g.refute(now, accepted)
}

// plausible returns the facts that can have been published by now, and logs the others.
func (g *Gossip) plausible(now time.Time, all []facts.Fact) []facts.Fact {
	return slices.DeleteFunc(slices.Clone(all), func(f facts.Fact) bool {
		err := f.Check(now)
		if err != nil {
			events.FactRefused.Log(g.Logger, events.ErrorAttr(err))
		}
		return err != nil
	})
}

// ExchangeNow starts an exchange with each peer before the next period begins. It must be called on the control
// goroutine.
func (g *Gossip) ExchangeNow(ctx context.Context, now time.Time) {
	g.publishIfDue(now)
	g.tick(ctx, now)
}

func (g *Gossip) loop(ctx context.Context) {
	period := g.Period
	if period == 0 {
		period = exchangePeriod
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	publication := time.NewTimer(0)
	defer publication.Stop()
	g.started = time.Now()
	g.publishSelf(g.started)
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-g.tasks:
			task(time.Now())
		case now := <-ticker.C:
			g.tick(ctx, now)
		case <-publication.C:
		}
		if wait := g.publishIfDue(time.Now()); wait > 0 {
			publication.Reset(wait)
		}
	}
}

// tick starts an exchange with each peer.
func (g *Gossip) tick(ctx context.Context, now time.Time) {
	if g.DetectFailures {
		g.markSilentMembers(now)
	}
	for _, p := range g.peers(now) {
		g.link(ctx, p).queueExchange(g.exchangeRequest(now))
	}
}

func (g *Gossip) exchangeRequest(now time.Time) ExchangeRequest {
	r := ExchangeRequest{Instance: g.Self.Instance, Digest: g.set.Digest(), StoreEra: g.storeEra()}
	if g.Plan != nil {
		r.PlanVersion = g.Plan.Version()
	}
	if g.DetectFailures {
		r.Suspects = g.detector.Suspects(now)
	}
	return r
}

// markSilentMembers marks members down that have been silent for too long, and retires those whose address another
// member has taken over. This instance counts as connected if a peer
// replied recently or if there are no peers to call.
func (g *Gossip) markSilentMembers(now time.Time) {
	g.detector.SetExpected(g.expected, now)
	connected := now.Sub(g.LastReply()) < facts.SilenceTimeout/2 || len(g.peers(now)) == 0
	for _, f := range g.detector.DetectSilent(now, &g.set, connected) {
		events.MemberSilent.Log(g.Logger, slog.String("member", f.Name))
		g.Accept(now, []facts.Fact{f})
	}
	for _, f := range facts.RetireSuperseded(&g.set, g.view.Load().Members) {
		events.MemberRetired.Log(g.Logger, slog.String("member", f.Name))
		g.Accept(now, []facts.Fact{f})
	}
}

// publishSelf adds a new version of this instance's member fact.
func (g *Gossip) publishSelf(now time.Time) {
	g.version++
	f, err := g.Self.Fact(g.Incarnation, g.version)
	if err != nil {
		events.FactRefused.Log(g.Logger, events.ErrorAttr(err))
		return
	}
	g.Accept(now, []facts.Fact{f})
	if g.OnSelfPublished != nil {
		g.OnSelfPublished()
	}
}

// refute republishes this instance's own fact with a higher version when another instance has superseded it.
func (g *Gossip) refute(now time.Time, accepted []facts.Fact) {
	for _, f := range accepted {
		if f.Kind != facts.KindMember || f.Name != g.Self.Instance {
			continue
		}
		if f.Incarnation > g.Incarnation || f.Incarnation == g.Incarnation && f.Version > g.version {
			// A higher incarnation comes from an earlier process of this instance whose clock was ahead.
			if f.Incarnation > g.Incarnation {
				g.Incarnation = f.Incarnation + 1
			}
			g.version = f.Version
			events.SelfRefuted.Log(g.Logger)
			g.publishSelf(now)
		}
	}
}

// disseminate pushes accepted facts to up to pushFanOut random peers and to the agents that exchange with this entry.
// Other instances receive the facts through exchanges.
func (g *Gossip) disseminate(now time.Time, accepted []facts.Fact) {
	sent := 0
	peers := g.peers(now)
	for _, i := range rand.Perm(len(peers)) {
		if sent == pushFanOut {
			break
		}
		if l, ok := g.links[peers[i]]; ok {
			l.queueFacts(accepted)
			sent++
		}
	}
	g.pushToAgents(accepted)
}

// pushToAgents pushes accepted facts from an entry to the agents that exchange with it.
func (g *Gossip) pushToAgents(accepted []facts.Fact) {
	for instance := range g.expected {
		m := g.members[instance]
		if m.Role != facts.RoleAgent || !g.detector.IsMonitored(instance) {
			continue
		}
		if l, ok := g.links[m.Control]; ok {
			l.queueFacts(accepted)
		}
	}
}

// peers returns the control addresses of the entries to exchange with. If some of them failed recently, the choice is
// repeated without the failed ones and both results are returned, so that an instance whose peers all failed finds
// others.
func (g *Gossip) peers(now time.Time) []netip.AddrPort {
	members := g.view.Load().Members
	seeds := g.Seeds
	if now.Sub(g.started) < g.SeedDelay {
		seeds = nil
	}
	chosen := g.Selection.ChoosePeers(g.Self, seeds, members)
	failed := g.failedPeers(now)
	isFailed := func(a netip.AddrPort) bool { return failed[a] }
	if !slices.ContainsFunc(chosen, isFailed) {
		return chosen
	}
	remaining := slices.DeleteFunc(slices.Clone(members), func(m facts.Member) bool { return isFailed(m.Control) })
	seeds = slices.DeleteFunc(slices.Clone(seeds), isFailed)
	for _, a := range g.Selection.ChoosePeers(g.Self, seeds, remaining) {
		if !slices.Contains(chosen, a) {
			chosen = append(chosen, a)
		}
	}
	return chosen
}

// link returns the link to a peer and creates it if necessary.
func (g *Gossip) link(ctx context.Context, to netip.AddrPort) *link {
	l, ok := g.links[to]
	if !ok {
		l = newLink(g, to)
		g.links[to] = l
		go l.run(ctx)
	}
	return l
}

// PushVersions pushes the version of the plan in use and the era of the store to peers without waiting for the next
// exchange. It must be called on the control goroutine.
func (g *Gossip) PushVersions(now time.Time) {
	g.disseminate(now, nil)
}
