package scenario

import (
	"github.com/coltsfootline/coltsfootline/rig/caller"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
)

const (
	// crestP99Bound and crestGoodputBound are the users' targets.
	crestP99Bound     = 1.25
	crestGoodputBound = 0.95
	crestSlowdown     = 5
	millisPerSecond   = 1000
)

// crestSurges are four times the usual demand for 4 s and ten times for 3 s.
var crestSurges = []caller.Surge{
	{AtSeconds: 4, Seconds: 4, Factor: 4},
	{AtSeconds: 14, Seconds: 3, Factor: 10},
}

func init() {
	Scenarios.Register("crest", Scenario{
		Purpose: "demand rises to four and to ten times within moments",
		Planned: true,
		Adjust:  surge,
		Check:   checkCrest,
	})
}

// surge uses fewer and longer requests than other scenarios, so that ten times the demand is a matter of slots and not
// of the machine that runs everything.
func surge(l *caller.Load) {
	l.Surges = crestSurges
	before := l.MeanMs()
	l.ShortMs *= crestSlowdown
	l.RequestsPerSecond *= before / l.MeanMs()
}

// crest collects what happened during surges.
type crest struct {
	surges  []caller.Surge
	highest caller.Surge
	short   latencies
	all     []arrival
	workMs  float64
}

func newCrest(loads []caller.Load) *crest {
	c := &crest{short: newLatencies()}
	if len(loads) == 0 {
		return c
	}
	c.surges = loads[0].Surges
	for _, s := range c.surges {
		if s.Factor > c.highest.Factor {
			c.highest = s
		}
	}
	return c
}

func (c *crest) note(o caller.Outcome) {
	if len(c.surges) == 0 || o.Final || o.Kind == caller.KindDial {
		return
	}
	counts := c.during(o.AfterMs) && !o.Long
	c.all = append(c.all, arrival{service: o.Service, at: o.AfterMs, work: o.WorkMs, counts: counts})
	if o.Kind != caller.KindAnswered {
		return
	}
	if counts {
		c.short.record(o.Ms)
	}
	c.workMs += overlap(o.AfterMs+o.Ms-o.WorkMs, o.AfterMs+o.Ms, c.highest)
}

// overlap is how much of the time between two moments lies in a surge, in milliseconds.
func overlap(from, to float64, s caller.Surge) float64 {
	begin := s.AtSeconds * millisPerSecond
	end := begin + s.Seconds*millisPerSecond
	return max(min(to, end)-max(from, begin), 0)
}

func (c *crest) during(afterMs float64) bool {
	for _, s := range c.surges {
		if overlap(afterMs, afterMs+1, s) > 0 {
			return true
		}
	}
	return false
}

func (c *crest) sumUp(size cluster.Size, r *Result) {
	if len(c.surges) == 0 {
		return
	}
	slots := 0
	for _, s := range size.Services {
		slots += s.Hosts * s.Slots
	}
	p99 := c.short.quantileMs(99)
	ideal := idealP99(c.all, size)
	goodput := c.workMs / (c.highest.Seconds * millisPerSecond * float64(slots))
	r.CrestP99Ms, r.IdealCrestP99Ms, r.CrestGoodput = &p99, &ideal, &goodput
}

func checkCrest(_ *Experiment, r *Result) {
	if *r.CrestP99Ms > crestP99Bound**r.IdealCrestP99Ms {
		r.BrokenPromises = append(r.BrokenPromises, "crestP99")
	}
	if *r.CrestGoodput < crestGoodputBound {
		r.BrokenPromises = append(r.BrokenPromises, "crestGoodput")
	}
}
