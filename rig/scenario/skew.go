package scenario

import (
	"github.com/coltsfootline/coltsfootline/rig/caller"
)

const (
	skewExponent    = 0.8
	skewMaxRate     = 20
	highUtilisation = 0.6
	// maxImbalance is the users' requirement on Result.Imbalance.
	maxImbalance = 1.05
)

func init() {
	Scenarios.Register("skew", Scenario{
		Purpose: "a few connections make most requests, at 60% load",
		Planned: true,
		AdjustLoad: func(l *caller.Load) {
			l.RequestsPerSecond *= highUtilisation / defaultUtilisation
			l.Skew = skewExponent
			l.MaxRate = skewMaxRate
		},
		Check: checkSkew,
	})
}

func checkSkew(_ *Experiment, r *Result) {
	if r.Imbalance > maxImbalance {
		r.FailedChecks = append(r.FailedChecks, "imbalance")
	}
}
