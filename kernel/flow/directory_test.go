package flow

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// Two members share an address if a target crashed and its address was given to another service while the agents were
// cut off from the store. Entries then stopped with a nil pointer dereference for each new flow, also after each
// restart. Seen on days of altiplano, batinah and chakibora with the day reused-twice.
func TestReusedAddressHasOneHost(t *testing.T) {
	for _, reversed := range []bool{false, true} {
		tn := newTestNetwork(t, 1, 3)
		members := []facts.Member{tn.hosts[0].member, tn.hosts[1].member, tn.hosts[2].member}
		old := members[0]
		old.Instance, old.Incarnation = "gone", 1
		members[0].Incarnation = 2
		members = append(members, old)
		if reversed {
			slices.Reverse(members)
		}
		d := NewDirectory(members)
		tn.entries[0].Update(tn.now, tn.plan, d)
		require.Equal(t, "agent-0", d.HostAt(old.Packets.Addr()).Instance)
		require.Len(t, d.Conflicts, 1)
		require.Equal(t, "gone", d.Conflicts[0].Loser.Instance)
		require.Equal(t, 3, d.PlaceableCount())
		for n := range 50 {
			require.NotNil(t, tn.openFlow(0, n))
		}
	}
}

// Every host of a group must be the host at its address, whatever the members claim.
func TestEveryHostOfGroupIsHostAtItsAddress(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var members []facts.Member
		for i := range rapid.IntRange(0, 12).Draw(r, "members") {
			m := facts.Member{
				Instance: fmt.Sprintf("agent-%d", i), Role: facts.RoleAgent, Packets: address(rapid.IntRange(1, 5).Draw(r, "address")),
				Service: rapid.SampledFrom([]string{"s", "t"}).Draw(r, "service"), Incarnation: rapid.Uint64Range(1, 3).Draw(r, "incarnation"),
				State: rapid.SampledFrom([]facts.State{facts.StateServing, facts.StateDraining, facts.StateDown, facts.StateLeft}).Draw(r, "state"),
			}
			if rapid.Bool().Draw(r, "announced") {
				m.Target = &facts.Target{ID: m.Instance, State: rapid.SampledFrom([]facts.TargetState{facts.TargetReady, facts.TargetDraining, facts.TargetGone}).Draw(r, "target")}
			}
			members = append(members, m)
		}
		d := NewDirectory(members)
		seen := map[netip.Addr]bool{}
		for _, service := range []string{"s", "t"} {
			g := d.Group(service)
			if g == nil {
				continue
			}
			for _, h := range g.Hosts {
				require.Same(t, h, d.HostAt(h.Packets.Addr()))
				require.False(t, seen[h.Packets.Addr()])
				seen[h.Packets.Addr()] = true
			}
		}
	})
}

// Pattern: hosts left while a fleet lost power, and their agents started once more without a target, to be killed some
// seconds later. Entries waited for their denials until they found them silent, and reset no flow meanwhile.
func TestHostWithoutTargetProcessHoldsNoFlows(t *testing.T) {
	m := facts.Member{Instance: "a", Role: facts.RoleAgent, Service: "s", Packets: address(1), State: facts.StateServing}
	require.NotNil(t, NewDirectory([]facts.Member{m}).Group("s"), "the agent may have just started")
	m.Target = &facts.Target{State: facts.TargetGone}
	require.Nil(t, NewDirectory([]facts.Member{m}).Group("s"))
}
