package facts

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxSlots limits the slots of a target. Announcements have the same limit.
const maxSlots = 1 << 20

// Role is the program that an instance runs.
type Role string

// Roles of instances.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State is the lifecycle state of a member.
type State string

// States of a member.
const (
	StateServing State = "serving"
	// StateDraining is the state of a member that takes no new flows because it shuts down.
	StateDraining State = "draining"
	// StateDown is the state of a member that the failure detector of another instance found silent.
	StateDown State = "down"
	// StateLeft is the state of a member that has announced its own shutdown.
	StateLeft State = "left"
)

// Member describes one instance. It is the body of a member fact.
type Member struct {
	Instance   string         `json:"instance"`
	Role       Role           `json:"role"`
	DataCentre string         `json:"dataCentre"`
	Service    string         `json:"service,omitempty"`
	Packets    netip.AddrPort `json:"packets"`
	Control    netip.AddrPort `json:"control"`
	// Requests is the address at which an agent receives requests handed over by other agents.
	Requests netip.AddrPort `json:"requests"`
	State    State          `json:"state"`
	// LinkMbps is the capacity of an entry's network link in Mbit/s. It is 0 if unknown, and for older builds.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// Target is set if the agent forwards flows to a target that terminates them. It is nil for an agent that
	// terminates its flows itself and for an entry.
	Target *Target `json:"target,omitempty"`
	// SynTrailer is set by agents that take a trailer on SYNs, which names the service that a SYN is meant for. Agents of
	// older builds drop packets with a trailer.
	SynTrailer bool `json:"synTrailer,omitempty"`
	// RouteQuestions is set by agents that understand questions about all flows of a route. An agent of an older build
	// would deny them as it denies an unknown flow.
	RouteQuestions bool `json:"routeQuestions,omitempty"`
	// Health is what an agent says of its target's answers. It is nil if the agent says nothing, and for older builds.
	Health *Health `json:"health,omitempty"`
	// Incarnation is that of the fact that the member was decoded from, and 0 for a member that was not decoded.
	Incarnation uint64 `json:"-"`
}

// Fact encodes the member as a fact with the given incarnation and version.
func (m Member) Fact(incarnation, version uint64) (Fact, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return Fact{}, &BodyError{Name: m.Instance, Cause: err}
	}
	return Fact{Key: Key{Kind: KindMember, Name: m.Instance}, Incarnation: incarnation, Version: version, Body: string(body)}, nil
}

// Check returns an InvalidMemberError if the member can't be one that an instance has published, for example because
// another writer has put its object into the store.
func (m Member) Check() error {
	invalid := func(field string) error {
		return errors.WithStack(&InvalidMemberError{Instance: m.Instance, Field: field})
	}
	switch {
	case m.Role != RoleEntry && m.Role != RoleAgent:
		return invalid("role")
	case !slices.Contains([]State{StateServing, StateDraining, StateDown, StateLeft}, m.State):
		return invalid("state")
	case !isUsableAddress(m.Packets):
		return invalid("packets")
	case !isUsableAddress(m.Control):
		return invalid("control")
	case m.Target == nil:
		return nil
	case !slices.Contains([]TargetState{TargetReady, TargetDraining, TargetGone}, m.Target.State):
		return invalid("target.state")
	case m.Target.Slots < 0 || m.Target.Slots > maxSlots:
		return invalid("target.slots")
	}
	return nil
}

func isUsableAddress(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0
}

// InvalidMemberError reports a member with a field that has an invalid value.
type InvalidMemberError struct {
	Instance string
	Field    string
}

// Error returns a message with the instance and the field.
func (e *InvalidMemberError) Error() string {
	return "member " + e.Instance + " has an invalid " + e.Field
}

// BodyError reports a fact body that can't be encoded or decoded.
type BodyError struct {
	Name  string
	Cause error
}

// Error implements the error interface.
func (e *BodyError) Error() string {
	return "fact " + e.Name + ": invalid body: " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *BodyError) Unwrap() error {
	return e.Cause
}

// DecodeMember decodes the body of a member fact.
func DecodeMember(f Fact) (Member, error) {
	var m Member
	if err := json.Unmarshal([]byte(f.Body), &m); err != nil {
		return Member{}, &BodyError{Name: f.Name, Cause: err}
	}
	m.Incarnation = f.Incarnation
	return m, nil
}
