package peer

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/services"
)

// JSON-RPC methods served by Spread.
const (
	MethodExchange  = "peer.exchange"
	MethodReconcile = "peer.reconcile"
	MethodSpread    = "peer.spread"
)

const (
	exchangePeriod  = 250 * time.Millisecond
	exchangeTimeout = time.Second
	spreadFanOut    = 8
	taskQueueLength = 256
	// failedPeerExclusion is how long a peer is excluded from the choice of additional peers after a failed call. Its
	// replacement needs about one second.
	failedPeerExclusion = 2 * time.Second
)

// SpreadReply is the empty reply to a SpreadRequest.
type SpreadReply struct{}

// PlanTracker reports the plan version in use and learns the versions that peers use. Its methods are called on the
// control goroutine and must not block.
type PlanTracker interface {
	Version() uint64
	ObserveVersion(version uint64, from netip.AddrPort)
}

// View is an immutable snapshot of the fact set.
type View struct {
	Digest   uint64
	Members  []facts.Member
	Services services.List
}

// Spread replicates facts between instances by gossip and owns this instance's fact set. All access to the set runs on
// one goroutine, the control goroutine. Set the exported fields before calling Start.
type Spread struct {
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
	// Detect enables failure detection: silent members are marked down.
	Detect bool
	// Period is the interval between exchanges with each peer. 0 means exchangePeriod.
	Period time.Duration
	// Plan provides the version of the plan in use and receives the versions that peers report. It may be nil.
	Plan PlanTracker

	set     facts.Set
	version uint64
	members map[string]facts.Member
	// expected holds the members that choose this instance as a peer.
	expected map[string]bool
	detector facts.Detector
	tasks    chan func(now time.Time)
	links    map[netip.AddrPort]*link
	view     atomic.Pointer[View]
	// lastAnswer is the time of the last successful call to a peer, in Unix nanoseconds.
	lastAnswer atomic.Int64
	// failures maps each peer whose last call failed to the time of that failure.
	failuresMutex sync.Mutex
	failures      map[netip.AddrPort]time.Time
}

// recordResult records the outcome of a call to a peer.
func (s *Spread) recordResult(to netip.AddrPort, err error) {
	now := time.Now()
	if err == nil {
		s.lastAnswer.Store(now.UnixNano())
	}
	s.failuresMutex.Lock()
	defer s.failuresMutex.Unlock()
	if err == nil {
		delete(s.failures, to)
		return
	}
	if s.failures == nil {
		s.failures = make(map[netip.AddrPort]time.Time)
	}
	s.failures[to] = now
}

// failedPeers returns the peers whose last call failed within failedPeerExclusion.
func (s *Spread) failedPeers(now time.Time) map[netip.AddrPort]bool {
	s.failuresMutex.Lock()
	defer s.failuresMutex.Unlock()
	all := map[netip.AddrPort]bool{}
	for to, at := range s.failures {
		if now.Sub(at) > failedPeerExclusion {
			delete(s.failures, to)
			continue
		}
		all[to] = true
	}
	return all
}

