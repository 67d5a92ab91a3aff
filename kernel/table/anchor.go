package table

const (
	anchorCapacityFactor  = 2
	anchorMinimumCapacity = 64
	// anchorCapacityStep is coarse, because every flow's owner changes when the capacity does.
	anchorCapacityStep = 16
)

func init() {
	Builders.Register("anchor", NewAnchor)
}

// Anchor spreads members over a capacity of at least twice their number and probes pseudo-randomly until it meets one,
// as AnchorHash does (Mendelson et al., 2020). AnchorHash remembers the order of removals; entries that share no
// history can't, so that each member's place comes from its name.
type Anchor struct {
	places []int32
	mask   uint64
}

// NewAnchor builds the table in time proportional to the members.
func NewAnchor(members []string) Table {
	capacity := anchorMinimumCapacity
	for capacity < len(members)*anchorCapacityFactor {
		capacity *= anchorCapacityStep
	}
	a := &Anchor{places: make([]int32, capacity), mask: uint64(capacity - 1)}
	for i := range a.places {
		a.places[i] = -1
	}
	for _, i := range sortedIndexes(members) {
		a.place(int32(i), seed(members[i]))
	}
	if len(members) == 0 {
		a.places = nil
	}
	return a
}

func (a *Anchor) place(member int32, s uint64) {
	for h := mix(s); ; h = mix(h) {
		if a.places[h&a.mask] < 0 {
			a.places[h&a.mask] = member
			return
		}
	}
}

// Lookup returns the owner's index after a few probes.
func (a *Anchor) Lookup(hash uint64) int {
	if a.places == nil {
		return -1
	}
	for h := hash; ; h = mix(h) {
		if m := a.places[h&a.mask]; m >= 0 {
			return int(m)
		}
	}
}

// Bytes is the memory of the places.
func (a *Anchor) Bytes() int {
	return len(a.places) * indexBytes
}
