package pace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	modelSlots    = 8
	modelMean     = 60 * time.Millisecond
	modelLate     = 200 * time.Millisecond
	modelDuration = 20 * time.Second
	tick          = time.Millisecond
)

// model is a target whose service times are spread by half around a mean, times factor; three requests in a hundred take
// seven times as long. There is always another request.
type model struct {
	name string
	// factor returns the factor of the service time of a request that starts after the time since the target's start.
	factor func(since time.Duration, busy int) float64
	// demand reports whether requests come at the time.
	demand func(since time.Duration) bool
}

func always(time.Duration) bool { return true }

var models = []model{
	{"slow in its first 3 s", func(since time.Duration, _ int) float64 { return slowUntil(since, 3*time.Second) }, always},
	{"never slow", func(time.Duration, int) float64 { return 1 }, always},
	{"slow for good", func(time.Duration, int) float64 { return 2 }, always},
	{"slow again after a pause", func(since time.Duration, _ int) float64 {
		if since > 10*time.Second {
			return slowUntil(since-12*time.Second, 3*time.Second)
		}
		return 1
	}, func(since time.Duration) bool { return since < 10*time.Second || since > 12*time.Second }},
	{"full at half its slots", func(_ time.Duration, busy int) float64 {
		return max(1, 3*float64(busy-modelSlots/2))
	}, always},
}

func slowUntil(since, end time.Duration) float64 {
	if since < end {
		return 3.5
	}
	return 1
}

// limiter is one of the ways that are compared.
type limiter interface {
	allows(since time.Duration, busy int) bool
	answered(since time.Duration, a Answer[int])
	// limit returns the limit, or 0 for none.
	limit(since time.Duration) int
}

type noPace struct{}

func (noPace) allows(time.Duration, int) bool      { return true }
func (noPace) answered(time.Duration, Answer[int]) {}
func (noPace) limit(time.Duration) int             { return 0 }

// fixedRamp rises from one to all slots in four seconds.
type fixedRamp struct{ noPace }

func (fixedRamp) limit(since time.Duration) int {
	if since >= 4*time.Second {
		return 0
	}
	return max(int(since*modelSlots/(4*time.Second)), 1)
}

func (r fixedRamp) allows(since time.Duration, busy int) bool {
	return r.limit(since) == 0 || busy < r.limit(since)
}

type paced struct{ Pace[int] }

func (p *paced) allows(_ time.Duration, busy int) bool { return p.Allows(busy) }
func (p *paced) answered(since time.Duration, a Answer[int]) {
	p.Observe(time.Unix(1000, 0).Add(since), a)
}
func (p *paced) limit(time.Duration) int { return p.Limit() }

// result is what one play of a model gave.
type result struct {
	// full is when the limit was last below the slots; idle are slot-seconds.
	full     time.Duration
	late     int
	answers  int
	idle     time.Duration
	limitEnd int
}

func play(m model, l limiter, seed uint64) (r result) {
	random := rand.New(rand.NewPCG(seed, 1))
	type request struct{ start, end time.Duration }
	var running []request
	for now := time.Duration(0); now < modelDuration; now += tick {
		for i := 0; i < len(running); i++ {
			q := running[i]
			if q.end > now {
				continue
			}
			a := Answer[int]{Time: now - q.start, Late: now-q.start > modelLate, Busy: len(running), Slots: modelSlots}
			running = slices.Delete(running, i, i+1)
			i--
			r.answers++
			if a.Late {
				r.late++
			}
			l.answered(now, a)
		}
		if !m.demand(now) {
			continue
		}
		for len(running) < modelSlots && l.allows(now, len(running)) {
			work := float64(modelMean) * (0.5 + random.Float64()) * m.factor(now, len(running)+1)
			if random.IntN(100) < 3 {
				work *= 7
			}
			running = append(running, request{now, now + time.Duration(work)})
		}
		r.idle += tick * time.Duration(modelSlots-len(running))
		if n := l.limit(now); n > 0 && n < modelSlots {
			r.full = now
		}
	}
	r.limitEnd = l.limit(modelDuration)
	return r
}

// TestPaceOfModels compares the pace with no pace and a fixed ramp. Failures guarded against: a fast target is held back
// for long, slow outliers keep the limit low, a target that is slow for good never gets its load, and a target that is
// slow at first or too small gets as many late requests as without a limit.
func TestPaceOfModels(t *testing.T) {
	const seeds = 10
	table := fmt.Sprintf("%-25s %-10s %10s %8s %8s %12s\n", "target", "limit", "full at s", "late", "answers", "idle slot-s")
	results := map[string]result{}
	for _, m := range models {
		for _, name := range []string{"none", "fixed ramp", "pace"} {
			var sum result
			for seed := range uint64(seeds) {
				var l limiter = noPace{}
				switch name {
				case "fixed ramp":
					l = fixedRamp{}
				case "pace":
					p := &paced{}
					p.Start(modelSlots)
					l = p
				}
				r := play(m, l, seed)
				sum.full, sum.idle = sum.full+r.full/seeds, sum.idle+r.idle/seeds
				sum.late, sum.answers, sum.limitEnd = sum.late+r.late, sum.answers+r.answers, max(sum.limitEnd, r.limitEnd)
			}
			sum.late, sum.answers = sum.late/seeds, sum.answers/seeds
			results[m.name+"/"+name] = sum
			table += fmt.Sprintf("%-25s %-10s %10.1f %8d %8d %12.1f\n", m.name, name, sum.full.Seconds(), sum.late, sum.answers, sum.idle.Seconds())
		}
	}
	t.Logf("mean of %d plays of %s:\n%s", seeds, modelDuration, table)
	fast := results["never slow/pace"]
	require.Less(t, fast.full, results["never slow/fixed ramp"].full)
	require.Zero(t, fast.limitEnd)
	require.Zero(t, results["slow for good/pace"].limitEnd)
	require.Zero(t, results["slow in its first 3 s/pace"].limitEnd)
	for _, name := range []string{"slow in its first 3 s", "slow again after a pause", "full at half its slots"} {
		require.Less(t, results[name+"/pace"].late, results[name+"/none"].late, name)
	}
}
