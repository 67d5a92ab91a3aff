package site

import (
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// planInForce is when a plan must be in force everywhere, and drainInForce when a draining target must get no new
	// flow; both are the platform's bounds of the small sites.
	planInForce  = 3 * time.Second
	drainInForce = 3 * time.Second
	// stableWindow is how long after a disruption of a target or its agent a reset of its flows is allowed.
	stableWindow = 4 * time.Second
)

// Judge notes what callers and targets see, and which promises that breaks.
type Judge struct {
	mutex sync.Mutex
	// holders are the incarnations that hold open flows.
	holders map[gue.Flow]*incarnation
	runs    map[string]int
	plans   []dated
	// disturbed is when agents or their targets were last disturbed, by index, and anything when something was.
	disturbed map[int]time.Time
	anything  time.Time
	Broken    []Break
}

// dated is a plan and when the store took it.
type dated struct {
	plan *plan.Plan
	at   time.Time
}

// Break is one broken promise.
type Break struct {
	Promise string `json:"promise"`
	Text    string `json:"text"`
	AtMs    int64  `json:"atMs"`
}

func newJudge() *Judge {
	return &Judge{holders: map[gue.Flow]*incarnation{}, runs: map[string]int{}, disturbed: map[int]time.Time{}}
}

func (j *Judge) broken(promise, text string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.add(promise, text)
}

func (j *Judge) add(promise, text string) {
	j.Broken = append(j.Broken, Break{Promise: promise, Text: text, AtMs: time.Now().UnixMilli()})
}

// Disturb notes that something is done to an agent or its target, or with a negative index to others.
func (j *Judge) Disturb(now time.Time, agent int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.anything = now
	if agent >= 0 {
		j.disturbed[agent] = now
	}
}

// accepted notes a plan that the store took.
func (j *Judge) accepted(now time.Time, p *plan.Plan) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.plans = append(j.plans, dated{plan: p, at: now})
}

// opening judges an opening packet that reached a target.
func (j *Judge) opening(now time.Time, service string, f gue.Flow, life *incarnation) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if !j.leads(now, service, f) {
		j.add("wrongRoute", fmt.Sprintf("an opening packet of %s reached a target of %s", f, service))
	}
	if !life.drained.IsZero() && now.Sub(life.drained) > drainInForce {
		j.add("drained", fmt.Sprintf("an opening packet of %s reached %s, which drains", f, life.target.ID))
	}
}

// leads reports whether a plan that may still be in force leads the flow to the service. Right after a disturbance an
// older plan may be: the machine that held it was not in touch.
func (j *Judge) leads(now time.Time, service string, f gue.Flow) bool {
	for i, d := range j.plans {
		replaced := i+1 < len(j.plans) && now.Sub(j.plans[i+1].at) > planInForce && now.Sub(j.anything) > planInForce
		if r := d.plan.Find(f.Service); !replaced && r != nil && r.HasService(service) {
			return true
		}
	}
	return false
}

// opened notes that a target holds an open flow.
func (j *Judge) opened(f gue.Flow, life *incarnation) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if held, known := j.holders[f]; known && held != life {
		j.add("openTwice", fmt.Sprintf("%s is open at %s and %s", f, held.target.ID, life.target.ID))
	}
	j.holders[f] = life
}

// closed notes that one end closed a flow.
func (j *Judge) closed(f gue.Flow) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	delete(j.holders, f)
}

// ended notes that an incarnation's flows are lost.
func (j *Judge) ended(life *incarnation) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for f, held := range j.holders {
		if held == life {
			delete(j.holders, f)
		}
	}
}

// reset judges a reset that a caller got on an open flow.
func (j *Judge) reset(f gue.Flow) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	held, alive := j.holders[f]
	if !alive {
		return
	}
	delete(j.holders, f)
	if at := j.disturbed[held.agent]; time.Since(at) > stableWindow {
		j.add("liveFlowReset", fmt.Sprintf("%s was reset while %s holds it", f, held.target.ID))
	}
}

func (j *Judge) sent(id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.runs[id] = 0
}

// ran judges that a target began a request.
func (j *Judge) ran(id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.runs[id]++
	if j.runs[id] > 1 {
		j.add("ranTwice", "request "+id+" ran twice")
	}
}
