package scenario

import (
	"github.com/coltsfootline/coltsfootline/rig/caller"
)

const latencyRequestsPerSecond = 50

func init() {
	Scenarios.Register("latency", Scenario{
		Purpose: "few requests that need no work: what the path itself costs",
		Planned: true,
		Adjust: func(l *caller.Load) {
			l.RequestsPerSecond = latencyRequestsPerSecond
			l.ShortMs = 0
			l.LongShare = 0
		},
	})
}
