package table

const (
	// anchorCapacityFactor is the minimum ratio of slots to members.
	anchorCapacityFactor  = 2
	anchorMinimumCapacity = 64
	// anchorCapacityStep is the factor by which the capacity grows. It is large because a change of the capacity
	// changes the owners of most flows.
	anchorCapacityStep = 16
)

func init() {
	Builders.Register("anchor", NewAnchor)
}

// Anchor is a variant of AnchorHash (Mendelson et al., 2020). Members occupy slots of an array with at least twice as
// many slots, and a lookup probes slots in pseudo-random order until it finds an occupied one. In AnchorHash, the
// owners depend on the order in which members were removed. Entries share no such history, so here the slot of a
// member is derived from its name.
type Anchor struct {
	// slots holds the indexes of the members, or -1 for free slots. It is nil if there are no members.
	slots []int32
	mask  uint64
}

// NewAnchor builds the table in expected O(n log n) time for n members.
func NewAnchor(members []string) Table {
	capacity := anchorMinimumCapacity
	for capacity < len(members)*anchorCapacityFactor {
		capacity *= anchorCapacityStep
	}
	a := &Anchor{slots: make([]int32, capacity), mask: uint64(capacity - 1)}
	for i := range a.slots {
		a.slots[i] = -1
	}
	for _, i := range sortedIndexes(members) {
		a.insert(int32(i), hashName(members[i]))
	}
	if len(members) == 0 {
		a.slots = nil
	}
	return a
}

// insert puts the member into the first free slot of the probe sequence that starts at its hash.
func (a *Anchor) insert(member int32, hash uint64) {
	for h := splitMix64(hash); ; h = splitMix64(h) {
		if a.slots[h&a.mask] < 0 {
			a.slots[h&a.mask] = member
			return
		}
	}
}

// Lookup returns the index of the owner. The average number of probes is the ratio of the capacity to the number of
// members.
func (a *Anchor) Lookup(hash uint64) int {
	if a.slots == nil {
		return -1
	}
	for h := hash; ; h = splitMix64(h) {
		if m := a.slots[h&a.mask]; m >= 0 {
			return int(m)
		}
	}
}

// SizeBytes returns the size of the slot array.
func (a *Anchor) SizeBytes() int {
	return len(a.slots) * indexBytes
}
