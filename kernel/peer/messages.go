package peer

import (
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// ExchangeRequest compares sets: the digest of the sender's set, and the members it has not heard lately.
type ExchangeRequest struct {
	Instance string   `json:"instance"`
	Digest   uint64   `json:"digest"`
	Suspects []string `json:"suspects,omitempty"`
	// PlanVersion is the plan that the sender uses.
	PlanVersion uint64 `json:"planVersion,omitempty"`
}

// ExchangeReply tells how long ago the responder heard the suspects, and its parts' digests when the sets differ.
type ExchangeReply struct {
	Digest      uint64           `json:"digest"`
	Parts       []uint64         `json:"parts,omitempty"`
	HeardMs     map[string]int64 `json:"heardMs,omitempty"`
	PlanVersion uint64           `json:"planVersion,omitempty"`
}

// ReconcileRequest names the sender's facts in the parts that differ.
type ReconcileRequest struct {
	Parts    []int            `json:"parts"`
	Versions []facts.Versions `json:"versions,omitempty"`
}

// ReconcileReply carries the facts that the sender lacks and names those that the responder lacks.
type ReconcileReply struct {
	Facts  []facts.Fact `json:"facts,omitempty"`
	Wanted []facts.Key  `json:"wanted,omitempty"`
}

// SpreadRequest carries facts that the sender accepted, and the plan that it uses.
type SpreadRequest struct {
	Facts       []facts.Fact   `json:"facts,omitempty"`
	PlanVersion uint64         `json:"planVersion,omitempty"`
	From        netip.AddrPort `json:"from"`
}
