package flow

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// Where explains what an entry would do now with the first copy of the SYN of a flow.
type Where struct {
	// Instance and Policy are the entry's name and the name of its placement policy. Entry.Where leaves them empty.
	Instance   string   `json:"instance"`
	Policy     string   `json:"policy"`
	DataCentre string   `json:"dataCentre"`
	Flow       gue.Flow `json:"flow"`
	// PlanVersion is 0 if the entry has no plan. NewestPlan is the highest version that any instance has reported.
	PlanVersion uint64 `json:"planVersion"`
	NewestPlan  uint64 `json:"newestPlan"`
	// Route is nil if the plan has none at the address.
	Route *WhereRoute `json:"route,omitempty"`
	// Service is the service chosen among the route's shares.
	Service string `json:"service,omitempty"`
	// Known is what the entry remembers of the flow. It is nil if the entry does not know the flow.
	Known *Info `json:"known,omitempty"`
	// Candidates are the hosts that the policy chooses from, in the order in which they are considered.
	Candidates []WhereHost `json:"candidates"`
	// PassedOver are the first hosts that may not take the flow now, in the same order.
	PassedOver []WhereHost `json:"passedOver"`
	// PassedOverCounts holds the number of all hosts that are not candidates, by reason.
	PassedOverCounts map[string]int `json:"passedOverCounts"`
	// Steps holds what the entry does now, and what it would do after each host that it sent the SYN to returned it as busy.
	Steps []WhereStep `json:"steps"`
}

// WhereRoute is the route of the flow.
type WhereRoute struct {
	Name        string       `json:"name"`
	Shares      []plan.Share `json:"shares"`
	Priority    int          `json:"priority"`
	ObjectiveMs float64      `json:"objectiveMs"`
	DeadlineMs  float64      `json:"deadlineMs"`
}

// WhereHost is a host with what the entry knows of it. Times are in milliseconds, and 0 if they are unknown or over.
type WhereHost struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	Slots      int    `json:"slots"`
	// Outstanding and Flows count this entry's flows at the host: those that wait for an answer, and all that are not
	// closed.
	Outstanding   int     `json:"outstanding"`
	Flows         int     `json:"flows"`
	ServiceTimeMs float64 `json:"serviceTimeMs"`
	// Room is nil if the host has reported none.
	Room *WhereRoom `json:"room,omitempty"`
	// ExpectedWaitMs is the time that the flow is expected to wait for a slot.
	ExpectedWaitMs float64 `json:"expectedWaitMs"`
	// RefusedForMs is for how much longer the host is not chosen, and ColdForMs for how much longer it counts as cold and
	// full.
	RefusedForMs float64 `json:"refusedForMs"`
	ColdForMs    float64 `json:"coldForMs"`
	Evacuated    bool    `json:"evacuated"`
	Down         bool    `json:"down"`
	// Reason is why the host is not a candidate.
	Reason string `json:"reason,omitempty"`
}

// WhereRoom is what a host last reported with a returned SYN.
type WhereRoom struct {
	Busy          int     `json:"busy"`
	Slots         int     `json:"slots"`
	ServiceTimeMs float64 `json:"serviceTimeMs"`
	AgeMs         float64 `json:"ageMs"`
}

// The events of steps that are not logged.
const (
	// WhereHeld means that the SYN is held until its service has a host.
	WhereHeld = "held"
	// WhereForwarded means that the SYN is forwarded to the holder that the entry remembers.
	WhereForwarded = "forwarded"
)

// WhereStep is one decision about the SYN.
type WhereStep struct {
	// Event is WhereHeld, WhereForwarded, or the name of the event with which the decision is logged.
	Event string `json:"event"`
	// Action is the decision's action if Event is empty. Entry.Where leaves it to the caller to set Event then.
	Action Action `json:"-"`
	// Instance and DataCentre are those of the host that the SYN is sent to, if any.
	Instance   string `json:"instance,omitempty"`
	DataCentre string `json:"dataCentre,omitempty"`
	// Force is set if the SYN is sent with CodeForce, so that the flow may wait for a slot.
	Force bool `json:"force,omitempty"`
	// Reason is the reason in the log, and Rule is why the SYN is not sent to a host.
	Reason string `json:"reason,omitempty"`
	Rule   string `json:"rule,omitempty"`
}

