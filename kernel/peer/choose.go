package peer

import (
	"math/bits"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// nearPeers is how many entries of its own data centre an instance exchanges with, and farPeers how many of
	// others: enough that an instance or a data centre lost leaves the rest joined, and no more with a greater fleet.
	nearPeers = 3
	farPeers  = 2
)

// candidate is an entry that others may exchange with.
type candidate struct {
	address    netip.AddrPort
	dataCentre string
	hash       uint64
}

// ChoosePeers returns the control addresses of the entries that an instance exchanges with: a few of its own data
// centre and a few others, by rendezvous hashing. An agent goes to another data centre only if its own has too few.
// Seeds count as entries unless a member with their address is down or has left.
func ChoosePeers(self facts.Member, seeds []netip.AddrPort, members []facts.Member) []netip.AddrPort {
	return choose(self, candidatesOf(seeds, members))
}

// candidatesOf lists the entries that serve, and the seeds that no member is known at.
func candidatesOf(seeds []netip.AddrPort, members []facts.Member) []candidate {
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

// choose picks the peers of an instance among candidates.
func choose(self facts.Member, candidates []candidate) []netip.AddrPort {
	own := xxhash.Sum64String(self.Instance)
	var near, far best
	for _, c := range candidates {
		switch {
		case c.address == self.Control:
		case c.dataCentre == self.DataCentre:
			near.add(c.address, score(own, c.hash), nearPeers)
		default:
			far.add(c.address, score(own, c.hash), nearPeers+farPeers)
		}
	}
	wanted := farPeers
	if self.Role == facts.RoleAgent {
		wanted = nearPeers - near.count
	} else if near.count < nearPeers {
		wanted = nearPeers + farPeers - near.count
	}
	return append(near.addresses(near.count), far.addresses(min(far.count, wanted))...)
}

// score ranks an entry for an instance, given the hashes of both. It is not symmetric, so that instances which choose
// each other are no more frequent than others.
func score(own, entry uint64) uint64 {
	return mix(own ^ bits.RotateLeft64(entry, 32))
}

// best keeps the addresses with the greatest scores, the greatest first.
type best struct {
	entries [nearPeers + farPeers]struct {
		address netip.AddrPort
		score   uint64
	}
	count int
}

// add takes an address in if its score is among the limit greatest.
func (b *best) add(a netip.AddrPort, score uint64, limit int) {
	at := b.count
	for at > 0 && b.entries[at-1].score < score {
		at--
	}
	if at >= limit {
		return
	}
	b.count = min(b.count+1, limit)
	copy(b.entries[at+1:b.count], b.entries[at:])
	b.entries[at].address, b.entries[at].score = a, score
}

func (b *best) addresses(count int) []netip.AddrPort {
	all := make([]netip.AddrPort, 0, nearPeers+farPeers)
	for _, e := range b.entries[:count] {
		all = append(all, e.address)
	}
	return all
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
