package table

const (
	minimumBuckets = 256
	// bucketsPerMember is the minimum ratio of buckets to members, up to maximumBuckets.
	bucketsPerMember = 64
	maximumBuckets   = 1 << 20
)

func init() {
	Builders.Register("rendezvous", NewRendezvous)
}

// Rendezvous implements rendezvous hashing (highest random weight), precomputed for each of a power-of-two number of
// buckets.
type Rendezvous struct {
	// owners holds the index of the member that owns each bucket, or -1 if there are no members.
	owners []int32
	mask   uint64
}

// NewRendezvous builds the table in O(buckets × members) time.
func NewRendezvous(members []string) Table {
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = hashName(m)
	}
	n := bucketCount(len(members))
	r := &Rendezvous{owners: make([]int32, n), mask: uint64(n - 1)}
	for b := range r.owners {
		r.owners[b] = highestScore(hashes, splitMix64(uint64(b)))
	}
	return r
}

// bucketCount returns the smallest sufficient power of two, or maximumBuckets if none is sufficient.
func bucketCount(members int) int {
	n := minimumBuckets
	for n < members*bucketsPerMember && n < maximumBuckets {
		n *= 2
	}
	return n
}

// highestScore returns the index of the member with the highest score for the bucket, or -1 if there are no members.
func highestScore(memberHashes []uint64, bucketHash uint64) int32 {
	best := int32(-1)
	var bestScore uint64
	for i, h := range memberHashes {
		score := splitMix64(h ^ bucketHash)
		if best < 0 || score > bestScore {
			best = int32(i)
			bestScore = score
		}
	}
	return best
}

// Lookup returns the index of the owner.
func (r *Rendezvous) Lookup(hash uint64) int {
	return int(r.owners[hash&r.mask])
}

// SizeBytes returns the size of the bucket array.
func (r *Rendezvous) SizeBytes() int {
	return len(r.owners) * indexBytes
}
