package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// recovery is when callers must be served again after the last fault, as the platform asks.
	recovery = 12 * time.Second
	// recovered is how many requests in a row must be served for that.
	recovered = 30
	// longest is the longest fault: an outage of a few seconds.
	longest = 3 * time.Second
	// lossShare is the share of packets that the network loses while it does.
	lossShare = 0.03
	// pause is the greatest pause of a caller between two requests on one flow.
	pause = 400 * time.Millisecond
	// requestsPerFlow is the greatest number of requests on one flow.
	requestsPerFlow = 12
	// probePeriod is the pause between two flows to the route that comes and goes.
	probePeriod = 100 * time.Millisecond
	// workers is how many flows each caller keeps.
	workers = 4
)

// Soak is what one run did and saw.
type Soak struct {
	Seed     uint64          `json:"seed"`
	Faults   []string        `json:"faults"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// RecoveredMs is how long after the last fault callers were served again.
	RecoveredMs int64   `json:"recoveredMs"`
	Broken      []Break `json:"broken,omitempty"`
}

// fault is one kind of disruption.
type fault struct {
	name string
	do   func(s *Site, r *rand.Rand) string
}

var faults = []fault{
	{"kill", (*Site).killOne},
	{"killAll", (*Site).killAll},
	{"pause", (*Site).pauseOne},
	{"restart", (*Site).restartOne},
	{"reload", (*Site).reloadOne},
	{"store", (*Site).breakStore},
	{"storeForgets", (*Site).forgetHistory},
	{"control", (*Site).breakControl},
	{"announcements", (*Site).breakAnnouncements},
	{"loss", (*Site).losePackets},
	{"targetDies", (*Site).killTarget},
	{"release", (*Site).releaseTarget},
	{"plan", (*Site).changePlan},
}

// FaultNames names the kinds of fault.
func FaultNames() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// UnknownFaultError reports a kind of fault that does not exist.
type UnknownFaultError struct {
	Name string
}

// Error names the kind.
func (e *UnknownFaultError) Error() string {
	return "no kind of fault is called " + e.Name
}

func kindsOf(only []string) ([]fault, error) {
	if len(only) == 0 {
		return faults, nil
	}
	var kinds []fault
	for _, name := range only {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.WithStack(&UnknownFaultError{Name: name})
		}
		kinds = append(kinds, faults[i])
	}
	return kinds, nil
}

// RunSoak sends requests while it draws faults for some time, alone and overlapping, and then waits until callers are served.
// With only, faults of these kinds alone are drawn.
func RunSoak(ctx context.Context, s *Site, lasts time.Duration, only []string) (Soak, error) {
	kinds, err := kindsOf(only)
	if err != nil {
		return Soak{}, err
	}
	result := Soak{Seed: s.Seed, Outcomes: map[Outcome]int{}}
	loadContext, stopLoad := context.WithCancel(ctx)
	load := s.startLoad(loadContext, &result)
	r := rand.New(rand.NewPCG(s.Seed, 2))
	begin := time.Now()
	var running sync.WaitGroup
	for time.Since(begin) < lasts && ctx.Err() == nil {
		f := kinds[r.IntN(len(kinds))]
		own := rand.New(rand.NewPCG(s.Seed, r.Uint64()))
		at := time.Since(begin)
		running.Go(func() {
			what := f.do(s, own)
			s.Judge.mutex.Lock()
			defer s.Judge.mutex.Unlock()
			result.Faults = append(result.Faults, fmt.Sprintf("%.2fs %s %s", at.Seconds(), f.name, what))
		})
		time.Sleep(time.Duration(r.Int64N(int64(lasts / 5))))
	}
	running.Wait()
	ended := time.Now()
	ok := s.awaitRecovery(ctx, ended)
	result.RecoveredMs = time.Since(ended).Milliseconds()
	if !ok {
		s.Judge.broken("recovery", fmt.Sprintf("callers were not served within %s of the last fault", recovery))
	}
	if ok {
		s.checkPlan()
	}
	stopLoad()
	load.Wait()
	result.Broken = s.Judge.Broken
	return result, ctx.Err()
}

// startLoad keeps flows open from every caller, with requests and pauses.
func (s *Site) startLoad(ctx context.Context, result *Soak) *sync.WaitGroup {
	var load sync.WaitGroup
	for i, c := range s.Callers {
		for w := range workers {
			r := rand.New(rand.NewPCG(s.Seed, uint64(3000+100*i+w)))
			load.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					s.useFlow(ctx, c, r, fmt.Sprintf("%d-%d-%d", i, w, n), result)
				}
			})
		}
	}
	load.Go(func() { s.probeExtra(ctx) })
	return &load
}

// probeExtra opens flows to the route that comes and goes; targets judge whether they should have got them.
func (s *Site) probeExtra(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		if n, _ := s.Callers[i%len(s.Callers)].Open(routeAddress(len(services))); n != nil {
			n.Close()
		}
		time.Sleep(probePeriod)
	}
}

// checkPlan changes the plan after the faults and looks whether it is in force in time.
func (s *Site) checkPlan() {
	extra := s.Seed%2 == 0
	if err := s.PutPlan(extra); err != nil {
		s.Judge.broken("plan", err.Error())
		return
	}
	time.Sleep(planInForce)
	for _, c := range s.Callers {
		n, outcome := c.Open(routeAddress(len(services)))
		if n != nil {
			n.Close()
		}
		if (n != nil) != extra {
			s.Judge.broken("planInForce", fmt.Sprintf("flow to a route: %s, though the plan has it: %t", outcome, extra))
		}
	}
}

// useFlow opens a flow and sends some requests on it. Clients use an open flow until it fails.
func (s *Site) useFlow(ctx context.Context, c *Caller, r *rand.Rand, name string, result *Soak) {
	n, outcome := c.Open(routeAddress(r.IntN(len(services))))
	for i := 0; n != nil && i <= r.IntN(requestsPerFlow) && ctx.Err() == nil; i++ {
		outcome = n.Request(fmt.Sprintf("%s-%d", name, i))
		s.count(result, outcome)
		if outcome == OutcomeReset || outcome == OutcomeSilent {
			if outcome == OutcomeSilent {
				n.Close()
			}
			return
		}
		time.Sleep(time.Duration(r.Int64N(int64(pause))))
	}
	if n == nil {
		s.count(result, outcome)
		return
	}
	n.Close()
}

func (s *Site) count(result *Soak, o Outcome) {
	s.Judge.mutex.Lock()
	defer s.Judge.mutex.Unlock()
	result.Outcomes[o]++
}

// awaitRecovery sends requests on new flows until enough in a row are served.
func (s *Site) awaitRecovery(ctx context.Context, ended time.Time) bool {
	served := 0
	for i := 0; time.Since(ended) < recovery && ctx.Err() == nil; i++ {
		n, _ := s.Callers[i%len(s.Callers)].Open(routeAddress(i % len(services)))
		if n == nil {
			served = 0
			continue
		}
		outcome := n.Request(fmt.Sprintf("recovery-%d", i))
		n.Close()
		if outcome != OutcomeServed && outcome != OutcomeLate {
			served = 0
			continue
		}
		if served++; served == recovered {
			return true
		}
	}
	return false
}

func (s *Site) draw(r *rand.Rand) *node {
	return s.nodes[r.IntN(len(s.nodes))]
}

func some(r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(longest)))
}

// restart starts a node's process again.
func (s *Site) restart(n *node) string {
	s.Judge.Disturb(time.Now(), n.agent)
	if err := n.start(s.Directory); err != nil {
		s.Judge.broken("start", n.name+": "+err.Error())
		return n.name + " did not start"
	}
	return n.name
}

func (s *Site) killOne(r *rand.Rand) string {
	n := s.draw(r)
	n.busy.Lock()
	defer n.busy.Unlock()
	s.Judge.Disturb(time.Now(), n.agent)
	n.kill()
	time.Sleep(some(r))
	return s.restart(n)
}

func (s *Site) killAll(r *rand.Rand) string {
	var all sync.WaitGroup
	down := some(r)
	for _, n := range s.nodes {
		late := time.Duration(r.Int64N(int64(longest / 6)))
		all.Go(func() {
			n.busy.Lock()
			defer n.busy.Unlock()
			s.Judge.Disturb(time.Now(), n.agent)
			n.kill()
			time.Sleep(down + late)
			s.restart(n)
		})
	}
	all.Wait()
	return "for " + down.String()
}

func (s *Site) pauseOne(r *rand.Rand) string {
	n := s.draw(r)
	n.busy.Lock()
	defer n.busy.Unlock()
	s.Judge.Disturb(time.Now(), n.agent)
	n.signal(syscall.SIGSTOP)
	time.Sleep(some(r))
	n.signal(syscall.SIGCONT)
	s.Judge.Disturb(time.Now(), n.agent)
	return n.name
}

func (s *Site) restartOne(r *rand.Rand) string {
	n := s.draw(r)
	n.busy.Lock()
	defer n.busy.Unlock()
	s.Judge.Disturb(time.Now(), n.agent)
	if n.stop() {
		s.Judge.broken("stop", n.name+" did not end within "+stopGrace.String())
	}
	return s.restart(n)
}

func (s *Site) reloadOne(r *rand.Rand) string {
	n := s.draw(r)
	n.busy.Lock()
	defer n.busy.Unlock()
	n.signal(syscall.SIGHUP)
	return n.name
}

// during sets links to a mode for a while.
func (s *Site) during(m Mode, d time.Duration, agent int, links ...*Link) {
	for _, l := range links {
		if err := l.SetMode(m); err != nil {
			s.Judge.broken("proxy", err.Error())
		}
	}
	s.Judge.Disturb(time.Now(), agent)
	time.Sleep(d)
	s.Judge.Disturb(time.Now(), agent)
	for _, l := range links {
		if err := l.SetMode(ModePass); err != nil {
			s.Judge.broken("proxy", err.Error())
		}
	}
}

func mode(r *rand.Rand) Mode {
	return ModeDelay + Mode(r.IntN(int(modeCount-ModeDelay)))
}

// breakStore disturbs the links of some or all nodes to the store.
func (s *Site) breakStore(r *rand.Rand) string {
	var links []*Link
	whole := r.IntN(2) == 0
	for _, n := range s.nodes {
		if whole || r.IntN(3) == 0 {
			links = append(links, n.store)
		}
	}
	m := mode(r)
	s.during(m, some(r), -1, links...)
	return fmt.Sprintf("%s on %d of %d nodes", m, len(links), len(s.nodes))
}

func (s *Site) forgetHistory(*rand.Rand) string {
	s.store.Forget()
	return ""
}

func (s *Site) breakControl(r *rand.Rand) string {
	n, m := s.draw(r), mode(r)
	s.during(m, some(r), n.agent, n.control...)
	return m.String() + " on " + n.name
}

func (s *Site) breakAnnouncements(r *rand.Rand) string {
	n, m := s.nodes[s.Entries+r.IntN(len(s.Targets))], mode(r)
	s.during(m, some(r), n.agent, n.announcements)
	return m.String() + " on " + n.name
}

func (s *Site) losePackets(r *rand.Rand) string {
	for _, c := range s.Callers {
		c.SetLoss(lossShare)
	}
	time.Sleep(some(r))
	for _, c := range s.Callers {
		c.SetLoss(0)
	}
	return ""
}

// killTarget lets a target start anew, at times with the id that it had.
func (s *Site) killTarget(r *rand.Rand) string {
	t := s.Targets[r.IntN(len(s.Targets))]
	s.Judge.Disturb(time.Now(), t.index)
	id := ""
	if r.IntN(2) == 0 {
		id = t.ID()
	}
	t.Begin(id)
	return agentName(t.index) + " id " + id
}

// releaseTarget drains a target, and replaces it when its time to drain is over.
func (s *Site) releaseTarget(r *rand.Rand) string {
	t := s.Targets[r.IntN(len(s.Targets))]
	id := t.ID()
	t.Drain()
	time.Sleep(drainInForce + some(r))
	if t.ID() == id {
		t.Begin("")
	}
	return agentName(t.index)
}

func (s *Site) changePlan(r *rand.Rand) string {
	if err := s.PutPlan(r.IntN(2) == 0); err != nil {
		s.Judge.broken("plan", err.Error())
	}
	return ""
}
