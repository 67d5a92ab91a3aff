package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// coldValue is the Mark.Value of a CodeBusy that returns a SYN because the host is cold. Unlike a busy host, it does
	// not take the flow with CodeForce either.
	coldValue = ^uint32(0)
	// coldPenalty is how long an entry does not choose a host that returned a SYN as cold. At 25 flows a second, it is the
	// time until the host admits the next one.
	coldPenalty = 40 * time.Millisecond
	// minColdRate is the rate of a bucket for one flow. It is below 1, so that no second has two.
	minColdRate = 0.99
)

// ColdLimits bounds the new flows of a cold host in any second to the rate that it can process times Overshoot, plus
// Slack. There is no limit if Overshoot is 0.
type ColdLimits struct {
	Overshoot float64
	Slack     float64
}

// coldGate admits new flows to a host that may be cold. The zero value takes the host as cold, because nothing is known.
type coldGate struct {
	bucket placement.TokenBucket
	// rate is the number of requests per second that the host can process while it is cold, and warmup how long it is
	// cold after its start, both according to the latest plan that named them.
	rate   float64
	warmup time.Duration
	// since is when the latest event occurred that may have left the host cold.
	since time.Time
	// warm is set if the target announced after that event that it is not cold; uninformed is set if its announcements do
	// not say whether it is.
	warm       bool
	uninformed bool
	// reported is ActionCold or ActionWarm, whichever was recorded last, or 0.
	reported Action
}

// setPlan updates the rate. A plan from an instance of an older build has no list of services and changes nothing.
func (c *coldGate) setPlan(p *plan.Plan, service string) {
	if p.Services == nil {
		return
	}
	c.rate, c.warmup = 0, 0
	if s := p.FindService(service); s != nil {
		c.rate, c.warmup = s.WarmupRate, s.Warmup
	}
}

// restart takes the host as cold from now on, until it announces that it is not.
func (c *coldGate) restart(now time.Time) {
	if c.warm || c.since.IsZero() {
		c.bucket.Empty(now)
	}
	c.warm, c.uninformed, c.since = false, false, now
}

// observe processes what an announcement says about the remaining warm-up.
func (c *coldGate) observe(now time.Time, left time.Duration, known bool) {
	if c.warm && known && left > 0 {
		c.restart(now)
	}
	c.uninformed = !known
	if known {
		c.warm = left <= 0
	}
}

// isCold reports whether the host is taken as cold.
func (c *coldGate) isCold(now time.Time) bool {
	if c.rate <= 0 || c.warm {
		return false
	}
	return !c.uninformed || now.Sub(c.since) < c.warmup
}

// admit reports whether the host may get a new flow now, and counts it if it is cold.
func (c *coldGate) admit(now time.Time, l ColdLimits) bool {
	if l.Overshoot <= 0 || !c.isCold(now) {
		return true
	}
	bound := c.rate*l.Overshoot + l.Slack
	if bound < 1 {
		return false
	}
	c.bucket.Burst = max(bound-c.rate, 1)
	c.bucket.Rate = bound - c.bucket.Burst
	if c.bucket.Burst == 1 {
		c.bucket.Rate = max(c.bucket.Rate, minColdRate)
	}
	return c.bucket.Take(now)
}

// ObserveWarmup processes what an announcement of the target, after UpdateTarget, says about its remaining warm-up. known
// is false if it says nothing.
func (a *Agent) ObserveWarmup(now time.Time, left time.Duration, known bool, out *Output) {
	a.ensureInitialized(now)
	a.cold.observe(now, left, known)
	if a.ColdLimits.Overshoot <= 0 || a.cold.rate <= 0 {
		return
	}
	d := Decision{Action: ActionCold, PlanVersion: a.planVersion(), Count: int(a.cold.rate), AgeMs: left.Milliseconds()}
	if !a.cold.isCold(now) {
		d.Action, d.AgeMs = ActionWarm, now.Sub(a.cold.since).Milliseconds()
	}
	if d.Action != a.cold.reported {
		a.cold.reported = d.Action
		out.record(d)
	}
}

// IsCold reports whether new flows are limited because the host is taken as cold.
func (a *Agent) IsCold(now time.Time) bool {
	return a.ColdLimits.Overshoot > 0 && a.cold.isCold(now)
}

// isCold reports whether a returned SYN says that its host is cold.
func (m Mark) isCold() bool {
	return m.Code == CodeBusy && m.Value == coldValue
}

// allCold reports whether no host of the service takes the SYN that was returned by each host that it was sent to: those
// returned it as cold or refused it, and so did the others with another flow a moment ago. One at least is cold. The flow has not been
// accepted by any target then, and a retransmission would meet the same hosts.
func (e *Entry) allCold(now time.Time, g *Group, ef *entryFlow) bool {
	if ef.placements == maxPlacements {
		return ef.coldDeclines > 0 && ef.coldDeclines+ef.refusals == ef.placements
	}
	if g == nil {
		return false
	}
	cold := false
	for _, h := range g.Hosts {
		if !h.Placeable {
			continue
		}
		hl := e.hostLoadOf(h.Instance)
		if !now.Before(hl.refusedUntil) {
			return false
		}
		cold = cold || now.Before(hl.coldUntil)
	}
	return cold
}

// penalizeCold records that the host returned a SYN as cold.
func (hl *hostLoad) penalizeCold(now time.Time) {
	hl.coldUntil = now.Add(coldPenalty)
	if hl.refusedUntil.Before(hl.coldUntil) {
		hl.refusedUntil = hl.coldUntil
	}
}

// countDecline counts a returned SYN by its reason.
func (ef *entryFlow) countDecline(m Mark, hl *hostLoad) {
	ef.declines++
	switch {
	case m.isCold():
		ef.coldDeclines++
	case m.Code == CodeRefused:
		ef.refusals++
	default:
		ef.loadDeclines++
		if m.Code == CodeBusy && hl.host != nil && hl.room.slots < hl.host.Target.Slots {
			ef.pacedDeclines++
		}
	}
}
