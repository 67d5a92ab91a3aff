package scenario

import (
	"github.com/coltsfootline/coltsfootline/rig/caller"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
)

const (
	// maxSurgeP99Ratio limits Result.SurgeP99Ms relative to IdealSurgeP99Ms, and minSurgeGoodput is the lower limit of
	// Result.SurgeGoodput. Both are requirements of the users.
	maxSurgeP99Ratio = 1.25
	minSurgeGoodput  = 0.95
	surgeWorkFactor  = 5
	millisPerSecond  = 1000
)

// demandSurges multiply the usual demand by four for 4 s and by ten for 3 s.
var demandSurges = []caller.Surge{
	{AtSeconds: 4, Seconds: 4, Factor: 4},
	{AtSeconds: 14, Seconds: 3, Factor: 10},
}

func init() {
	Scenarios.Register("crest", Scenario{
		Purpose:    "demand rises to four and to ten times within moments",
		Planned:    true,
		AdjustLoad: addSurges,
		Check:      checkSurges,
	})
}

// addSurges makes requests longer and proportionally rarer than in other scenarios. At ten times the demand, slots then
// become the bottleneck rather than the machine that runs the whole cluster.
func addSurges(l *caller.Load) {
	l.Surges = demandSurges
	before := l.MeanMs()
	l.ShortMs *= surgeWorkFactor
	l.RequestsPerSecond *= before / l.MeanMs()
}

// surgeStats collects all arrivals, the latencies of short requests sent during surges, and the answered work during
// the highest surge, the peak.
type surgeStats struct {
	surges     []caller.Surge
	peak       caller.Surge
	short      latencyHistogram
	arrivals   []arrival
	peakWorkMs float64
}

func newSurgeStats(loads []caller.Load) *surgeStats {
	stats := &surgeStats{short: newLatencyHistogram()}
	if len(loads) == 0 {
		return stats
	}
	stats.surges = loads[0].Surges
	for _, s := range stats.surges {
		if s.Factor > stats.peak.Factor {
			stats.peak = s
		}
	}
	return stats
}

func (stats *surgeStats) record(o caller.Outcome) {
	if len(stats.surges) == 0 || o.Final || o.Kind == caller.KindDialFailed {
		return
	}
	measured := stats.inSurge(o.AfterMs) && !o.Long
	stats.arrivals = append(stats.arrivals, arrival{service: o.Service, atMs: o.AfterMs, workMs: o.WorkMs, measured: measured})
	if o.Kind != caller.KindAnswered {
		return
	}
	if measured {
		stats.short.record(o.Ms)
	}
	stats.peakWorkMs += overlap(o.AfterMs+o.Ms-o.WorkMs, o.AfterMs+o.Ms, stats.peak)
}

// overlap returns how many milliseconds between two moments lie within a surge.
func overlap(from, to float64, s caller.Surge) float64 {
	begin := s.AtSeconds * millisPerSecond
	end := begin + s.Seconds*millisPerSecond
	return max(min(to, end)-max(from, begin), 0)
}

func (stats *surgeStats) inSurge(afterMs float64) bool {
	for _, s := range stats.surges {
		if overlap(afterMs, afterMs+1, s) > 0 {
			return true
		}
	}
	return false
}

func (stats *surgeStats) report(size cluster.Size, r *Result) {
	if len(stats.surges) == 0 {
		return
	}
	slots := 0
	for _, s := range size.Services {
		slots += s.Hosts * s.Slots
	}
	p99 := stats.short.percentileMs(99)
	ideal := idealP99(stats.arrivals, size)
	goodput := stats.peakWorkMs / (stats.peak.Seconds * millisPerSecond * float64(slots))
	r.SurgeP99Ms, r.IdealSurgeP99Ms, r.SurgeGoodput = &p99, &ideal, &goodput
}

func checkSurges(_ *Experiment, r *Result) {
	if *r.SurgeP99Ms > maxSurgeP99Ratio**r.IdealSurgeP99Ms {
		r.FailedChecks = append(r.FailedChecks, "crestP99")
	}
	if *r.SurgeGoodput < minSurgeGoodput {
		r.FailedChecks = append(r.FailedChecks, "crestGoodput")
	}
}
