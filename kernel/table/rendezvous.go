package table

const (
	minimumBuckets   = 256
	bucketsPerMember = 64
	maximumBuckets   = 1 << 20
	indexBytes       = 4
)

func init() {
	Builders.Register("rendezvous", NewRendezvous)
}

// Rendezvous is highest-random-weight hashing, computed ahead for a power of two of buckets.
type Rendezvous struct {
	owners []int32
	mask   uint64
}

// NewRendezvous builds the table in time buckets × members.
func NewRendezvous(members []string) Table {
	seeds := make([]uint64, len(members))
	for i, m := range members {
		seeds[i] = seed(m)
	}
	n := bucketCount(len(members))
	r := &Rendezvous{owners: make([]int32, n), mask: uint64(n - 1)}
	for b := range r.owners {
		r.owners[b] = highest(seeds, mix(uint64(b)))
	}
	return r
}

func bucketCount(members int) int {
	n := minimumBuckets
	for n < members*bucketsPerMember && n < maximumBuckets {
		n *= 2
	}
	return n
}

func highest(seeds []uint64, bucket uint64) int32 {
	best := int32(-1)
	var bestScore uint64
	for i, s := range seeds {
		score := mix(s ^ bucket)
		if best < 0 || score > bestScore {
			best = int32(i)
			bestScore = score
		}
	}
	return best
}

// Lookup returns the owner's index.
func (r *Rendezvous) Lookup(hash uint64) int {
	return int(r.owners[hash&r.mask])
}

// Bytes is the memory of the bucket array.
func (r *Rendezvous) Bytes() int {
	return len(r.owners) * indexBytes
}
