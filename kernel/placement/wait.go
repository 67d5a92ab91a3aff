package placement

import (
	"time"
)

const (
	// serviceWeight is the share of the newest observation in the mean service time.
	serviceWeight = 0.02
	// leastRetryAfter is the least time that a refused caller is told to wait.
	leastRetryAfter = time.Second
)

// ServiceTime is the mean time that requests hold a slot, with exponential decay. The zero value is ready to use.
type ServiceTime struct {
	mean float64
}

// Note counts one request that held a slot.
func (t *ServiceTime) Note(held time.Duration) {
	if t.mean == 0 {
		t.mean = float64(held)
		return
	}
	t.mean += serviceWeight * (float64(held) - t.mean)
}

// Wait is how long a request waits for a slot behind others, when all slots are in use.
func (t *ServiceTime) Wait(ahead, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(t.mean * float64(ahead+1) / float64(slots))
}

// RetryAfter is when a refused caller should come again: random, between 0 and 1, spreads callers over twice the
// expected wait, so that they don't return together.
func RetryAfter(expected time.Duration, random float64) time.Duration {
	return leastRetryAfter + time.Duration(2*random*float64(expected))
}
