package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// recovery is when callers must be served again after the last fault, as the platform asks.
	recovery = 12 * time.Second
	// recovered is how many requests in a row must be served for that.
	recovered = 30
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