// The values of WhereStep.Rule.
const (
	RuleNoPlan             = "noPlan"
	RuleNoMembers          = "noMembers"
	RuleNoRoute            = "noRoute"
	RuleNoHost             = "noHost"
	RuleEvacuationsUnknown = "evacuationsUnknown"
	// RuleHoldEnded means that the SYN can't be held any longer, or that too many are held.
	RuleHoldEnded  = "holdEnded"
	RuleHolderLeft = "holderLeft"
	// RuleNoCandidate means that no host may take the flow now.
	RuleNoCandidate = "noCandidate"
	// RuleNoDeadline means that the route lacks an objective or a deadline, so that its flows are not refused at once.
	RuleNoDeadline = "noDeadline"
	// RuleOtherDeclines means that a host that was tried before has not returned the SYN for its load.
	RuleOtherDeclines = "otherDeclines"
	// RuleObjectiveLeft means that the next copy of the SYN may still be answered within the objective.
	RuleObjectiveLeft = "objectiveLeft"
	// RuleObjectiveMissed means that no host is expected to answer the next copy within the objective.
	RuleObjectiveMissed = "objectiveMissed"
	// RuleMostTurnedAway is RuleObjectiveMissed while most new flows of the route are turned away.
	RuleMostTurnedAway = "mostTurnedAway"
	RuleEvacuated      = "evacuated"
	RuleCold           = "cold"
)

// The values of WhereHost.Reason.
const (
	PassedEvacuated          = "evacuated"
	PassedDown               = "down"
	PassedEvacuationsUnknown = "evacuationsUnknown"
	PassedNotReady           = "notReady"
	PassedTried              = "tried"
	PassedCold               = "cold"
	PassedRefused            = "refused"
	// PassedLater means that enough other hosts come first in the flow's order.
	PassedLater = "later"
)

// maxPassedOver bounds Where.PassedOver, so that the reply for a large service stays small.
const maxPassedOver = 16

// Where explains where a new flow would go now and what would happen if hosts returned its SYN. It does not change the
// entry: a copy of the state that the decision reads makes the decision.
func (e *Entry) Where(now time.Time, f gue.Flow) Where {
	d := newDryRun(e, now, f)
	w := Where{
		DataCentre: e.DataCentre, Flow: f, NewestPlan: e.NewestPlan,
		Candidates: []WhereHost{}, PassedOver: []WhereHost{}, PassedOverCounts: map[string]int{},
	}
	if e.flows != nil {
		if ef, known := e.flows.Peek(f); known {
			info := ef.info(now, f)
			w.Known = &info
		}
	}
	if e.plan != nil {
		w.PlanVersion = e.plan.Version
		if r := e.plan.Find(f.Service); r != nil {
			w.Service = r.SelectService(f)
			w.Route = &WhereRoute{
				Name: r.Name, Shares: r.Shares, Priority: r.Priority, ObjectiveMs: milliseconds(r.Objective), DeadlineMs: milliseconds(r.Deadline),
			}
		}
	}
	d.listHosts(&w)
	w.Steps = d.steps()
	if w.Steps[0].Event == WhereForwarded || w.Steps[0].Rule == RuleHolderLeft {
		w.Candidates, w.PassedOver, w.PassedOverCounts = []WhereHost{}, []WhereHost{}, map[string]int{}
	}
	return w
}

// listHosts lists the candidates and the other hosts of the service.
func (d *dryRun) listHosts(w *Where) {
	e := d.entry
	g := e.groupFor(d.flow)
	if g == nil {
		return
	}
	ef := d.flowState()
	if ef == nil || ef.stage != stageOpening {
		ef = &entryFlow{}
	}
	ranked := e.firstCandidates(d.now, d.flow, g, ef, false)
	if len(ranked) == 0 {
		ranked = e.firstCandidates(d.now, d.flow, g, ef, true)
	}
	candidates := map[*Host]bool{}
	for _, r := range ranked {
		candidates[r.host] = true
		w.Candidates = append(w.Candidates, d.describe(r.host))
	}
	var passedOver []rankedHost
	reasons := map[*Host]string{}
	key := d.flow.Hash(gue.Key{})
	for _, h := range g.Hosts {
		if candidates[h] {
			continue
		}
		reason := d.passedOverReason(g, h, ef)
		w.PassedOverCounts[reason]++
		if reason != PassedLater {
			reasons[h] = reason
			passedOver = append(passedOver, rankedHost{host: h, score: fmix64(key ^ h.nameHash)})
		}
	}
	slices.SortFunc(passedOver, rankedHost.compare)
	for _, r := range passedOver[:min(len(passedOver), maxPassedOver)] {
		host := d.describe(r.host)
		host.Reason = reasons[r.host]
		w.PassedOver = append(w.PassedOver, host)
	}
}

// passedOverReason returns why a host is not a candidate.
func (d *dryRun) passedOverReason(g *Group, h *Host, ef *entryFlow) string {
	hl := d.entry.hostLoadOf(h.Instance)
	switch {
	case h.Evacuated:
		return PassedEvacuated
	case h.Down:
		return PassedDown
	case !h.Placeable && g.evacuationsUnknown():
		return PassedEvacuationsUnknown
	case !h.Placeable:
		return PassedNotReady
	case ef.hasTried(hl):
		return PassedTried
	case d.now.Before(hl.refusedUntil) && d.now.Before(hl.coldUntil):
		return PassedCold
	case !d.entry.mayTake(d.now, h, ef, false):
		return PassedRefused
	}
	return PassedLater
}

