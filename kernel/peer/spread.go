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

// The methods of Spread.
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
	// avoidFailed is how long a peer that did not answer is left out of the choice: its successor needs about a second.
	avoidFailed = 2 * time.Second
)

// SpreadReply acknowledges a SpreadRequest.
type SpreadReply struct{}

// PlanVersions compares the versions of plans. Its methods are called on the control thread and must not block.
type PlanVersions interface {
	Version() uint64
	Heard(version uint64, from netip.AddrPort)
}

// View is an immutable picture of the facts.
type View struct {
	Digest   uint64
	Members  []facts.Member
	Services services.List
}

// Spread owns an instance's facts; its loop is the one control thread. Set the exported fields, then Start.
type Spread struct {
	Self        facts.Member
	Incarnation uint64
	// Seeds are control addresses of entries to begin with; the members known later take their place.
	Seeds  []netip.AddrPort
	Pool   *Pool
	Logger *slog.Logger
	// OnChange runs on the control thread after each change of the view.
	OnChange func(now time.Time, v *View)
	// OnAnnounce runs on the control thread after each announcement of this instance; it may be nil.
	OnAnnounce func()
	// Detect switches on marking silent members down.
	Detect bool
	// Period is the time between two exchanges with a peer; 0 means exchangePeriod.
	Period time.Duration
	// Plan tells the version of the plan in use, and hears that a peer uses another. It may be nil.
	Plan PlanVersions

	set     facts.Set
	version uint64
	members map[string]facts.Member
	// expected are the members that choose this instance as a peer.
	expected map[string]bool
	detector facts.Detector
	tasks    chan func(now time.Time)
	links    map[netip.AddrPort]*link
	view     atomic.Pointer[View]
	// answered is when a peer last answered, in Unix nanoseconds.
	answered atomic.Int64
	// failures are the peers whose last call failed, and when.
	failuresMutex sync.Mutex
	failures      map[netip.AddrPort]time.Time
}

