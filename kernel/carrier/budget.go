package carrier

import "time"

// Spend calls step until there is no more to do, or the budget is spent. It calls step at least once.
func Spend(budget time.Duration, step func() (more bool)) {
	begin := time.Now()
	for step() && time.Since(begin) < budget {
	}
}
