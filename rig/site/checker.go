package site

import (
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// planPropagationLimit is the time after which a plan must be in force on every node, and drainPropagationLimit the
	// time after which a draining target must not receive new flows. Both are the platform's limits for small sites.
	planPropagationLimit  = 3 * time.Second
	drainPropagationLimit = 3 * time.Second
	// resetGracePeriod is how long after a disruption of a target or its agent a reset of its flows is allowed.
	resetGracePeriod = 4 * time.Second
)

// Checker records what callers and targets observe and reports violated invariants.
type Checker struct {
	mutex sync.Mutex
	// holders maps each open flow to the incarnation that holds it.
	holders map[gue.Flow]*incarnation
	// runCounts maps request ids to the number of times that a target started the request.
	runCounts map[string]int
	// plans lists the accepted plans from oldest to newest.
	plans []acceptedPlan
	// disruptedAt is the time of the last disruption of each agent or its target, by agent index. lastDisruption is the
	// time of the last disruption of any component.
	disruptedAt    map[int]time.Time
	lastDisruption time.Time
	// evacuatedAt is when the store acknowledged the evacuation of each data centre, and lastLinkDisruption the time of the
	// last disruption of links to the store or between instances.
	evacuatedAt        map[string]time.Time
	lastLinkDisruption time.Time
	Violations         []Violation
}

// acceptedPlan is a plan and the time at which the store accepted it.
type acceptedPlan struct {
	plan       *plan.Plan
	acceptedAt time.Time
}

// Violation describes one violated invariant.
type Violation struct {
	Invariant string `json:"promise"`
	Text      string `json:"text"`
	AtMs      int64  `json:"atMs"`
}

func newChecker() *Checker {
	return &Checker{holders: map[gue.Flow]*incarnation{}, runCounts: map[string]int{}, disruptedAt: map[int]time.Time{}}
}

func (c *Checker) report(invariant, text string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reportLocked(invariant, text)
}

// reportLocked reports a violation. The mutex must be held.
func (c *Checker) reportLocked(invariant, text string) {
	c.Violations = append(c.Violations, Violation{Invariant: invariant, Text: text, AtMs: time.Now().UnixMilli()})
}

// RecordDisruption records a disruption of an agent or its target. A negative index stands for any other component.
func (c *Checker) RecordDisruption(now time.Time, agentIndex int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastDisruption = now
	if agentIndex >= 0 {
		c.disruptedAt[agentIndex] = now
	}
}

// recordPlan records a plan that the store accepted.
func (c *Checker) recordPlan(now time.Time, p *plan.Plan) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.plans = append(c.plans, acceptedPlan{plan: p, acceptedAt: now})
}

// checkSYN checks a SYN that reached a target: the plan must route the flow to the target's service, and the target must
// not have been draining for longer than drainPropagationLimit.
func (c *Checker) checkSYN(now time.Time, service string, f gue.Flow, inc *incarnation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.mayRoute(now, service, f) {
		c.reportLocked("wrongRoute", fmt.Sprintf("a SYN of %s reached a target of %s", f, service))
	}
	c.checkEvacuated(now, f.String(), inc)
	if !inc.drainAcknowledgedAt.IsZero() && now.Sub(inc.drainAcknowledgedAt) > drainPropagationLimit {
		c.reportLocked("drained", fmt.Sprintf("a SYN of %s reached %s, which is draining", f, inc.target.ID))
	}
}

// mayRoute reports whether a plan that may still be in force routes the flow to the service. A replaced plan may stay in
// force shortly after a disruption, because an instance may have been unable to receive the newer one. The mutex
// must be held.
func (c *Checker) mayRoute(now time.Time, service string, f gue.Flow) bool {
	for i, accepted := range c.plans {
		replaced := i+1 < len(c.plans) && now.Sub(c.plans[i+1].acceptedAt) > planPropagationLimit && now.Sub(c.lastDisruption) > planPropagationLimit
		if r := accepted.plan.Find(f.Service); !replaced && r != nil && r.HasService(service) {
			return true
		}
	}
	return false
}

// recordOpen records that a target holds an open flow. No other incarnation may hold it.
func (c *Checker) recordOpen(f gue.Flow, inc *incarnation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if holder, found := c.holders[f]; found && holder != inc {
		c.reportLocked("openTwice", fmt.Sprintf("flow %s is open at both %s and %s", f, holder.target.ID, inc.target.ID))
	}
	c.holders[f] = inc
}

// recordClose records that either end closed a flow.
func (c *Checker) recordClose(f gue.Flow) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.holders, f)
}

// recordEnd records the end of an incarnation, whose flows are lost.
func (c *Checker) recordEnd(inc *incarnation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for f, holder := range c.holders {
		if holder == inc {
			delete(c.holders, f)
		}
	}
}

// checkReset checks a reset that a caller received on an open flow. It is a violation if the incarnation that holds the
// flow was not disrupted recently.
func (c *Checker) checkReset(f gue.Flow) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	holder, found := c.holders[f]
	if !found {
		// The target never recorded the flow as open, or the flow has since been closed or lost.
		return
	}
	delete(c.holders, f)
	if at := c.disruptedAt[holder.agentIndex]; time.Since(at) > resetGracePeriod {
		c.reportLocked("liveFlowReset", fmt.Sprintf("flow %s was reset while %s held it", f, holder.target.ID))
	}
}

// recordSent records that a caller sends a new request.
func (c *Checker) recordSent(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runCounts[id] = 0
}

// recordRun records that a target started a request, which may happen only once.
func (c *Checker) recordRun(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runCounts[id]++
	if c.runCounts[id] > 1 {
		c.reportLocked("ranTwice", "request "+id+" ran twice")
	}
}
