// Package audit implements the audit trail of plan and membership changes. Its size is bounded, so that it fits into
// one store object.
package audit

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// maxRouteNames limits the number of routes that a record lists by name. The counts are always exact.
const maxRouteNames = 8

// Record describes one change. Exactly one of Plan and Member is set.
type Record struct {
	// AtMs is the time at which the change was observed, in Unix milliseconds.
	AtMs int64 `json:"atMs"`
	// By is the instance that observed the change.
	By     string        `json:"by"`
	Plan   *PlanChange   `json:"plan,omitempty"`
	Member *MemberChange `json:"member,omitempty"`
}

// PlanChange describes the replacement of plan version From by version To, with the number of routes that differ.
type PlanChange struct {
	From    uint64 `json:"from"`
	To      uint64 `json:"to"`
	Added   int    `json:"added"`
	Removed int    `json:"removed"`
	Changed int    `json:"changed"`
	// Routes lists up to maxRouteNames names of routes that differ, prefixed with + (added), - (removed) or ~
	// (changed).
	Routes []string `json:"routes,omitempty"`
}

// MemberChange describes the new state of an instance and of its target, if it has one.
type MemberChange struct {
	Instance    string            `json:"instance"`
	Role        facts.Role        `json:"role"`
	State       facts.State       `json:"state"`
	Target      string            `json:"target,omitempty"`
	TargetState facts.TargetState `json:"targetState,omitempty"`
	// TargetStartedMs is the start time of the target's process in Unix milliseconds.
	TargetStartedMs int64 `json:"bornMs,omitempty"`
}

// NewPlanRecord returns a record of the replacement of plan before, which may be nil, by plan after.
func NewPlanRecord(now time.Time, by string, before, after *plan.Plan) Record {
	d := plan.Compare(before, after)
	c := &PlanChange{From: d.From, To: d.To, Added: len(d.Added), Removed: len(d.Removed), Changed: len(d.Changed)}
	addName := func(prefix string, r plan.Route) {
		if len(c.Routes) < maxRouteNames {
			c.Routes = append(c.Routes, prefix+r.Name)
		}
	}
	for _, r := range d.Removed {
		addName("-", r)
	}
	for _, r := range d.Changed {
		addName("~", r.After)
	}
	for _, r := range d.Added {
		addName("+", r)
	}
	return Record{AtMs: now.UnixMilli(), By: by, Plan: c}
}

// NewMemberRecord returns a record of the current state of a member.
func NewMemberRecord(now time.Time, by string, m facts.Member) Record {
	c := &MemberChange{Instance: m.Instance, Role: m.Role, State: m.State}
	if m.Target != nil {
		c.Target, c.TargetState, c.TargetStartedMs = m.Target.ID, m.Target.State, m.Target.StartedMs
	}
	return Record{AtMs: now.UnixMilli(), By: by, Member: c}
}

// key returns a string that identifies the change. Records of the same change by different instances have equal keys.
func (r *Record) key() string {
	if r.Plan != nil {
		return fmt.Sprintf("plan %d", r.Plan.To)
	}
	if r.Member == nil {
		return ""
	}
	text, err := json.Marshal(r.Member)
	if err != nil {
		return r.Member.Instance
	}
	return string(text)
}

// String formats the record on one line, without its time.
func (r *Record) String() string {
	switch {
	case r.Plan != nil:
		text := fmt.Sprintf("plan %d -> %d: %d added, %d removed, %d changed", r.Plan.From, r.Plan.To, r.Plan.Added, r.Plan.Removed, r.Plan.Changed)
		for _, n := range r.Plan.Routes {
			text += " " + n
		}
		return text
	case r.Member != nil:
		text := fmt.Sprintf("%s %s is %s", r.Member.Role, r.Member.Instance, r.Member.State)
		if r.Member.Target != "" {
			text += fmt.Sprintf(", its target %s is %s", r.Member.Target, r.Member.TargetState)
		}
		return text
	}
	return "unknown change"
}
