// Package table maps the hash of a flow to the target instance that owns it.
package table

import (
	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel"
)

// Table finds the owner of a hash. Implementations are immutable and safe for concurrent use.
type Table interface {
	// Lookup returns the index of the owner in the members given to the builder, or -1 when there are none.
	Lookup(hash uint64) int
	// Bytes is the memory held, in octets.
	Bytes() int
}

// Builder makes a table; members are distinct names, and the result depends on their set only.
type Builder func(members []string) Table

// Builders holds the registered kinds of table.
var Builders = kernel.Registry[Builder]{Kind: "table"}

// Default is the name of the table that entries and agents use.
const Default = "anchor"

func seed(member string) uint64 {
	return xxhash.Sum64String(member)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9E3779B97F4A7C15
	x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9
	x = (x ^ (x >> 27)) * 0x94D049BB133111EB
	return x ^ (x >> 31)
}
