package caller

import (
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// The methods that agents of one service call at each other.
const (
	MethodLocate   = "flow.locate"
	MethodAnnounce = "flow.announce"
	MethodOffer    = "flow.offer"
	MethodGrant    = "flow.grant"
	MethodQuery    = "flow.query"
)

// FlowEpoch names a flow and how often it changed host or kept its host against an offer.
type FlowEpoch struct {
	Flow  gue.Flow `json:"flow"`
	Epoch uint64   `json:"epoch"`
}

// LocateRequest asks which of the flows the receiver holds or knows the holder of.
type LocateRequest struct {
	From  netip.AddrPort `json:"from"`
	Flows []gue.Flow     `json:"flows"`
}

// LocateReply has one Location a flow, in order.
type LocateReply struct {
	Locations []Location `json:"locations"`
}

// Location says which packet address holds a flow; an invalid address means that the responder doesn't know.
type Location struct {
	At    netip.AddrPort `json:"at"`
	Epoch uint64         `json:"epoch"`
}

// AnnounceRequest tells a new owner which flows of its part the agent at From holds.
type AnnounceRequest struct {
	From  netip.AddrPort `json:"from"`
	Flows []FlowEpoch    `json:"flows"`
}

// AnnounceReply acknowledges an AnnounceRequest.
type AnnounceReply struct{}

// Record is all that another agent needs to hold a flow. Sequence numbers and timestamps are those the caller sees.
type Record struct {
	Flow          gue.Flow `json:"flow"`
	Epoch         uint64   `json:"epoch"`
	SynOptions    []byte   `json:"synOptions"`
	CallerInitial uint32   `json:"callerInitial"`
	CallerNext    uint32   `json:"callerNext"`
	CallerWindow  uint16   `json:"callerWindow"`
	CallerStamp   uint32   `json:"callerStamp"`
	LocalNext     uint32   `json:"localNext"`
	LocalStamp    uint32   `json:"localStamp"`
	LocalScale    int      `json:"localScale"`
	Unread        []byte   `json:"unread,omitempty"`
}

// OfferRequest asks the receiver to prepare to hold flows that are frozen at From.
type OfferRequest struct {
	From       netip.AddrPort `json:"from"`
	Control    netip.AddrPort `json:"control"`
	Service    uint32         `json:"service"`
	Generation uint32         `json:"generation"`
	Records    []Record       `json:"records"`
}

// OfferReply says of each record, in order, whether it is prepared.
type OfferReply struct {
	Prepared []bool `json:"prepared"`
}

// GrantRequest hands prepared flows over; it may be repeated.
type GrantRequest struct {
	From  netip.AddrPort `json:"from"`
	Flows []FlowEpoch    `json:"flows"`
}

// GrantReply acknowledges a GrantRequest.
type GrantReply struct{}

// QueryRequest asks what became of offers.
type QueryRequest struct {
	Flows []FlowEpoch `json:"flows"`
}

// Verdict is what became of an offer.
type Verdict string

// The verdicts.
const (
	VerdictGranted   Verdict = "granted"
	VerdictAborted   Verdict = "aborted"
	VerdictUndecided Verdict = "undecided"
)

// QueryReply has one verdict a flow, in order.
type QueryReply struct {
	Verdicts []Verdict `json:"verdicts"`
}

// LengthError reports a reply with another number of elements than its request.
type LengthError struct {
	Method string
}

// Error names the method.
func (e *LengthError) Error() string {
	return e.Method + ": reply has another length than its request"
}
