package flow

import (
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Send is a packet to send. Packet aliases the step's input or the core's buffers until the next step.
type Send struct {
	To     netip.AddrPort
	Packet []byte
}

// Action is the outcome of a decision.
type Action uint8

// The actions.
const (
	ActionDropped Action = iota
	ActionPlaced
	ActionPlacedAgain
	ActionUnplaced
	ActionSearch
	ActionFound
	ActionReset
	ActionUncertain
	ActionRefused
	ActionBounced
	ActionProbed
	ActionRequest
	ActionLate
)

// Decision says what was decided about a flow and from what.
type Decision struct {
	Action Action
	Flow   gue.Flow
	// Instance is the host concerned.
	Instance string
	// Reason is a camel-case word.
	Reason string
	// Request is the request's id, where it was seen.
	Request string
	// PlanVersion is the plan that the decision used.
	PlanVersion uint64
	// Count depends on the action: hosts asked, hosts tried, or requests in flight.
	Count int
	// AgeMs depends on the action: how old the flow, the search or the target's last word is.
	AgeMs int64
}

// Output collects what a step decided. Reset it before each step.
type Output struct {
	Sends     []Send
	Decisions []Decision
	Dropped   gue.Reason
}

// Clear empties the output and keeps its memory.
func (o *Output) Clear() {
	o.Sends = o.Sends[:0]
	o.Decisions = o.Decisions[:0]
	o.Dropped = gue.ReasonNone
}

func (o *Output) send(to netip.AddrPort, packet []byte) {
	o.Sends = append(o.Sends, Send{To: to, Packet: packet})
}

func (o *Output) decide(d Decision) {
	o.Decisions = append(o.Decisions, d)
}

// reset sends a reset to a flow's caller, acceptable to one that last acknowledged the given number.
func (o *Output) reset(c Codec, self netip.AddrPort, f gue.Flow, acknowledged uint32) {
	o.send(callerAddress(f, self), c.PutReset(make([]byte, c.HeaderLength()), f, acknowledged))
}
