package placement

import (
	"time"
)

const (
	// serviceTimeWeight is the weight of a new sample in a MeanServiceTime.
	serviceTimeWeight = 0.02
	// minRetryAfter is the shortest delay that RetryAfter returns.
	minRetryAfter = time.Second
)

// MeanServiceTime is the exponential moving average of the time that requests hold a slot. The zero value is ready to
// use.
type MeanServiceTime struct {
	mean float64
}

// Observe records how long a request held a slot.
func (t *MeanServiceTime) Observe(held time.Duration) {
	if t.mean == 0 {
		t.mean = float64(held)
		return
	}
	t.mean += serviceTimeWeight * (float64(held) - t.mean)
}

// ExpectedWait returns how long a request is expected to wait behind the given number of queued requests if all slots
// are in use. It returns 0 before the first observation.
func (t *MeanServiceTime) ExpectedWait(ahead, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(t.mean * float64(ahead+1) / float64(slots))
}

// RetryAfter returns the delay after which a refused caller should retry. random, between 0 and 1, spreads the callers
// over twice the expected wait, so that they do not all retry at once.
func RetryAfter(expected time.Duration, random float64) time.Duration {
	return minRetryAfter + time.Duration(2*random*float64(expected))
}
