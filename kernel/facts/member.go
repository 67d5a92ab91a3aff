package facts

import (
	"encoding/json"
	"net/netip"
)

// Role says which program an instance runs.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State is where a member stands in its life.
type State string

// The states of a member.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
	StateDown     State = "down"
	StateLeft     State = "left"
)

// Member is the body of a member fact: one instance of the system.
type Member struct {
	Instance   string         `json:"instance"`
	Role       Role           `json:"role"`
	DataCentre string         `json:"dataCentre"`
	Service    string         `json:"service,omitempty"`
	Packets    netip.AddrPort `json:"packets"`
	Control    netip.AddrPort `json:"control"`
	// Requests is where an agent takes requests that others hand over.
	Requests netip.AddrPort `json:"requests"`
	State    State          `json:"state"`
	// Target is known where the agent carries flows for a target that ends them itself.
	Target *Target `json:"target,omitempty"`
}

// Fact wraps the member with its versions.
func (m Member) Fact(incarnation, version uint64) (Fact, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return Fact{}, &BodyError{Name: m.Instance, Cause: err}
	}
	return Fact{Key: Key{Kind: KindMember, Name: m.Instance}, Incarnation: incarnation, Version: version, Body: string(body)}, nil
}

// BodyError reports a body that can't be written or read.
type BodyError struct {
	Name  string
	Cause error
}

// Error names the fact.
func (e *BodyError) Error() string {
	return "fact " + e.Name + ": body: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error {
	return e.Cause
}

// MemberOf reads the body of a member fact.
func MemberOf(f Fact) (Member, error) {
	var m Member
	if err := json.Unmarshal([]byte(f.Body), &m); err != nil {
		return Member{}, &BodyError{Name: f.Name, Cause: err}
	}
	return m, nil
}
