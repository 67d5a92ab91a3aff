package dataplane

import "time"

// RepeatWithin calls step until it returns false or the time budget is used up. It calls step at least once and
// interrupts no call.
func RepeatWithin(budget time.Duration, step func() (more bool)) {
	start := time.Now()
	for step() && time.Since(start) < budget {
	}
}
