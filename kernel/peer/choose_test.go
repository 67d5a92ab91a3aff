package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const testDataCentres = 4

// installation is entries and agents spread over data centres.
func installation(entries, agents int) []facts.Member {
	var all []facts.Member
	for i := range entries + agents {
		m := facts.Member{
			Instance: fmt.Sprintf("agent-%d", i), Role: facts.RoleAgent, State: facts.StateServing,
			DataCentre: fmt.Sprintf("z%d", i%testDataCentres),
			Control:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7100),
		}
		if i < entries {
			m.Instance, m.Role = fmt.Sprintf("entry-%d", i), facts.RoleEntry
		}
		all = append(all, m)
	}
	return all
}

func TestPeersAreAFewNearAndAFewFar(t *testing.T) {
	all := installation(24, 60)
	dataCentre := map[netip.AddrPort]string{}
	for _, m := range all {
		dataCentre[m.Control] = m.DataCentre
	}
	for _, m := range all {
		near, far := 0, 0
		for _, a := range ChoosePeers(m, nil, all) {
			require.NotEqual(t, m.Control, a)
			if dataCentre[a] == m.DataCentre {
				near++
			} else {
				far++
			}
		}
		require.Equal(t, nearPeers, near)
		if m.Role == facts.RoleEntry {
			require.Equal(t, farPeers, far)
		} else {
			require.Zero(t, far)
		}
	}
}

// Choices that were mutual more often than by chance would leave groups of entries on their own.
func TestChoicesAreNotMutual(t *testing.T) {
	all := installation(160, 0)
	chosen := map[[2]netip.AddrPort]bool{}
	for _, m := range all {
		for _, a := range ChoosePeers(m, nil, all)[:nearPeers] {
			chosen[[2]netip.AddrPort{m.Control, a}] = true
		}
	}
	mutual := 0
	for c := range chosen {
		if chosen[[2]netip.AddrPort{c[1], c[0]}] {
			mutual++
		}
	}
	// By chance it is nearPeers of the 39 others of a data centre: a thirteenth.
	require.Less(t, mutual, len(chosen)/6)
}

// BenchmarkPublish takes a new fact of a member into a large installation's view.
func BenchmarkPublish(b *testing.B) {
	all := installation(23, 61)
	s := &Spread{Self: all[0], Detect: true}
	s.view.Store(&View{})
	now := time.Unix(1000, 0)
	add := func(m facts.Member, version uint64) {
		f, err := m.Fact(1, version)
		require.NoError(b, err)
		s.publish(now, s.set.MergeAll([]facts.Fact{f}))
	}
	for _, m := range all {
		add(m, 1)
	}
	version := uint64(1)
	for b.Loop() {
		version++
		add(all[30], version)
	}
}