// saw notes how a call to a peer ended.
func (s *Spread) saw(to netip.AddrPort, err error) {
	now := time.Now()
	if err == nil {
		s.answered.Store(now.UnixNano())
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

// failing returns the peers that did not answer lately.
func (s *Spread) failing(now time.Time) map[netip.AddrPort]bool {
	s.failuresMutex.Lock()
	defer s.failuresMutex.Unlock()
	all := map[netip.AddrPort]bool{}
	for to, at := range s.failures {
		if now.Sub(at) > avoidFailed {
			delete(s.failures, to)
			continue
		}
		all[to] = true
	}
	return all
}

// Answered is when a peer last answered; the zero time is never.
func (s *Spread) Answered() time.Time {
	at := s.answered.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Handlers returns the methods that Spread answers.
func (s *Spread) Handlers() map[string]Handler {
	return map[string]Handler{
		MethodExchange:  Handle(s.exchange),
		MethodReconcile: Handle(s.reconcile),
		MethodSpread:    Handle(s.spread),
	}
}

// Start begins the control loop, which ends with ctx.
func (s *Spread) Start(ctx context.Context) {
	s.tasks = make(chan func(time.Time), taskQueueLength)
	s.links = make(map[netip.AddrPort]*link)
	s.view.Store(&View{})
	go s.loop(ctx)
}

// View returns the latest view.
func (s *Spread) View() *View {
	return s.view.Load()
}

// Do runs f on the control thread and waits for it; it reports false when ctx ended first.
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

// SetState publishes a new state of this instance. Call it on the control thread.
func (s *Spread) SetState(now time.Time, state facts.State) {
	s.Self.State = state
	s.announce(now)
}

// SetSeeds replaces the seeds. Call it on the control thread.
func (s *Spread) SetSeeds(seeds []netip.AddrPort) {
	s.Seeds = seeds
}

// SetTarget publishes what this instance knows of its target. Call it on the control thread.
func (s *Spread) SetTarget(now time.Time, t facts.Target) {
	s.Self.Target = &t
	s.announce(now)
}

// Own returns the latest fact about this instance. Call it on the control thread.
func (s *Spread) Own() (facts.Fact, bool) {
	return s.set.Get(facts.Key{Kind: facts.KindMember, Name: s.Self.Instance})
}

// Accept merges facts and passes on those that were new. Call it on the control thread.
func (s *Spread) Accept(now time.Time, all []facts.Fact) {
	kept := s.set.MergeAll(all)
	if len(kept) == 0 {
		return
	}
	s.refute(now, kept)
	s.publish(now, kept)
	s.passOn(now, kept)
}

func (s *Spread) loop(ctx context.Context) {
	period := s.Period
	if period == 0 {
		period = exchangePeriod
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	s.announce(time.Now())
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
		s.markSilent(now)
	}
	for _, p := range s.peers(now) {
		s.link(ctx, p).exchangeWith(s.request(now))
	}
}

func (s *Spread) request(now time.Time) ExchangeRequest {
	r := ExchangeRequest{Instance: s.Self.Instance, Digest: s.set.Digest()}
	if s.Plan != nil {
		r.PlanVersion = s.Plan.Version()
	}
	if s.Detect {
		r.Suspects = s.detector.Suspects(now)
	}
	return r
}

func (s *Spread) markSilent(now time.Time) {
	s.detector.Expect(s.expected, now)
	joined := now.Sub(s.Answered()) < facts.SilenceTimeout/2 || len(s.peers(now)) == 0
	for _, f := range s.detector.Silent(now, &s.set, joined) {
		events.MemberSilent.Log(s.Logger, slog.String("member", f.Name))
		s.Accept(now, []facts.Fact{f})
	}
}

func (s *Spread) announce(now time.Time) {
	s.version++
	f, err := s.Self.Fact(s.Incarnation, s.version)
	if err != nil {
		events.FactRefused.Log(s.Logger, events.Failure(err))
		return
	}
	s.Accept(now, []facts.Fact{f})
	if s.OnAnnounce != nil {
		s.OnAnnounce()
	}
}

// refute answers another instance's claim about this one with a greater version.
func (s *Spread) refute(now time.Time, kept []facts.Fact) {
	for _, f := range kept {
		if f.Kind != facts.KindMember || f.Name != s.Self.Instance {
			continue
		}
		if f.Incarnation > s.Incarnation || f.Incarnation == s.Incarnation && f.Version > s.version {
			// A greater incarnation is that of an earlier process whose clock was ahead.
			if f.Incarnation > s.Incarnation {
				s.Incarnation = f.Incarnation + 1
			}
			s.version = f.Version
			events.SelfRefuted.Log(s.Logger)
			s.announce(now)
		}
	}
}

func (s *Spread) publish(now time.Time, kept []facts.Fact) {
	if s.members == nil {
		s.members = make(map[string]facts.Member)
	}
	for _, f := range kept {
		if f.Kind != facts.KindMember {
			continue
		}
		m, err := facts.MemberOf(f)
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
	list, err := services.ListFromFacts(&s.set)
	if err != nil {
		events.FactRefused.Log(s.Logger, events.Failure(err))
	}
	v.Services = list
	s.view.Store(v)
	s.expect(now, v.Members)
	if s.OnChange != nil {
		s.OnChange(now, v)
	}
}

// expect tells the detector which members choose this instance as a peer.
func (s *Spread) expect(now time.Time, members []facts.Member) {
	if !s.Detect {
		return
	}
	s.expected = map[string]bool{}
	candidates := candidatesOf(nil, members)
	for _, m := range members {
		gone := m.State == facts.StateDown || m.State == facts.StateLeft
		if !gone && m.Instance != s.Self.Instance && slices.Contains(choose(m, candidates), s.Self.Control) {
			s.expected[m.Instance] = true
		}
	}
	s.detector.Expect(s.expected, now)
}

// passOn sends accepted facts to a bounded number of other instances; exchanges reach the rest.
func (s *Spread) passOn(now time.Time, kept []facts.Fact) {
	sent := 0
	peers := s.peers(now)
	for _, i := range rand.Perm(len(peers)) {
		if sent == spreadFanOut {
			break
		}
		if l, ok := s.links[peers[i]]; ok {
			l.send(kept)
			sent++
		}
	}
	s.passToAgents(kept)
}

// passToAgents sends accepted facts from an entry to the agents that exchange with it.
func (s *Spread) passToAgents(kept []facts.Fact) {
	if s.Self.Role != facts.RoleEntry {
		return
	}
	for _, m := range s.view.Load().Members {
		if m.Role != facts.RoleAgent || !s.detector.Hears(m.Instance) {
			continue
		}
		if l, ok := s.links[m.Control]; ok {
			l.send(kept)
		}
	}
}

// peers lists the entries to exchange with. When one does not answer, another is taken besides, so that an instance
// whose peers all died is not left alone.
func (s *Spread) peers(now time.Time) []netip.AddrPort {
	members := s.view.Load().Members
	chosen := ChoosePeers(s.Self, s.Seeds, members)
	failing := s.failing(now)
	lost := func(a netip.AddrPort) bool { return failing[a] }
	if !slices.ContainsFunc(chosen, lost) {
		return chosen
	}
	others := slices.DeleteFunc(slices.Clone(members), func(m facts.Member) bool { return lost(m.Control) })
	seeds := slices.DeleteFunc(slices.Clone(s.Seeds), lost)
	for _, a := range ChoosePeers(s.Self, seeds, others) {
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

// TellPlan tells the peers of a plan that this instance took. Call it on the control thread.
func (s *Spread) TellPlan(now time.Time) {
	s.passOn(now, nil)
}
