package peer

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// entriesPerAgent is how many entries an agent exchanges with.
const entriesPerAgent = 3

// ChoosePeers returns the control addresses of the entries that an instance exchanges with: for an entry all
// others, for an agent a few by rendezvous hashing, those of its own data centre first. Seeds count as entries
// unless a member with their address is down or has left.
func ChoosePeers(self facts.Member, seeds []netip.AddrPort, members []facts.Member) []netip.AddrPort {
	candidates := entryCandidates(self, seeds, members)
	if self.Role != facts.RoleAgent || len(candidates) <= entriesPerAgent {
		return addressesOf(candidates)
	}
	slices.SortFunc(candidates, func(a, b facts.Member) int {
		if (a.DataCentre == self.DataCentre) != (b.DataCentre == self.DataCentre) {
			if a.DataCentre == self.DataCentre {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(self, b), score(self, a))
	})
	return addressesOf(candidates[:entriesPerAgent])
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
