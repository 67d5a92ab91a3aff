package table

import "slices"

// maglevSlotsPerMember is the minimum ratio of slots to members, as long as the table has not reached its largest size.
const maglevSlotsPerMember = 100

// maglevSizes holds the table sizes, most of them close to a power of two. They are primes, so that every skip value visits
// all slots.
var maglevSizes = []int{1021, 4093, 16381, 65537, 262139, 655373, 1048573}

func init() {
	Builders.Register("maglev", NewMaglev)
}

// Maglev is the lookup table of the Maglev load balancer (Eisenbud et al., NSDI 2016): members take turns claiming free
// slots of a table of prime size, each in the order of its own permutation of the slots.
type Maglev struct {
	// owners holds the index of the member that owns each slot, or -1 if there are no members.
	owners []int32
}

// permutation generates the order in which a member prefers slots: offset + n*skip modulo the table size, for n = 0,
// 1, 2, and so on. next is the next n.
type permutation struct {
	offset, skip, next uint64
}

// NewMaglev builds the table in expected O(n log n) time for n slots.
func NewMaglev(members []string) Table {
	order := sortedIndexes(members)
	size := maglevSize(len(members))
	m := &Maglev{owners: make([]int32, size)}
	for i := range m.owners {
		m.owners[i] = -1
	}
	if len(members) > 0 {
		m.fill(members, order)
	}
	return m
}

// sortedIndexes returns the indexes of the members in the order of their names. Building a table in this order makes
// the owners independent of the order of the members.
func sortedIndexes(members []string) []int {
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if members[a] < members[b] {
			return -1
		}
		return 1
	})
	return order
}

// maglevSize returns the smallest sufficient table size, or the largest size if none is sufficient.
func maglevSize(members int) int {
	for _, size := range maglevSizes {
		if size >= members*maglevSlotsPerMember {
			return size
		}
	}
	return maglevSizes[len(maglevSizes)-1]
}

// fill assigns all slots. There must be at least one member.
func (m *Maglev) fill(members []string, order []int) {
	size := uint64(len(m.owners))
	permutations := make([]permutation, len(members))
	for i, name := range members {
		h := hashName(name)
		permutations[i] = permutation{offset: splitMix64(h) % size, skip: splitMix64(h+1)%(size-1) + 1}
	}
	for filled := 0; ; {
		for _, i := range order {
			p := &permutations[i]
			slot := (p.offset + p.next*p.skip) % size
			for m.owners[slot] >= 0 {
				p.next++
				slot = (p.offset + p.next*p.skip) % size
			}
			m.owners[slot] = int32(i)
			p.next++
			filled++
			if filled == len(m.owners) {
				return
			}
		}
	}
}

// Lookup returns the index of the owner.
func (m *Maglev) Lookup(hash uint64) int {
	return int(m.owners[hash%uint64(len(m.owners))])
}

// SizeBytes returns the size of the slot array.
func (m *Maglev) SizeBytes() int {
	return len(m.owners) * indexBytes
}
