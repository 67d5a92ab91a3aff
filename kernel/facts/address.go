package facts

import "net/netip"

// AddressConflict is a pair of agents that claim the same packet address. At most one of them still exists, because
// the platform gives the address of an instance that is gone to another one.
type AddressConflict struct {
	Holder Member
	Loser  Member
}

// ResolveAddresses finds the agents that share a packet address. It returns for each address the agent that holds it,
// and a conflict for each other agent that claims it. The result does not depend on the order of the members.
func ResolveAddresses(members []Member) (holders map[netip.Addr]Member, conflicts []AddressConflict) {
	holders = make(map[netip.Addr]Member, len(members))
	for _, m := range members {
		if !m.claimsAddress() {
			continue
		}
		if held, taken := holders[m.Packets.Addr()]; !taken || m.precedes(held) {
			holders[m.Packets.Addr()] = m
		}
	}
	for _, m := range members {
		if holder := holders[m.Packets.Addr()]; m.claimsAddress() && holder.Instance != m.Instance {
			conflicts = append(conflicts, AddressConflict{Holder: holder, Loser: m})
		}
	}
	return holders, conflicts
}

// claimsAddress reports whether the member is an agent that needs its address for itself. Agents that terminate their
// flows do not: they differ by their ports. They are the ones that have an address for requests.
func (m Member) claimsAddress() bool {
	return m.Role == RoleAgent && m.State != StateLeft && !m.Requests.IsValid()
}

// precedes reports whether m holds the address that both members claim. A member that responds precedes one that is
// down. Otherwise the one whose process started later does.
func (m Member) precedes(o Member) bool {
	switch {
	case (m.State == StateDown) != (o.State == StateDown):
		return o.State == StateDown
	case m.Incarnation != o.Incarnation:
		return m.Incarnation > o.Incarnation
	}
	return m.Instance > o.Instance
}
