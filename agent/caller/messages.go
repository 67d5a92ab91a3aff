package caller

import (
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Methods that agents of one service call on each other.
const (
	MethodLocate   = "flow.locate"
	MethodAnnounce = "flow.announce"
	MethodOffer    = "flow.offer"
	MethodGrant    = "flow.grant"
	MethodQuery    = "flow.query"
)

// FlowEpoch identifies a flow at an epoch, which counts how often the flow changed holder or an offer of it was aborted.
type FlowEpoch struct {
	Flow  gue.Flow `json:"flow"`
	Epoch uint64   `json:"epoch"`
}

// LocateRequest asks for the holders of flows, as far as the receiver knows them.
type LocateRequest struct {
	From  netip.AddrPort `json:"from"`
	Flows []gue.Flow     `json:"flows"`
}

// LocateReply has one Location per flow, in the order of the request.
type LocateReply struct {
	Locations []Location `json:"locations"`
}

// Location is the packet address of a flow's holder. An invalid address means that the responder doesn't know it.
type Location struct {
	Holder netip.AddrPort `json:"at"`
	Epoch  uint64         `json:"epoch"`
}

// AnnounceRequest tells an owner which of its flows the agent at From holds.
type AnnounceRequest struct {
	From  netip.AddrPort `json:"from"`
	Flows []FlowEpoch    `json:"flows"`
}

// AnnounceReply acknowledges an AnnounceRequest.
type AnnounceReply struct{}

// FlowRecord is the state that another agent needs to take over a flow. Sequence numbers and timestamps are those that
// the caller sees.
type FlowRecord struct {
	Flow             gue.Flow `json:"flow"`
	Epoch            uint64   `json:"epoch"`
	SynOptions       []byte   `json:"synOptions"`
	CallerISN        uint32   `json:"callerInitial"`
	CallerNext       uint32   `json:"callerNext"`
	CallerWindow     uint16   `json:"callerWindow"`
	CallerTimestamp  uint32   `json:"callerStamp"`
	LocalNext        uint32   `json:"localNext"`
	LocalTimestamp   uint32   `json:"localStamp"`
	LocalWindowScale int      `json:"localScale"`
	Unread           []byte   `json:"unread,omitempty"`
}

// OfferRequest asks the receiver to prepare to take over flows that are frozen at the agent at From.
type OfferRequest struct {
	From       netip.AddrPort `json:"from"`
	Control    netip.AddrPort `json:"control"`
	Service    uint32         `json:"service"`
	Generation uint32         `json:"generation"`
	Records    []FlowRecord   `json:"records"`
}

// OfferReply tells for each record, in the order of the request, whether the receiver is prepared.
type OfferReply struct {
	Prepared []bool `json:"prepared"`
}

// GrantRequest makes the receiver the holder of prepared flows. It is idempotent.
type GrantRequest struct {
	From  netip.AddrPort `json:"from"`
	Flows []FlowEpoch    `json:"flows"`
}

// GrantReply acknowledges a GrantRequest.
type GrantReply struct{}

// QueryRequest asks the agent that made offers for their outcomes.
type QueryRequest struct {
	Flows []FlowEpoch `json:"flows"`
}

// OfferOutcome is the outcome of an offer.
type OfferOutcome string

// Outcomes of an offer. An undecided offer is still waiting for the reply of its receiver.
const (
	OfferGranted   OfferOutcome = "granted"
	OfferAborted   OfferOutcome = "aborted"
	OfferUndecided OfferOutcome = "undecided"
)

// QueryReply has one outcome per flow, in the order of the request.
type QueryReply struct {
	Outcomes []OfferOutcome `json:"verdicts"`
}

// ReplyLengthError reports a reply whose number of elements differs from that of its request.
type ReplyLengthError struct {
	Method string
}

// Error implements error.
func (e *ReplyLengthError) Error() string {
	return e.Method + ": number of elements in reply does not match request"
}
