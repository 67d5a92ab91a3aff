package flow

import (
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// OutgoingPacket is a packet to send. Packet may alias the input of the step or an internal buffer, and is valid until
// the next step.
type OutgoingPacket struct {
	To     netip.AddrPort
	Packet []byte
}

// Action is the kind of a decision.
type Action uint8

// The kinds of decisions.
const (
	// ActionDropped drops a packet.
	ActionDropped Action = iota
	// ActionPlaced sends the SYN of a new flow to a host.
	ActionPlaced
	// ActionPlacedAgain sends the SYN of a flow to another host.
	ActionPlacedAgain
	// ActionUnplaced gives up placing a SYN.
	ActionUnplaced
	// ActionSearched asks hosts whether they hold a flow.
	ActionSearched
	// ActionFound ends a search that found the holder or possible holders.
	ActionFound
	// ActionReset resets a flow that no target holds.
	ActionReset
	// ActionUncertain ends a search that timed out.
	ActionUncertain
	// ActionRefused returns a SYN to the entry without sending it to the target.
	ActionRefused
	// ActionBounced returns a packet that the target bounced to the entry.
	ActionBounced
	// ActionProbed probes the open flows at a restarted target.
	ActionProbed
	// ActionRequestForwarded forwards the first packet of a request to the target.
	ActionRequestForwarded
	// ActionAnswerLate forwards an answer that missed the route's objective.
	ActionAnswerLate
	// ActionRefusedAtOnce resets a flow that all hosts returned and that can't meet its objective any more.
	ActionRefusedAtOnce
	// ActionTargetAbsent ends the flows of a target whose process no longer exists.
	ActionTargetAbsent
	// ActionCold begins to limit the new flows of a host that is cold, and ActionWarm ends it.
	ActionCold
	ActionWarm
	// ActionPaceChanged changes the limit on a target's concurrent requests.
	ActionPaceChanged
	// ActionHostEjected stops placing flows on a host that behaves far worse than the others, and ActionHostReturned ends it.
	ActionHostEjected
	ActionHostReturned
)

// Decision records a decision about a flow and what it was based on.
type Decision struct {
	Action Action
	Flow   gue.Flow
	// Instance is the instance name of the host that the flow was placed or found on, if any.
	Instance string
	// Reason qualifies the action. It is the service for ActionPlaced and ActionPlacedAgain, and a fixed camel-case word
	// or empty otherwise.
	Reason string
	// Request is the ID of the request, if known.
	Request string
	// Priority is the priority of the flow's route. It is set for placements and refusals.
	Priority int
	// Remote is set if the flow was placed on a host of another data centre.
	Remote bool
	// PlanVersion is the version of the plan that the decision used.
	PlanVersion uint64
	// Count depends on the action: a number of hosts, such as those asked, or of requests in progress or flows probed.
	Count int
	// AgeMs depends on the action: the time since the request, the search or the last placement began, the time since the
	// flow's last packet, or the host's average service time, in milliseconds.
	AgeMs int64
}

// Output collects the packets and decisions of one step. Call Clear before each step.
type Output struct {
	Packets   []OutgoingPacket
	Decisions []Decision
	// DropReason is why the step dropped its packet, or gue.ReasonNone.
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

// sendReset adds a reset to a flow's caller. acknowledged is the caller's latest acknowledgement number, which makes
// the reset acceptable to the caller.
func (o *Output) sendReset(c Codec, self netip.AddrPort, f gue.Flow, acknowledged uint32) {
	o.send(callerAddress(f, self), c.EncodeReset(make([]byte, c.HeaderLength()), f, acknowledged))
}
