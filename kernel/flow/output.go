package flow

import (
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// OutgoingPacket is a packet to send. Packet aliases the input of the step or internal buffers, and is valid until the next
// step.
type OutgoingPacket struct {
	To     netip.AddrPort
	Packet []byte
}

// Action is the kind of a decision.
type Action uint8

// The kinds of decisions.
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

// Decision records a decision about a flow and what it was based on.
type Decision struct {
	Action Action
	Flow   gue.Flow
	// Instance is the name of the host concerned.
	Instance string
	// Reason is a camel-case word.
	Reason string
	// Request is the id of the request, if known.
	Request string
	// PlanVersion is the version of the plan that the decision used.
	PlanVersion uint64
	// Count depends on the action: the number of hosts asked, hosts tried, or requests in flight.
	Count int
	// AgeMs depends on the action: the age of the flow, of the search, or of the target's last packet, in
	// milliseconds.
	AgeMs int64
}

// Output collects the packets and decisions of one step. Call Clear before each step.
type Output struct {
	Packets    []OutgoingPacket
	Decisions  []Decision
	DropReason gue.Reason
}

// Clear empties the output and keeps its memory for reuse.
func (o *Output) Clear() {
	o.Packets = o.Packets[:0]
	o.Decisions = o.Decisions[:0]
	o.DropReason = gue.ReasonNone
}

func (o *Output) send(to netip.AddrPort, packet []byte) {
	o.Packets = append(o.Packets, OutgoingPacket{To: to, Packet: packet})
}

func (o *Output) record(d Decision) {
	o.Decisions = append(o.Decisions, d)
}

// reset adds a reset to a flow's caller. acknowledged is the number that the caller last acknowledged, which makes
// the reset acceptable to it.
func (o *Output) reset(c Codec, self netip.AddrPort, f gue.Flow, acknowledged uint32) {
	o.send(callerAddress(f, self), c.EncodeReset(make([]byte, c.HeaderLength()), f, acknowledged))
}
