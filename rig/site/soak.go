package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// recoveryLimit is the platform's limit on the time from the end of the last fault until requests are served again.
	recoveryLimit = 12 * time.Second
	// recoveryRequests is the number of consecutive requests that must be served before the site counts as recovered.
	recoveryRequests = 30
	// maxPause is the longest pause of a caller between two requests on one flow.
	maxPause = 400 * time.Millisecond
	// maxRequestsPerFlow limits the requests on one flow.
	maxRequestsPerFlow = 12
	// probeInterval is the pause between two probes of the extra route.
	probeInterval = 100 * time.Millisecond
	// flowsPerCaller is the number of flows that each caller uses concurrently.
	flowsPerCaller = 4
)

// SoakResult lists the injected faults and the outcomes of one run. During the run the checker's mutex guards Faults and
// Outcomes.
type SoakResult struct {
	Seed     uint64          `json:"seed"`
	Faults   []string        `json:"faults"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// RecoveredMs is the time from the end of the last fault until the site recovered.
	RecoveredMs int64       `json:"recoveredMs"`
	Violations  []Violation `json:"broken,omitempty"`
}

// RunSoak sends requests and, for the given duration, injects random faults, which may overlap. It then waits until the
// site recovers. If faultNames is not empty, it injects only these kinds of fault.
func RunSoak(ctx context.Context, s *Site, duration time.Duration, faultNames []string) (SoakResult, error) {
	kinds, err := selectFaults(faultNames)
	if err != nil {
		return SoakResult{}, err
	}
	result := SoakResult{Seed: s.Seed, Outcomes: map[Outcome]int{}}
	loadContext, stopLoad := context.WithCancel(ctx)
	load := s.startLoad(loadContext, &result)
	random := rand.New(rand.NewPCG(s.Seed, 2))
	begin := time.Now()
	var running sync.WaitGroup
	for time.Since(begin) < duration && ctx.Err() == nil {
		f := kinds[random.IntN(len(kinds))]
		faultRandom := rand.New(rand.NewPCG(s.Seed, random.Uint64()))
		offset := time.Since(begin)
		running.Go(func() {
			detail := f.inject(s, faultRandom)
			s.Checker.mutex.Lock()
			defer s.Checker.mutex.Unlock()
			result.Faults = append(result.Faults, fmt.Sprintf("%.2fs %s %s", offset.Seconds(), f.name, detail))
		})
		time.Sleep(time.Duration(random.Int64N(int64(duration / 5))))
	}
	running.Wait()
	end := time.Now()
	ok := s.waitRecovered(ctx, end)
	result.RecoveredMs = time.Since(end).Milliseconds()
	if !ok {
		s.Checker.report("recovery", fmt.Sprintf("requests were not served again within %s after the last fault", recoveryLimit))
	}
	if ok {
		s.checkObjects()
		s.checkPlanChange()
	}
	stopLoad()
	load.Wait()
	result.Violations = s.Checker.Violations
	return result, ctx.Err()
}

// startLoad keeps flowsPerCaller flows of every caller in use until ctx ends.
func (s *Site) startLoad(ctx context.Context, result *SoakResult) *sync.WaitGroup {
	var load sync.WaitGroup
	for i, c := range s.Callers {
		for w := range flowsPerCaller {
			r := rand.New(rand.NewPCG(s.Seed, uint64(3000+100*i+w)))
			load.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					s.useFlow(ctx, c, r, fmt.Sprintf("%d-%d-%d", i, w, n), result)
				}
			})
		}
	}
	load.Go(func() { s.probeExtraRoute(ctx) })
	return &load
}

// probeExtraRoute opens flows to the extra route, which some plans lack. The checker checks the SYNs that reach a target.
func (s *Site) probeExtraRoute(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		if conn, _ := s.Callers[i%len(s.Callers)].Open(routeAddress(len(services))); conn != nil {
			conn.Close()
		}
		time.Sleep(probeInterval)
	}
}

// checkPlanChange stores a new plan after the faults and checks that it is in force within planPropagationLimit: callers
// can open flows to the extra route exactly if the plan has it.
func (s *Site) checkPlanChange() {
	extra := s.Seed%2 == 0
	if err := s.PutPlan(extra); err != nil {
		s.Checker.report("plan", err.Error())
		return
	}
	time.Sleep(planPropagationLimit)
	for _, c := range s.Callers {
		conn, outcome := c.Open(routeAddress(len(services)))
		if conn != nil {
			conn.Close()
		}
		if (conn != nil) != extra {
			s.Checker.report("planInForce", fmt.Sprintf("opening a flow to the extra route: %s; route in the plan: %t", outcome, extra))
		}
	}
}

// useFlow opens a flow and sends some requests on it, one after another. It stops at the first reset or unanswered request,
// because clients use an open flow until it fails.
func (s *Site) useFlow(ctx context.Context, c *Caller, r *rand.Rand, name string, result *SoakResult) {
	conn, outcome := c.Open(routeAddress(r.IntN(len(services))))
	for i := 0; conn != nil && i <= r.IntN(maxRequestsPerFlow) && ctx.Err() == nil; i++ {
		outcome = conn.Request(fmt.Sprintf("%s-%d", name, i))
		s.countOutcome(result, outcome)
		if outcome == OutcomeReset || outcome == OutcomeSilent {
			if outcome == OutcomeSilent {
				conn.Close()
			}
			return
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxPause))))
	}
	if conn == nil {
		s.countOutcome(result, outcome)
		return
	}
	conn.Close()
}

func (s *Site) countOutcome(result *SoakResult, o Outcome) {
	s.Checker.mutex.Lock()
	defer s.Checker.mutex.Unlock()
	result.Outcomes[o]++
}

// waitRecovered sends requests on new flows until recoveryRequests in a row are served. It reports false if that takes
// longer than recoveryLimit.
func (s *Site) waitRecovered(ctx context.Context, end time.Time) bool {
	served := 0
	for i := 0; time.Since(end) < recoveryLimit && ctx.Err() == nil; i++ {
		conn, _ := s.Callers[i%len(s.Callers)].Open(routeAddress(i % len(services)))
		if conn == nil {
			served = 0
			continue
		}
		outcome := conn.Request(fmt.Sprintf("recovery-%d", i))
		conn.Close()
		if outcome != OutcomeServed && outcome != OutcomeLate {
			served = 0
			continue
		}
		if served++; served == recoveryRequests {
			return true
		}
	}
	return false
}
