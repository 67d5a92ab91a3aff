package peer

import (
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// localPeerCount is the number of entries in its own data centre that an instance exchanges with. remotePeerCount
	// is the number in other data centres. These counts keep the remaining instances connected when an instance or a
	// data centre fails, and the load per instance does not grow with the fleet.
	localPeerCount  = 3
	remotePeerCount = 2
)

// candidate is an entry that can be chosen as a peer.
type candidate struct {
	address    netip.AddrPort
	dataCentre string
	hash       uint64
}

// ChoosePeers returns the control addresses of the entries that an instance exchanges with, by rendezvous hashing; s limits
// their numbers. A seed is a candidate until the entry at its address is known as a member. Until then it counts as an
// entry of another data centre.
func (s Selection) ChoosePeers(self facts.Member, seeds []netip.AddrPort, members []facts.Member) []netip.AddrPort {
	return s.selectPeers(self, listCandidates(seeds, members))
}

// Selection determines how many peers an instance has in its own data centre and in others. All instances of a fleet
// must use the same value.
type Selection struct {
	// SpanDataCentres makes each agent exchange with an entry of another data centre. Without it, agents use other data
	// centres only if their own has too few entries, and the loss of a data centre with all of its entries goes unnoticed
	// by the others until these have failed to reach the entries and then waited for the agents.
	SpanDataCentres bool
}

// counts returns how many entries of its own data centre and of others an instance exchanges with, given the number of
// entries in its own.
func (s Selection) counts(r facts.Role, available int) (local, remote int) {
	local, total := localPeerCount, localPeerCount+remotePeerCount
	if r == facts.RoleAgent {
		total = localPeerCount
		if s.SpanDataCentres {
			local--
		}
	}
	local = min(local, available)
	return local, total - local
}

// listCandidates returns the serving entries and the seeds whose addresses belong to no known entry.
func listCandidates(seeds []netip.AddrPort, members []facts.Member) []candidate {
	var all []candidate
	known := make(map[netip.AddrPort]bool, len(seeds))
	add := func(a netip.AddrPort, dataCentre string) {
		all = append(all, candidate{address: a, dataCentre: dataCentre, hash: xxhash.Sum64String(a.String())})
	}
	for _, m := range members {
		if m.Role != facts.RoleEntry {
			continue
		}
		if m.State == facts.StateServing && !known[m.Control] {
			add(m.Control, m.DataCentre)
		}
		known[m.Control] = true
	}
	for _, s := range seeds {
		if !known[s] {
			add(s, "")
		}
	}
	return all
}

// selectPeers returns the control addresses of the candidates that an instance exchanges with.
func (s Selection) selectPeers(self facts.Member, candidates []candidate) []netip.AddrPort {
	selfHash := xxhash.Sum64String(self.Instance)
	var local, remote topScores
	for _, c := range candidates {
		switch {
		case c.address == self.Control:
		case c.dataCentre == self.DataCentre:
			local.add(c.address, score(selfHash, c.hash), localPeerCount)
		default:
			remote.add(c.address, score(selfHash, c.hash), localPeerCount+remotePeerCount)
		}
	}
	localCount, remoteCount := s.counts(self.Role, local.count)
	return append(local.addresses(localCount), remote.addresses(min(remote.count, remoteCount))...)
}

// candidateIndex holds candidates by data centre.
type candidateIndex map[string][]candidate

func indexCandidates(all []candidate) candidateIndex {
	x := candidateIndex{}
	for _, c := range all {
		x[c.dataCentre] = append(x[c.dataCentre], c)
	}
	return x
}

// contains reports whether an entry is a candidate.
func (x candidateIndex) contains(entry facts.Member) bool {
	return slices.ContainsFunc(x[entry.DataCentre], func(c candidate) bool { return c.address == entry.Control })
}

// isChosen reports whether selectPeers returns the candidate self for the member. It computes few of the scores that
// selectPeers does, because most members have better candidates among the first ones.
func (x candidateIndex) isChosen(s Selection, self, member facts.Member) bool {
	memberHash := xxhash.Sum64String(member.Instance)
	selfScore := score(memberHash, xxhash.Sum64String(self.Control.String()))
	local := x[member.DataCentre]
	available := len(local)
	if slices.ContainsFunc(local, func(c candidate) bool { return c.address == member.Control }) {
		available--
	}
	localCount, limit := s.counts(member.Role, available)
	if self.DataCentre == member.DataCentre {
		return countBetter(local, member.Control, memberHash, selfScore, localCount) < localCount
	}
	better := 0
	for dataCentre, candidates := range x {
		if better < limit && dataCentre != member.DataCentre {
			better += countBetter(candidates, member.Control, memberHash, selfScore, limit-better)
		}
	}
	return better < limit
}

// countBetter counts the candidates with a higher score than self's, up to limit.
func countBetter(candidates []candidate, member netip.AddrPort, memberHash, selfScore uint64, limit int) int {
	better := 0
	for _, c := range candidates {
		if better == limit {
			break
		}
		if c.address != member && score(memberHash, c.hash) > selfScore {
			better++
		}
	}
	return better
}

// score returns the rendezvous weight of an entry for an instance, given the hashes of both. It is not symmetric: with
// a symmetric score, mutual choices would be more frequent than by chance and could isolate groups of entries.
func score(self, entry uint64) uint64 {
	return splitMix64(self ^ bits.RotateLeft64(entry, 32))
}

// topScores holds the addresses with the highest scores in descending order.
type topScores struct {
	ranked [localPeerCount + remotePeerCount]struct {
		address netip.AddrPort
		score   uint64
	}
	count int
}

// add inserts an address if its score is one of the limit highest scores.
func (t *topScores) add(a netip.AddrPort, score uint64, limit int) {
	position := t.count
	for position > 0 && t.ranked[position-1].score < score {
		position--
	}
	if position >= limit {
		return
	}
	t.count = min(t.count+1, limit)
	copy(t.ranked[position+1:t.count], t.ranked[position:])
	t.ranked[position].address, t.ranked[position].score = a, score
}

// addresses returns the first count addresses in descending order of score.
func (t *topScores) addresses(count int) []netip.AddrPort {
	all := make([]netip.AddrPort, 0, localPeerCount+remotePeerCount)
	for _, ranked := range t.ranked[:count] {
		all = append(all, ranked.address)
	}
	return all
}

// splitMix64 applies the finalizer of the SplitMix64 generator, which spreads each input bit over the whole output.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