// evacuationsUnknown reports whether the hosts take no new flows because the evacuations are unknown.
func (g *Group) evacuationsUnknown() bool {
	return g.evacuated+g.available == 0 && slices.ContainsFunc(g.Hosts, func(h *Host) bool { return !h.Down })
}

// describe returns what the entry knows of a host.
func (d *dryRun) describe(h *Host) WhereHost {
	hl := d.entry.hostLoadOf(h.Instance)
	typical := d.entry.rooms.typical(d.now)
	host := WhereHost{
		Instance: h.Instance, DataCentre: h.DataCentre, Slots: h.Target.Slots, Outstanding: hl.outstanding, Flows: hl.flows,
		ServiceTimeMs:  milliseconds(hl.serviceTime),
		ExpectedWaitMs: milliseconds(hl.expectedWait(d.now, typical.of(h.DataCentre == d.entry.DataCentre))),
		RefusedForMs:   milliseconds(max(hl.refusedUntil.Sub(d.now), 0)),
		ColdForMs:      milliseconds(max(hl.coldUntil.Sub(d.now), 0)),
		Evacuated:      h.Evacuated, Down: h.Down,
	}
	if !hl.room.reported.IsZero() {
		host.Room = &WhereRoom{
			Busy: hl.room.busy, Slots: hl.room.slots, ServiceTimeMs: milliseconds(hl.room.serviceTime),
			AgeMs: milliseconds(d.now.Sub(hl.room.reported)),
		}
	}
	return host
}

// steps returns what the entry does with the SYN now, and then each time that a host returns it.
func (d *dryRun) steps() []WhereStep {
	out := d.receiveSYN()
	steps := []WhereStep{d.describeStep(&out)}
	for range maxPlacements + 1 {
		hl := d.entry.hostLoads[steps[len(steps)-1].Instance]
		if len(out.Decisions) == 0 || hl == nil {
			break
		}
		out = d.returnSYN(hl)
		steps = append(steps, d.describeStep(&out))
	}
	return steps
}

// describeStep returns the decision that a step made.
func (d *dryRun) describeStep(out *Output) WhereStep {
	ef := d.flowState()
	switch {
	case len(out.Decisions) > 0:
		decision := out.Decisions[len(out.Decisions)-1]
		s := WhereStep{Action: decision.Action, Instance: decision.Instance, Reason: decision.Reason}
		if hl := d.entry.hostLoads[decision.Instance]; hl != nil {
			s.DataCentre, s.Force, s.Reason = hl.host.DataCentre, d.codec.mark.Code == CodeForce, ""
			return s
		}
		s.Rule = d.rule(decision, ef)
		return s
	case len(out.Packets) > 0:
		return WhereStep{Event: WhereForwarded, Instance: ef.holder.instance(), DataCentre: ef.holder.host.DataCentre}
	case out.DropReason == gue.ReasonNone:
		return WhereStep{Event: WhereHeld, Rule: d.holdRule()}
	case ef != nil:
		return WhereStep{Action: ActionDropped, Reason: out.DropReason.String(), Rule: RuleHolderLeft}
	}
	return WhereStep{Action: ActionDropped, Reason: out.DropReason.String(), Rule: RuleHoldEnded}
}

// holdRule returns why the SYN is held.
func (d *dryRun) holdRule() string {
	g := d.entry.groupFor(d.flow)
	switch {
	case d.entry.plan == nil:
		return RuleNoPlan
	case d.entry.directory == nil:
		return RuleNoMembers
	case g != nil && g.evacuationsUnknown():
		return RuleEvacuationsUnknown
	}
	return RuleNoHost
}

// rule returns why a SYN was not sent to a host. ef is nil if the flow was reset.
func (d *dryRun) rule(decision Decision, ef *entryFlow) string {
	route := d.entry.plan.Find(d.flow.Service)
	switch {
	case decision.Action == ActionDropped:
		return RuleNoRoute
	case decision.Action == ActionRefusedAtOnce:
		return RuleObjectiveMissed
	case ef == nil:
		return decision.Reason
	case ef.triedCount == 0:
		return RuleNoCandidate
	case !d.entry.Contention || !refusesAtOnce(route):
		return RuleNoDeadline
	case ef.loadDeclines != ef.triedCount:
		return RuleOtherDeclines
	case ef.isHopeless(route):
		return RuleMostTurnedAway
	}
	return RuleObjectiveLeft
}

// milliseconds returns a duration in milliseconds, rounded to tenths.
func milliseconds(d time.Duration) float64 {
	return math.Round(float64(d)/float64(time.Millisecond/10)) / 10
}
