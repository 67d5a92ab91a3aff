package facts

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testAddress = netip.MustParseAddrPort("10.0.0.1:9000")

func agentAt(instance string, incarnation uint64, state State) Member {
	return Member{Instance: instance, Role: RoleAgent, Packets: testAddress, State: state, Incarnation: incarnation}
}

func TestLaterIncarnationHoldsAddress(t *testing.T) {
	early, late := agentAt("b", 1, StateServing), agentAt("a", 2, StateServing)
	for _, members := range [][]Member{{early, late}, {late, early}} {
		holders, conflicts := ResolveAddresses(members)
		require.Equal(t, "a", holders[testAddress.Addr()].Instance)
		require.Equal(t, []AddressConflict{{Holder: late, Loser: early}}, conflicts)
	}
}

// The clock of the machine that was given the address may be behind that of the machine that had it before.
func TestRespondingMemberHoldsAddressOfDownMember(t *testing.T) {
	holders, conflicts := ResolveAddresses([]Member{agentAt("a", 9, StateDown), agentAt("b", 1, StateServing)})
	require.Equal(t, "b", holders[testAddress.Addr()].Instance)
	require.Equal(t, "a", conflicts[0].Loser.Instance)
}

func TestMemberThatLeftClaimsNoAddress(t *testing.T) {
	holders, conflicts := ResolveAddresses([]Member{agentAt("a", 9, StateLeft), agentAt("b", 1, StateDown)})
	require.Equal(t, "b", holders[testAddress.Addr()].Instance)
	require.Empty(t, conflicts)
}

func TestResolutionDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Member {
			return agentAt(
				rapid.StringMatching("[a-z]").Draw(t, "instance"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				rapid.SampledFrom([]State{StateServing, StateDraining, StateDown, StateLeft}).Draw(t, "state"),
			)
		}), 0, 6, func(m Member) string { return m.Instance }).Draw(t, "members")
		holders, conflicts := ResolveAddresses(members)
		reordered, _ := ResolveAddresses(rapid.Permutation(members).Draw(t, "permutation"))
		require.Equal(t, holders, reordered)
		for _, c := range conflicts {
			require.Equal(t, holders[testAddress.Addr()], c.Holder)
			require.NotEqual(t, c.Holder.Instance, c.Loser.Instance)
		}
	})
}

// A member that was replaced at its address while the store was away must not come back with the next restart.
func TestDownMemberThatLostItsAddressIsRetired(t *testing.T) {
	var s Set
	add := func(instance string, incarnation uint64, state State) Member {
		m := agentAt(instance, incarnation, state)
		f, err := m.Fact(incarnation, 5)
		require.NoError(t, err)
		s.Merge(f)
		return m
	}
	gone, serving := add("gone", 1, StateDown), add("b", 2, StateServing)
	require.Empty(t, RetireSuperseded(&s, []Member{gone}))
	require.Empty(t, RetireSuperseded(&s, []Member{agentAt("gone", 1, StateServing), agentAt("b", 2, StateDown)}), "the member responds")
	retired := RetireSuperseded(&s, []Member{gone, serving})
	require.Len(t, retired, 1)
	m, err := DecodeMember(retired[0])
	require.NoError(t, err)
	require.Equal(t, StateLeft, m.State)
	require.Equal(t, uint64(6), retired[0].Version)
}

// Agents that terminate their flows may share an address. One of them that was wrongly marked down must stay a member,
// because the others ask only members for the holder of a flow and reset a flow that none of them holds. Seen in the
// scenario unevenTables.
func TestTerminatingAgentsShareAddress(t *testing.T) {
	terminating := func(instance string, incarnation uint64, port uint16, state State) Member {
		m := agentAt(instance, incarnation, state)
		m.Packets = netip.AddrPortFrom(testAddress.Addr(), port)
		m.Requests = netip.AddrPortFrom(testAddress.Addr(), port+1)
		return m
	}
	down, other := terminating("a", 1, 9000, StateDown), terminating("b", 2, 9010, StateServing)
	var s Set
	f, err := down.Fact(1, 5)
	require.NoError(t, err)
	s.Merge(f)
	require.Empty(t, RetireSuperseded(&s, []Member{down, other}))
}
