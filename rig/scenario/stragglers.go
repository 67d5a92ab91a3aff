package scenario

import (
	"github.com/coltsfootline/coltsfootline/rig/caller"
)

const (
	// stragglerBound is the users' target for short requests beside stragglers against without them.
	stragglerBound       = 1.3
	stragglerShare       = 1.0 / 200
	stragglerFactor      = 100
	stragglersFromSecond = 12
)

func init() {
	Scenarios.Register("stragglers", Scenario{
		Purpose: "from the 12th second, 1 in 200 requests runs 100 times longer",
		Planned: true,
		Adjust:  addStragglers,
		Check:   checkStragglers,
	})
}

// addStragglers keeps the rate that gives 60% load with stragglers throughout.
func addStragglers(l *caller.Load) {
	before := l.MeanMs()
	l.LongShare = stragglerShare
	l.LongMs = stragglerFactor * l.ShortMs
	l.LongFromSeconds = stragglersFromSecond
	l.RequestsPerSecond *= heavyLoad / usualLoad * before / l.MeanMs()
}

// phases splits the latency of short requests at the time when stragglers begin.
type phases struct {
	from          float64
	before, after latencies
}

func newPhases(loads []caller.Load) *phases {
	p := &phases{
		before: newLatencies(),
		after:  newLatencies(),
	}
	if len(loads) > 0 {
		p.from = loads[0].LongFromSeconds * millisPerSecond
	}
	return p
}

func (p *phases) note(o caller.Outcome) {
	if p.from == 0 || o.Final || o.Long || o.Kind != caller.KindAnswered {
		return
	}
	h := p.before
	if o.AfterMs >= p.from {
		h = p.after
	}
	h.record(o.Ms)
}

func (p *phases) sumUp(r *Result) {
	if p.from == 0 {
		return
	}
	before := p.before.quantileMs(99)
	after := p.after.quantileMs(99)
	r.ShortP99WithoutMs, r.ShortP99WithMs = &before, &after
}

func checkStragglers(_ *Experiment, r *Result) {
	if *r.ShortP99WithMs > stragglerBound**r.ShortP99WithoutMs {
		r.BrokenPromises = append(r.BrokenPromises, "shortBehindStragglers")
	}
}
