package table

import "slices"

const maglevSlotsPerMember = 100

// maglevSizes are primes near powers of two.
var maglevSizes = []int{1021, 4093, 16381, 65537, 262139, 655373, 1048573}

func init() {
	Builders.Register("maglev", NewMaglev)
}

// Maglev is the table of the Maglev load balancer: members take turns to fill a prime number of slots in the
// order of their own permutations (Eisenbud et al., NSDI 2016).
type Maglev struct {
	owners []int32
}

type permutation struct {
	offset, skip, next uint64
}

// NewMaglev builds the table in expected time slots × log slots.
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

// sortedIndexes orders the members by name, so that the table depends on their set only.
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

func maglevSize(members int) int {
	for _, size := range maglevSizes {
		if size >= members*maglevSlotsPerMember {
			return size
		}
	}
	return maglevSizes[len(maglevSizes)-1]
}

func (m *Maglev) fill(members []string, order []int) {
	size := uint64(len(m.owners))
	turns := make([]permutation, len(members))
	for i, name := range members {
		s := seed(name)
		turns[i] = permutation{offset: mix(s) % size, skip: mix(s+1)%(size-1) + 1}
	}
	for filled := 0; ; {
		for _, i := range order {
			t := &turns[i]
			slot := (t.offset + t.next*t.skip) % size
			for m.owners[slot] >= 0 {
				t.next++
				slot = (t.offset + t.next*t.skip) % size
			}
			m.owners[slot] = int32(i)
			t.next++
			filled++
			if filled == len(m.owners) {
				return
			}
		}
	}
}

// Lookup returns the owner's index.
func (m *Maglev) Lookup(hash uint64) int {
	return int(m.owners[hash%uint64(len(m.owners))])
}

// Bytes is the memory of the slots.
func (m *Maglev) Bytes() int {
	return len(m.owners) * indexBytes
}
