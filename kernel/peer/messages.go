package peer

import (
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// ExchangeRequest carries the digest of the sender's fact set and the members from which it has no recent contact.
type ExchangeRequest struct {
	Instance string   `json:"instance"`
	Digest   uint64   `json:"digest"`
	Suspects []string `json:"suspects,omitempty"`
	// PlanVersion is the version of the plan that the sender uses.
	PlanVersion uint64 `json:"planVersion,omitempty"`
	// StoreEra is the latest era of the store that the sender has seen.
	StoreEra uint64 `json:"storeEra,omitempty"`
}

// ExchangeReply carries the digest of the responder's fact set, and the digests of its partitions if the sets differ.
// ContactAgesMs maps each suspect that recently contacted the responder to the time since then in milliseconds.
type ExchangeReply struct {
	Digest           uint64           `json:"digest"`
	PartitionDigests []uint64         `json:"parts,omitempty"`
	ContactAgesMs    map[string]int64 `json:"heardMs,omitempty"`
	PlanVersion      uint64           `json:"planVersion,omitempty"`
	// StoreEra is the latest era of the store that the responder has seen.
	StoreEra uint64 `json:"storeEra,omitempty"`
	// EvacuationsKnown is set if the responder's facts contain the evacuations in the store.
	EvacuationsKnown bool `json:"evacuationsKnown,omitempty"`
}

// ReconcileRequest carries the summaries of the sender's facts in the differing partitions.
type ReconcileRequest struct {
	Partitions []int           `json:"parts"`
	Summaries  []facts.Summary `json:"versions,omitempty"`
}

// ReconcileReply carries the facts that the requester lacks and the keys of those that the responder lacks.
type ReconcileReply struct {
	Facts  []facts.Fact `json:"facts,omitempty"`
	Wanted []facts.Key  `json:"wanted,omitempty"`
}

// SpreadRequest pushes facts that the sender accepted, the version of the plan that it uses and the era of the store.
type SpreadRequest struct {
	Facts       []facts.Fact `json:"facts,omitempty"`
	PlanVersion uint64       `json:"planVersion,omitempty"`
	// StoreEra is the latest era of the store that the sender has seen.
	StoreEra uint64 `json:"storeEra,omitempty"`
	// From is the control address of the sender, from which a newer plan can be fetched.
	From netip.AddrPort `json:"from"`
}

// SpreadReply is the empty reply to a SpreadRequest.
type SpreadReply struct{}
