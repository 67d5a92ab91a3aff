package scenario

import (
	"github.com/coltsfootline/coltsfootline/rig/caller"
)

const (
	skewExponent     = 0.8
	skewGreatestRate = 20
	heavyLoad        = 0.6
	// imbalanceBound is the users' target for the greatest over the mean of busy slot time per host.
	imbalanceBound = 1.05
)

func init() {
	Scenarios.Register("skew", Scenario{
		Purpose: "a few connections make most requests, at 60% load",
		Planned: true,
		Adjust: func(l *caller.Load) {
			l.RequestsPerSecond *= heavyLoad / usualLoad
			l.Skew = skewExponent
			l.GreatestRate = skewGreatestRate
		},
		Check: checkSkew,
	})
}

func checkSkew(_ *Experiment, r *Result) {
	if r.Imbalance > imbalanceBound {
		r.BrokenPromises = append(r.BrokenPromises, "imbalance")
	}
}
