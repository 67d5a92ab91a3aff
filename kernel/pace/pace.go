// Package pace limits the concurrent requests of a host that has just started or recovered, until its answers show that it
// is fast enough for all its slots. It performs no I/O.
package pace

import "time"

const (
	// windowSize is the number of answers that are judged together. Of requests of which three in a hundred take seven
	// times the mean, minSlow or more of a window do in one window of 1,000.
	windowSize = 7
	minSlow    = 4
	minLate    = 3
	// slowFactor is how many times the typical time of its kind an answer takes to count as slow. Times that are spread
	// evenly by half around their mean stay below it.
	slowFactor = 1.8
	// downWeight and upWeight are the weights of shorter and of longer answers in the typical time, which is therefore
	// somewhat below the mean. An answer counts as twice the typical time at most.
	downWeight = 0.05
	upWeight   = 0.02
	// maxHold is the highest number of good windows in a row that the limit needs to rise after it fell. It keeps a host
	// that is full at half its slots from being overloaded at every second window.
	maxHold = 16
	// settleTime is how long the limit must have stayed at the number of slots until it is removed.
	settleTime = 2 * time.Second
	// relapseWindows is the number of slow windows in a row after which a host without a limit is limited again.
	relapseWindows = 3
	// maxKinds bounds the kinds of requests that are told apart.
	maxKinds = 256
)

// Pace is the limit on the concurrent requests of one host. K identifies the kind of a request; the times of a kind are
// compared only with each other. The zero value sets no limit. It is not safe for concurrent use.
type Pace[K comparable] struct {
	// limit is 0 if there is no limit.
	limit int
	// typical holds the host's own typical time by kind. It is kept over starts, as later processes of the target are
	// expected to become as fast as earlier ones.
	typical map[K]time.Duration
	// answers, slow and late count the answers of the present window. wanted is set if the limit was reached in it.
	answers, slow, late int
	wanted              bool
	// good and bad count the windows in a row without and with too many slow or late answers. hold is the number of good
	// windows that the limit needs to rise.
	good, bad, hold int
	// full is when the limit reached the number of slots, or zero.
	full time.Time
}

// Answer is what Pace learns from one answer.
type Answer[K comparable] struct {
	Kind K
	Time time.Duration
	// Late is set if the answer missed its objective.
	Late bool
	// Busy is the number of concurrent requests, including the answered one, and Slots how many the host can process.
	Busy  int
	Slots int
}

// Start begins with the low limit.
func (p *Pace[K]) Start(slots int) {
	p.limit = lowLimit(slots)
	p.hold, p.full = 1, time.Time{}
	p.good, p.bad = 0, 0
	p.endWindow()
}

// lowLimit returns the limit at the start.
func lowLimit(slots int) int {
	return max(slots/4, 1)
}

// Limit returns the limit, or 0 if there is none.
func (p *Pace[K]) Limit() int {
	return p.limit
}

// Allows reports whether the host may take another request besides the busy ones.
func (p *Pace[K]) Allows(busy int) bool {
	if p.limit == 0 || busy < p.limit {
		return true
	}
	p.wanted = true
	return false
}

// Observe processes an answer. Answers of requests that waited for a slot are left out: their time tells about the load.
func (p *Pace[K]) Observe(now time.Time, a Answer[K]) {
	if a.Busy > a.Slots {
		return
	}
	typical := p.learn(a.Kind, a.Time)
	p.answers++
	if float64(a.Time) > slowFactor*float64(typical) {
		p.slow++
	}
	if a.Late {
		p.late++
	}
	p.wanted = p.wanted || a.Busy >= p.limit
	if p.answers < windowSize {
		return
	}
	if p.slow >= minSlow || p.late >= minLate {
		p.good, p.bad = 0, p.bad+1
	} else {
		p.good, p.bad = p.good+1, 0
	}
	p.adjust(now, a.Slots)
	p.endWindow()
}

// adjust changes the limit after a window.
func (p *Pace[K]) adjust(now time.Time, slots int) {
	switch {
	case p.limit == 0:
		if p.bad >= relapseWindows && p.slow >= minSlow {
			p.Start(slots)
		}
	case p.bad > 0:
		// A host that is slow at the low limit is not slow because of it, so that the next rise need not wait longer.
		if p.limit > lowLimit(slots) {
			p.limit = max(p.limit*3/4, lowLimit(slots))
			p.hold = min(2*p.hold, maxHold)
		}
		p.full = time.Time{}
	case p.limit < slots:
		if p.wanted && p.good >= p.hold {
			p.limit, p.good = min(p.limit+max(p.limit/4, 1), slots), 0
		}
	case p.full.IsZero():
		p.full = now
	case now.Sub(p.full) >= settleTime:
		p.limit = 0
	}
}

func (p *Pace[K]) endWindow() {
	p.answers, p.slow, p.late, p.wanted = 0, 0, 0, false
}

// learn adds a sample to the typical time of a kind and returns that time.
func (p *Pace[K]) learn(kind K, d time.Duration) time.Duration {
	if p.typical == nil || len(p.typical) > maxKinds {
		p.typical = make(map[K]time.Duration)
	}
	typical, known := p.typical[kind]
	switch {
	case !known:
		typical = d
	case d < typical:
		typical += time.Duration(downWeight * float64(d-typical))
	default:
		typical += time.Duration(upWeight * float64(min(d, 2*typical)-typical))
	}
	p.typical[kind] = typical
	return typical
}