// LastAnswer returns the time of the last successful call to any peer, or the zero time if there was none.
func (s *Spread) LastAnswer() time.Time {
	at := s.lastAnswer.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Handlers returns the JSON-RPC handlers of Spread.
func (s *Spread) Handlers() map[string]Handler {
	return map[string]Handler{
		MethodExchange:  Handle(s.handleExchange),
		MethodReconcile: Handle(s.handleReconcile),
		MethodSpread:    Handle(s.handleSpread),
	}
}

// Start starts the control goroutine, which runs until ctx is cancelled.
func (s *Spread) Start(ctx context.Context) {
	s.tasks = make(chan func(time.Time), taskQueueLength)
	s.links = make(map[netip.AddrPort]*link)
	s.view.Store(&View{})
	go s.loop(ctx)
}

// View returns the current view. It may be called from any goroutine.
func (s *Spread) View() *View {
	return s.view.Load()
}

// Do runs f on the control goroutine and waits for it to return. It returns false if ctx is cancelled first.
func (s *Spread) Do(ctx context.Context, f func(now time.Time)) bool {
	done := make(chan struct{})
	task := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case s.tasks <- task:
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
func (s *Spread) SetState(now time.Time, state facts.State) {
	s.Self.State = state
	s.publishSelf(now)
}

// SetSeeds replaces the seeds. It must be called on the control goroutine.
func (s *Spread) SetSeeds(seeds []netip.AddrPort) {
	s.Seeds = seeds
}

// SetTarget publishes the status of this instance's target. It must be called on the control goroutine.
func (s *Spread) SetTarget(now time.Time, t facts.Target) {
	s.Self.Target = &t
	s.publishSelf(now)
}

// SelfFact returns the latest fact about this instance. It must be called on the control goroutine.
func (s *Spread) SelfFact() (facts.Fact, bool) {
	return s.set.Get(facts.Key{Kind: facts.KindMember, Name: s.Self.Instance})
}

// Accept merges facts into the set and forwards the new ones to peers. It must be called on the control goroutine.
func (s *Spread) Accept(now time.Time, all []facts.Fact) {
	accepted := s.set.MergeAll(all)
	if len(accepted) == 0 {
		return
	}
	s.refute(now, accepted)
	s.updateView(now, accepted)
	s.disseminate(now, accepted)
}

func (s *Spread) loop(ctx context.Context) {
	period := s.Period
	if period == 0 {
		period = exchangePeriod
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	s.publishSelf(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-s.tasks:
			task(time.Now())
		case now := <-ticker.C:
			s.tick(ctx, now)
		}
	}
}

func (s *Spread) tick(ctx context.Context, now time.Time) {
	if s.Detect {
		s.markSilentMembers(now)
	}
	for _, p := range s.peers(now) {
		s.link(ctx, p).queueExchange(s.exchangeRequest(now))
	}
}

func (s *Spread) exchangeRequest(now time.Time) ExchangeRequest {
	r := ExchangeRequest{Instance: s.Self.Instance, Digest: s.set.Digest()}
	if s.Plan != nil {
		r.PlanVersion = s.Plan.Version()
	}
	if s.Detect {
		r.Suspects = s.detector.Suspects(now)
	}
	return r
}

func (s *Spread) markSilentMembers(now time.Time) {
	s.detector.SetExpected(s.expected, now)
	connected := now.Sub(s.LastAnswer()) < facts.SilenceTimeout/2 || len(s.peers(now)) == 0
	for _, f := range s.detector.DetectSilent(now, &s.set, connected) {
		events.MemberSilent.Log(s.Logger, slog.String("member", f.Name))
		s.Accept(now, []facts.Fact{f})
	}
}

func (s *Spread) publishSelf(now time.Time) {
	s.version++
	f, err := s.Self.Fact(s.Incarnation, s.version)
	if err != nil {
		events.FactRefused.Log(s.Logger, events.Failure(err))
		return
	}
	s.Accept(now, []facts.Fact{f})
	if s.OnSelfPublished != nil {
		s.OnSelfPublished()
	}
}

// refute republishes this instance's own fact with a higher version when another instance has superseded it.
func (s *Spread) refute(now time.Time, accepted []facts.Fact) {
	for _, f := range accepted {
		if f.Kind != facts.KindMember || f.Name != s.Self.Instance {
			continue
		}
		if f.Incarnation > s.Incarnation || f.Incarnation == s.Incarnation && f.Version > s.version {
			// A higher incarnation comes from an earlier process of this instance whose clock was ahead.
			if f.Incarnation > s.Incarnation {
				s.Incarnation = f.Incarnation + 1
			}
			s.version = f.Version
			events.SelfRefuted.Log(s.Logger)
			s.publishSelf(now)
		}
	}
}

func (s *Spread) updateView(now time.Time, accepted []facts.Fact) {
	if s.members == nil {
		s.members = make(map[string]facts.Member)
	}
	for _, f := range accepted {
		if f.Kind != facts.KindMember {
			continue
		}
		m, err := facts.DecodeMember(f)
		if err != nil {
			events.FactRefused.Log(s.Logger, events.Failure(err))
			continue
		}
		s.members[f.Name] = m
	}
	v := &View{Digest: s.set.Digest(), Members: make([]facts.Member, 0, len(s.members))}
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		v.Members = append(v.Members, s.members[name])
	}
	list, err := services.ListOf(&s.set)
	if err != nil {
		events.FactRefused.Log(s.Logger, events.Failure(err))
	}
	v.Services = list
	s.view.Store(v)
	s.updateExpected(now, v.Members)
	if s.OnChange != nil {
		s.OnChange(now, v)
	}
}

// updateExpected sets the members that the failure detector monitors: those that choose this instance as a peer.
func (s *Spread) updateExpected(now time.Time, members []facts.Member) {
	if !s.Detect {
		return
	}
	s.expected = map[string]bool{}
	candidates := listCandidates(nil, members)
	for _, m := range members {
		inactive := m.State == facts.StateDown || m.State == facts.StateLeft
		if !inactive && m.Instance != s.Self.Instance && slices.Contains(selectPeers(m, candidates), s.Self.Control) {
			s.expected[m.Instance] = true
		}
	}
	s.detector.SetExpected(s.expected, now)
}

// disseminate pushes accepted facts to at most spreadFanOut peers. Other instances receive them through exchanges.
func (s *Spread) disseminate(now time.Time, accepted []facts.Fact) {
	sent := 0
	peers := s.peers(now)
	for _, i := range rand.Perm(len(peers)) {
		if sent == spreadFanOut {
			break
		}
		if l, ok := s.links[peers[i]]; ok {
			l.queueFacts(accepted)
			sent++
		}
	}
	s.pushToAgents(accepted)
}

// pushToAgents pushes accepted facts from an entry to the agents that exchange with it.
func (s *Spread) pushToAgents(accepted []facts.Fact) {
	if s.Self.Role != facts.RoleEntry {
		return
	}
	for _, m := range s.view.Load().Members {
		if m.Role != facts.RoleAgent || !s.detector.IsMonitored(m.Instance) {
			continue
		}
		if l, ok := s.links[m.Control]; ok {
			l.queueFacts(accepted)
		}
	}
}

// peers returns the control addresses of the entries to exchange with. If some of them failed recently, the choice is
// repeated without the failed ones and both results are returned, so that an instance whose peers all failed finds
// others.
func (s *Spread) peers(now time.Time) []netip.AddrPort {
	members := s.view.Load().Members
	chosen := ChoosePeers(s.Self, s.Seeds, members)
	failed := s.failedPeers(now)
	isFailed := func(a netip.AddrPort) bool { return failed[a] }
	if !slices.ContainsFunc(chosen, isFailed) {
		return chosen
	}
	remaining := slices.DeleteFunc(slices.Clone(members), func(m facts.Member) bool { return isFailed(m.Control) })
	seeds := slices.DeleteFunc(slices.Clone(s.Seeds), isFailed)
	for _, a := range ChoosePeers(s.Self, seeds, remaining) {
		if !slices.Contains(chosen, a) {
			chosen = append(chosen, a)
		}
	}
	return chosen
}

func (s *Spread) link(ctx context.Context, to netip.AddrPort) *link {
	l, ok := s.links[to]
	if !ok {
		l = newLink(s, to)
		s.links[to] = l
		go l.run(ctx)
	}
	return l
}

// PushPlanVersion pushes the version of the plan in use to peers. It must be called on the control goroutine.
func (s *Spread) PushPlanVersion(now time.Time) {
	s.disseminate(now, nil)
}
