package peer

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// nearPeers is how many entries of its own data centre an instance exchanges with, and farPeers how many of
	// others: enough that an instance or a data centre lost leaves the rest joined, and no more with a greater fleet.
	nearPeers = 3
	farPeers  = 2
)

// ChoosePeers returns the control addresses of the entries that an instance exchanges with: a few of its own data
// centre and a few others, by rendezvous hashing. An agent goes to another data centre only if its own has too few.
// Seeds count as entries unless a member with their address is down or has left.
func ChoosePeers(self facts.Member, seeds []netip.AddrPort, members []facts.Member) []netip.AddrPort {
	candidates := entryCandidates(self, seeds, members)
	slices.SortFunc(candidates, func(a, b facts.Member) int { return cmp.Compare(score(self, b), score(self, a)) })
	var near, far []facts.Member
	for _, c := range candidates {
		if c.DataCentre == self.DataCentre {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	near = near[:min(len(near), nearPeers)]
	wanted := farPeers
	if self.Role == facts.RoleAgent {
		wanted = max(nearPeers-len(near), 0)
	} else if len(near) < nearPeers {
		wanted = nearPeers + farPeers - len(near)
	}
	far = far[:min(len(far), wanted)]
	return addressesOf(append(near, far...))
}

func entryCandidates(self facts.Member, seeds []netip.AddrPort, members []facts.Member) []facts.Member {
	var serving []facts.Member
	known := map[netip.AddrPort]bool{self.Control: true}
	for _, m := range members {
		if m.Role != facts.RoleEntry {
			continue
		}
		if m.State == facts.StateServing && !known[m.Control] {
			serving = append(serving, m)
		}
		known[m.Control] = true
	}
	for _, s := range seeds {
		if !known[s] {
			serving = append(serving, facts.Member{Instance: s.String(), Control: s, Role: facts.RoleEntry})
		}
	}
	return serving
}

func score(self, other facts.Member) uint64 {
	return xxhash.Sum64String(self.Instance + "\x00" + other.Control.String())
}

func addressesOf(members []facts.Member) []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(members))
	for _, m := range members {
		all = append(all, m.Control)
	}
	return all
}
