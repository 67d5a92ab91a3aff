// Package facts implements the versioned facts that instances replicate among each other, and the failure detector.
package facts

import (
	"encoding/binary"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Kind is the type of a fact. It determines the format of the body.
type Kind string

// Kinds of facts.
const (
	KindMember   Kind = "member"
	KindDocument Kind = "document"
)

// Key identifies a fact.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Fact is a versioned value. Of two facts with the same key, the one with the higher (incarnation, version) wins.
type Fact struct {
	Key
	// Incarnation identifies the run of the instance that a member fact describes. Later runs have higher incarnations.
	// For what was read in the store it is the store's era, and 0 if the store reports none.
	Incarnation uint64 `json:"incarnation"`
	// Version increases with each change within an incarnation. For what was read in the store it is the revision.
	Version uint64 `json:"version"`
	// Body is JSON text. It is a string so that codecs pass it through unchanged and digests are equal on all
	// instances.
	Body string `json:"body"`
}

const (
	// maxIncarnationAhead is how far a member's incarnation, which is its start by its own clock in Unix nanoseconds, may be
	// ahead of this instance's clock. Clocks jump by seconds or hours.
	maxIncarnationAhead = 7 * 24 * time.Hour
	// maxVersion is far above all versions that an instance or the store reaches, and leaves room for greater ones.
	maxVersion = 1 << 62
)

// ImplausibleError reports a fact whose incarnation or version no instance has published: it could never be superseded.
type ImplausibleError struct {
	Name        string
	Incarnation uint64
	Version     uint64
}

// Error returns a message with the name, the incarnation and the version.
func (e *ImplausibleError) Error() string {
	return "fact " + e.Name + " has the implausible incarnation " + strconv.FormatUint(e.Incarnation, 10) + " or version " +
		strconv.FormatUint(e.Version, 10)
}

// Check returns an ImplausibleError if the fact can't have been published by now.
func (f Fact) Check(now time.Time) error {
	ahead := f.Kind == KindMember && f.Incarnation > uint64(now.Add(maxIncarnationAhead).UnixNano())
	if ahead || f.Incarnation > maxVersion || f.Version > maxVersion {
		return errors.WithStack(&ImplausibleError{Name: f.Name, Incarnation: f.Incarnation, Version: f.Version})
	}
	return nil
}

// Supersedes reports whether f replaces g. If the versions are equal, the greater body wins, so that the result does
// not depend on the order of arrival.
func (f Fact) Supersedes(g Fact) bool {
	if f.Incarnation != g.Incarnation {
		return f.Incarnation > g.Incarnation
	}
	if f.Version != g.Version {
		return f.Version > g.Version
	}
	return f.Body > g.Body
}

// digest returns a hash of all fields.
func (f Fact) digest() uint64 {
	var versions [16]byte
	binary.BigEndian.PutUint64(versions[:8], f.Incarnation)
	binary.BigEndian.PutUint64(versions[8:], f.Version)
	d := xxhash.New()
	_, _ = d.WriteString(string(f.Kind))
	_, _ = d.WriteString("\x00" + f.Name + "\x00")
	_, _ = d.Write(versions[:])
	_, _ = d.WriteString(f.Body)
	return d.Sum64()
}

// PartitionCount is the number of partitions of a set. Instances compare digests per partition, so that a difference
// costs the summaries of one partition's facts instead of all.
const PartitionCount = 32

// AllPartitions returns the indexes of all partitions.
func AllPartitions() []int {
	all := make([]int, PartitionCount)
	for i := range all {
		all[i] = i
	}
	return all
}

// Set holds one fact per key. The zero value is an empty set. It is not safe for concurrent use.
type Set struct {
	facts map[Key]Fact
	// partitionDigests holds the XOR of the digests of each partition's facts, which does not depend on their order.
	partitionDigests [PartitionCount]uint64
}

// Summary identifies one version of a fact without its body.
type Summary struct {
	Key
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"version"`
	// BodyDigest is the hash of the fact's body. It distinguishes facts with equal versions.
	BodyDigest uint64 `json:"body"`
}

// PartitionOf returns the index of the partition that a key belongs to.
func PartitionOf(k Key) int {
	return int(xxhash.Sum64String(string(k.Kind)+"\x00"+k.Name) % PartitionCount)
}

// Merge stores f if the set has no fact with its key or f supersedes that fact. It reports whether f was stored.
func (s *Set) Merge(f Fact) bool {
	if s.facts == nil {
		s.facts = make(map[Key]Fact)
	}
	held, ok := s.facts[f.Key]
	if ok && !f.Supersedes(held) {
		return false
	}
	partition := PartitionOf(f.Key)
	if ok {
		s.partitionDigests[partition] ^= held.digest()
	}
	s.partitionDigests[partition] ^= f.digest()
	s.facts[f.Key] = f
	return true
}

// MergeAll merges each fact and returns those that were stored.
func (s *Set) MergeAll(all []Fact) []Fact {
	var stored []Fact
	for _, f := range all {
		if s.Merge(f) {
			stored = append(stored, f)
		}
	}
	return stored
}

// Get returns the fact with key k.
func (s *Set) Get(k Key) (Fact, bool) {
	f, ok := s.facts[k]
	return f, ok
}

// Digest returns the digest of the set. Equal sets have equal digests, independent of the order of merges.
func (s *Set) Digest() uint64 {
	var digest uint64
	for _, p := range s.partitionDigests {
		digest ^= p
	}
	return digest
}

// PartitionDigests returns the digest of each partition.
func (s *Set) PartitionDigests() []uint64 {
	return append([]uint64(nil), s.partitionDigests[:]...)
}

// DifferingPartitions returns the indexes of the partitions whose digests differ from the given ones.
func (s *Set) DifferingPartitions(digests []uint64) []int {
	var partitions []int
	for i, d := range digests {
		if i < PartitionCount && s.partitionDigests[i] != d {
			partitions = append(partitions, i)
		}
	}
	return partitions
}

// Summaries returns the summaries of all facts in the given partitions.
func (s *Set) Summaries(partitions []int) []Summary {
	var all []Summary
	for k, f := range s.facts {
		if slices.Contains(partitions, PartitionOf(k)) {
			all = append(all, Summary{Key: k, Incarnation: f.Incarnation, Version: f.Version, BodyDigest: xxhash.Sum64String(f.Body)})
		}
	}
	return all
}

// Diff compares the given partitions with the summaries of a remote set. It returns the facts that the remote set lacks
// or holds in a different version that is not newer, and the keys of the remote facts that this set lacks or holds in a
// different version. A fact with equal versions but different bodies is in both results, because a summary does not
// show which body wins.
func (s *Set) Diff(partitions []int, remote []Summary) (facts []Fact, wanted []Key) {
	remoteByKey := make(map[Key]Summary, len(remote))
	for _, summary := range remote {
		remoteByKey[summary.Key] = summary
		held, ok := s.facts[summary.Key]
		if !ok || held.Incarnation != summary.Incarnation || held.Version != summary.Version ||
			xxhash.Sum64String(held.Body) != summary.BodyDigest {
			wanted = append(wanted, summary.Key)
		}
	}
	for k, f := range s.facts {
		if !slices.Contains(partitions, PartitionOf(k)) {
			continue
		}
		summary, ok := remoteByKey[k]
		if !ok || slices.Contains(wanted, k) && !isOlder(f, summary) {
			facts = append(facts, f)
		}
	}
	return facts, wanted
}

// isOlder reports whether f has a lower incarnation or version than the summary.
func isOlder(f Fact, summary Summary) bool {
	if f.Incarnation != summary.Incarnation {
		return f.Incarnation < summary.Incarnation
	}
	return f.Version < summary.Version
}

// All returns the facts ordered by key.
func (s *Set) All() []Fact {
	all := make([]Fact, 0, len(s.facts))
	for _, f := range s.facts {
		all = append(all, f)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Kind != all[j].Kind {
			return all[i].Kind < all[j].Kind
		}
		return all[i].Name < all[j].Name
	})
	return all
}
