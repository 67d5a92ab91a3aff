package peer

import (
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// ExchangeRequest carries the digest of the sender's fact set and the members that it suspects to be down.
type ExchangeRequest struct {
	Instance string   `json:"instance"`
	Digest   uint64   `json:"digest"`
	Suspects []string `json:"suspects,omitempty"`
	// PlanVersion is the version of the plan that the sender uses.
	PlanVersion uint64 `json:"planVersion,omitempty"`
}

// ExchangeReply carries the time since the responder last heard from each suspect, in milliseconds, and the digests of
// its partitions if the sets differ.
type ExchangeReply struct {
	Digest           uint64           `json:"digest"`
	PartitionDigests []uint64         `json:"parts,omitempty"`
	ContactAgesMs    map[string]int64 `json:"heardMs,omitempty"`
	PlanVersion      uint64           `json:"planVersion,omitempty"`
}

// ReconcileRequest lists the sender's facts in the differing partitions.
type ReconcileRequest struct {
	Partitions []int           `json:"parts"`
	Summaries  []facts.Summary `json:"versions,omitempty"`
}

// ReconcileReply carries the facts that the requester lacks and the keys of those that the responder lacks.
type ReconcileReply struct {
	Facts  []facts.Fact `json:"facts,omitempty"`
	Wanted []facts.Key  `json:"wanted,omitempty"`
}

// SpreadRequest pushes facts that the sender accepted, and the version of the plan that it uses.
type SpreadRequest struct {
	Facts       []facts.Fact   `json:"facts,omitempty"`
	PlanVersion uint64         `json:"planVersion,omitempty"`
	From        netip.AddrPort `json:"from"`
}
