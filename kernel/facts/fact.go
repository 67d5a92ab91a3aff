// Package facts keeps versioned facts that instances spread to each other.
package facts

import (
	"encoding/binary"
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

// Set holds one fact a key. The zero value is an empty set.
type Set struct {
	facts  map[Key]Fact
	digest uint64
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
	if ok {
		s.digest ^= held.digest()
	}
	s.digest ^= f.digest()
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
	return s.digest
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
