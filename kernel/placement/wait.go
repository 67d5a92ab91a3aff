package placement

import (
	"time"
)

const (
	// serviceTimeWeight is the weight of a new observation in the exponentially weighted mean service time.
	serviceTimeWeight = 0.02
	// minRetryAfter is the shortest delay after which a refused caller is told to retry.
	minRetryAfter = time.Second
)

// MeanServiceTime is the exponentially weighted mean of the time that requests hold a slot. The zero value is ready to
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

// ExpectedWait returns the expected wait of a request with ahead others queued before it, if all slots are in use.
func (t *MeanServiceTime) ExpectedWait(ahead, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(t.mean * float64(ahead+1) / float64(slots))
}

// RetryAfter returns the delay after which a refused caller should retry. The value random, between 0 and 1, distributes
// callers over twice the expected wait, so that they do not all retry at once.
func RetryAfter(expected time.Duration, random float64) time.Duration {
	return minRetryAfter + time.Duration(2*random*float64(expected))
}
