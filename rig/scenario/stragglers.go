package scenario

import (
	"github.com/coltsfootline/coltsfootline/rig/caller"
)

const (
	// maxStragglerSlowdown is the users' requirement on the p99 of short requests with stragglers, relative to the p99
	// without.
	maxStragglerSlowdown  = 1.3
	stragglerShare        = 1.0 / 200
	stragglerFactor       = 100
	stragglerStartSeconds = 12
)

func init() {
	Scenarios.Register("stragglers", Scenario{
		Purpose:    "from the 12th second, 1 in 200 requests runs 100 times longer",
		Planned:    true,
		AdjustLoad: addStragglers,
		Check:      checkStragglers,
	})
}

// addStragglers sets the request rate that gives 60% utilisation with stragglers. The rate is the same before they
// start.
func addStragglers(l *caller.Load) {
	before := l.MeanMs()
	l.LongShare = stragglerShare
	l.LongMs = stragglerFactor * l.ShortMs
	l.LongFromSeconds = stragglerStartSeconds
	l.RequestsPerSecond *= highUtilisation / defaultUtilisation * before / l.MeanMs()
}

// stragglerStats records the latency of short requests separately before and after stragglers start.
type stragglerStats struct {
	startMs       float64
	before, after latencyHistogram
}

func newStragglerStats(loads []caller.Load) *stragglerStats {
	stats := &stragglerStats{
		before: newLatencyHistogram(),
		after:  newLatencyHistogram(),
	}
	if len(loads) > 0 {
		stats.startMs = loads[0].LongFromSeconds * millisPerSecond
	}
	return stats
}

func (stats *stragglerStats) record(o caller.Outcome) {
	if stats.startMs == 0 || o.Final || o.Long || o.Kind != caller.KindAnswered {
		return
	}
	h := stats.before
	if o.AfterMs >= stats.startMs {
		h = stats.after
	}
	h.record(o.Ms)
}

func (stats *stragglerStats) report(r *Result) {
	if stats.startMs == 0 {
		return
	}
	before := stats.before.percentileMs(99)
	after := stats.after.percentileMs(99)
	r.ShortP99WithoutMs, r.ShortP99WithMs = &before, &after
}

func checkStragglers(_ *Experiment, r *Result) {
	if *r.ShortP99WithMs > maxStragglerSlowdown**r.ShortP99WithoutMs {
		r.FailedChecks = append(r.FailedChecks, "shortBehindStragglers")
	}
}
