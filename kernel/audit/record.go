// Package audit describes changes of the plan and of the membership, and the bounded trail of them that the store keeps.
package audit

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// maxNames bounds the routes that a record names; the counts are exact.
const maxNames = 8

// Record is one change. Either Plan or Member is set.
type Record struct {
	// AtMs is when the instance By saw the change, in Unix milliseconds.
	AtMs   int64         `json:"atMs"`
	By     string        `json:"by"`
	Plan   *PlanChange   `json:"plan,omitempty"`
	Member *MemberChange `json:"member,omitempty"`
}

// PlanChange is a plan that took another's place.
type PlanChange struct {
	From    uint64 `json:"from"`
	To      uint64 `json:"to"`
	Added   int    `json:"added"`
	Removed int    `json:"removed"`
	Changed int    `json:"changed"`
	// Routes names some of those that differ, with +, - or ~ before each.
	Routes []string `json:"routes,omitempty"`
}

// MemberChange is a new state of an instance or of its target.
type MemberChange struct {
	Instance    string            `json:"instance"`
	Role        facts.Role        `json:"role"`
	State       facts.State       `json:"state"`
	Target      string            `json:"target,omitempty"`
	TargetState facts.TargetState `json:"targetState,omitempty"`
	BornMs      int64             `json:"bornMs,omitempty"`
}

// OfPlan describes a plan that takes the place of another, which may be nil.
func OfPlan(now time.Time, by string, before, after *plan.Plan) Record {
	d := plan.Compare(before, after)
	c := &PlanChange{From: d.From, To: d.To, Added: len(d.Added), Removed: len(d.Removed), Changed: len(d.Changed)}
	name := func(sign string, r plan.Route) {
		if len(c.Routes) < maxNames {
			c.Routes = append(c.Routes, sign+r.Name)
		}
	}
	for _, r := range d.Removed {
		name("-", r)
	}
	for _, r := range d.Changed {
		name("~", r.After)
	}
	for _, r := range d.Added {
		name("+", r)
	}
	return Record{AtMs: now.UnixMilli(), By: by, Plan: c}
}

// OfMember describes the state of a member.
func OfMember(now time.Time, by string, m facts.Member) Record {
	c := &MemberChange{Instance: m.Instance, Role: m.Role, State: m.State}
	if m.Target != nil {
		c.Target, c.TargetState, c.BornMs = m.Target.ID, m.Target.State, m.Target.StartedMs
	}
	return Record{AtMs: now.UnixMilli(), By: by, Member: c}
}

// key is alike in records of one change that several instances saw.
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

// String is the record on one line, without its time.
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
