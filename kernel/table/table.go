// Package table implements consistent hashing: tables map the hash of a flow to the member that owns the flow.
package table

import (
	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel"
)

// Table maps hashes to their owners. Implementations are immutable and safe for concurrent use.
type Table interface {
	// Lookup returns the index of the hash's owner in the members passed to the Builder, or -1 if there are no members.
	Lookup(hash uint64) int
	// SizeBytes returns the memory size of the table's array, in bytes.
	SizeBytes() int
}

// Builder builds a table from distinct member names. Ownership depends on the set of names, not on their order.
type Builder func(members []string) Table

// Builders holds the registered table builders.
var Builders = kernel.Registry[Builder]{Kind: "table"}

// Default is the name of the table that entries and agents use if none is configured.
const Default = "anchor"

// indexBytes is the memory size of the index of a member in a table's array, in bytes.
const indexBytes = 4

// hashName hashes the name of a member.
func hashName(member string) uint64 {
	return xxhash.Sum64String(member)
}

// splitMix64 returns the output of the SplitMix64 generator for the state x. Every bit of x affects all bits of the
// result.
func splitMix64(x uint64) uint64 {
	x += 0x9E3779B97F4A7C15
	x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9
	x = (x ^ (x >> 27)) * 0x94D049BB133111EB
	return x ^ (x >> 31)
}
