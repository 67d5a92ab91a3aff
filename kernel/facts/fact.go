// Package facts keeps versioned facts that instances spread to each other.
package facts

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Kind groups facts that have the same body.
type Kind string

// The kinds of fact.
const (
	KindMember   Kind = "member"
	KindDocument Kind = "document"
)

// Key identifies a fact.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Fact is one versioned value; of two facts with one key the greater (incarnation, version) stands.
type Fact struct {
	Key
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"version"`
	// Body is JSON text; as a string it passes through every codec unchanged, so that digests agree.
	Body string `json:"body"`
}

// Supersedes reports whether f stands against g. Equal versions fall back to the greater body,
// so that the order of arrival never matters.
func (f Fact) Supersedes(g Fact) bool {
	if f.Incarnation != g.Incarnation {
		return f.Incarnation > g.Incarnation
	}
	if f.Version != g.Version {
		return f.Version > g.Version
	}
	return f.Body > g.Body
}

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

// Parts is how many parts a set is compared by: a difference costs the versions of one part's facts, not of all.
const Parts = 32

// AllParts names every part.
func AllParts() []int {
	all := make([]int, Parts)
	for i := range all {
		all[i] = i
	}
	return all
}

// Set holds one fact a key. The zero value is an empty set.
type Set struct {
	facts map[Key]Fact
	parts [Parts]uint64
}

// Versions names a fact without its body.
type Versions struct {
	Key
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"version"`
	// Body is the digest of the fact's body, which decides between equal versions.
	Body uint64 `json:"body"`
}

// PartOf is the part that a key belongs to.
func PartOf(k Key) int {
	return int(xxhash.Sum64String(string(k.Kind)+"\x00"+k.Name) % Parts)
}

// Merge keeps f if it supersedes what is held and reports whether it did.
func (s *Set) Merge(f Fact) bool {
	if s.facts == nil {
		s.facts = make(map[Key]Fact)
	}
	held, ok := s.facts[f.Key]
	if ok && !f.Supersedes(held) {
		return false
	}
	part := PartOf(f.Key)
	if ok {
		s.parts[part] ^= held.digest()
	}
	s.parts[part] ^= f.digest()
	s.facts[f.Key] = f
	return true
}

// MergeAll merges each fact and returns those that were kept.
func (s *Set) MergeAll(all []Fact) []Fact {
	var kept []Fact
	for _, f := range all {
		if s.Merge(f) {
			kept = append(kept, f)
		}
	}
	return kept
}

// Get returns the fact held under k.
func (s *Set) Get(k Key) (Fact, bool) {
	f, ok := s.facts[k]
	return f, ok
}

// Digest is equal for equal sets, whatever the order of merges.
func (s *Set) Digest() uint64 {
	var digest uint64
	for _, p := range s.parts {
		digest ^= p
	}
	return digest
}

// PartDigests are the digests of the parts.
func (s *Set) PartDigests() []uint64 {
	return append([]uint64(nil), s.parts[:]...)
}

// Differing returns the parts whose digests are not as given.
func (s *Set) Differing(digests []uint64) []int {
	var parts []int
	for i, d := range digests {
		if i < Parts && s.parts[i] != d {
			parts = append(parts, i)
		}
	}
	return parts
}

// VersionsOf names the facts of some parts.
func (s *Set) VersionsOf(parts []int) []Versions {
	var all []Versions
	for k, f := range s.facts {
		if slices.Contains(parts, PartOf(k)) {
			all = append(all, Versions{Key: k, Incarnation: f.Incarnation, Version: f.Version, Body: xxhash.Sum64String(f.Body)})
		}
	}
	return all
}

// Compare returns the facts of some parts that another set lacks or holds in other versions, and the keys that it
// holds and this set does not, or not alike.
func (s *Set) Compare(parts []int, others []Versions) (facts []Fact, wanted []Key) {
	theirs := make(map[Key]Versions, len(others))
	for _, v := range others {
		theirs[v.Key] = v
		held, ok := s.facts[v.Key]
		if !ok || held.Incarnation != v.Incarnation || held.Version != v.Version || xxhash.Sum64String(held.Body) != v.Body {
			wanted = append(wanted, v.Key)
		}
	}
	for k, f := range s.facts {
		if !slices.Contains(parts, PartOf(k)) {
			continue
		}
		v, ok := theirs[k]
		if !ok || slices.Contains(wanted, k) && !older(f, v) {
			facts = append(facts, f)
		}
	}
	return facts, wanted
}

func older(f Fact, v Versions) bool {
	if f.Incarnation != v.Incarnation {
		return f.Incarnation < v.Incarnation
	}
	return f.Version < v.Version
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
