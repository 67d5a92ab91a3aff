package peer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const testDataCentres = 4

// testMembers returns entries and agents distributed over testDataCentres data centres.
func testMembers(entries, agents int) []facts.Member {
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

// TestPeersPerDataCentre checks the number of peers in the same and in other data centres, for entries and agents.
func TestPeersPerDataCentre(t *testing.T) {
	all := testMembers(24, 60)
	dataCentre := map[netip.AddrPort]string{}
	for _, m := range all {
		dataCentre[m.Control] = m.DataCentre
	}
	for _, m := range all {
		local, remote := 0, 0
		for _, a := range (Selection{}).ChoosePeers(m, nil, all) {
			require.NotEqual(t, m.Control, a)
			if dataCentre[a] == m.DataCentre {
				local++
			} else {
				remote++
			}
		}
		require.Equal(t, localPeerCount, local)
		if m.Role == facts.RoleEntry {
			require.Equal(t, remotePeerCount, remote)
		} else {
			require.Zero(t, remote)
		}
	}
}

// TestExpectedMembersAreThoseThatChooseTheEntry checks that the quick test of an entry agrees with the choice that the
// members make, for data centres with few and with many entries.
func TestExpectedMembersAreThoseThatChooseTheEntry(t *testing.T) {
	for _, entries := range []int{1, 4, 7, 40} {
		all := testMembers(entries, 30)
		candidates := listCandidates(nil, all)
		index := indexCandidates(candidates)
		for _, self := range all[:entries] {
			require.True(t, index.contains(self))
			for _, m := range all {
				for _, s := range []Selection{{}, {SpanDataCentres: true}} {
					if m.Instance != self.Instance {
						require.Equal(t, slices.Contains(s.selectPeers(m, candidates), self.Control), index.isChosen(s, self, m))
					}
				}
			}
		}
	}
}

// Guards against hosts of a lost data centre that nobody finds silent, because all entries that they exchanged with were
// lost with them. Flows on these hosts were told of their end only 3 s later.
func TestAgentsOfALostDataCentreAreMissedByOthers(t *testing.T) {
	all := testMembers(24, 60)
	index := indexCandidates(listCandidates(nil, all))
	for _, m := range all {
		missed := slices.ContainsFunc(all, func(self facts.Member) bool {
			return self.Role == facts.RoleEntry && self.DataCentre != m.DataCentre && index.isChosen(Selection{SpanDataCentres: true}, self, m)
		})
		require.True(t, missed, m.Instance)
		require.Len(t, Selection{SpanDataCentres: true}.ChoosePeers(m, nil, all), len(Selection{}.ChoosePeers(m, nil, all)))
	}
}

// TestPeerChoicesAreNotSymmetric checks that mutual choices are not much more frequent than by chance. Otherwise
// groups of entries that only choose each other would be isolated.
func TestPeerChoicesAreNotSymmetric(t *testing.T) {
	all := testMembers(160, 0)
	chosen := map[[2]netip.AddrPort]bool{}
	for _, m := range all {
		for _, a := range (Selection{}).ChoosePeers(m, nil, all)[:localPeerCount] {
			chosen[[2]netip.AddrPort{m.Control, a}] = true
		}
	}
	mutual := 0
	for c := range chosen {
		if chosen[[2]netip.AddrPort{c[1], c[0]}] {
			mutual++
		}
	}
	// A random choice among the 39 other entries of a data centre is mutual with probability localPeerCount/39 = 1/13.
	require.Less(t, mutual, len(chosen)/6)
}

// BenchmarkUpdateView measures the update of the view of a large fleet after a change of one member.
func BenchmarkUpdateView(b *testing.B) {
	all := testMembers(23, 61)
	g := &Gossip{Self: all[0], DetectFailures: true}
	g.view.Store(&View{})
	now := time.Unix(1000, 0)
	add := func(m facts.Member, version uint64) {
		f, err := m.Fact(1, version)
		require.NoError(b, err)
		g.updateMembers(g.set.MergeAll([]facts.Fact{f}))
		g.publishView(now)
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

// Pattern: all instances of a fleet return after a loss of power, and each publishes its new state. An entry must not
// spend its core on a new view for each of them.
func TestViewsAreSpacedWhileManyMembersChange(t *testing.T) {
	var p viewPace
	now := time.Unix(1000, 0)
	const cost = 5 * time.Millisecond
	require.LessOrEqual(t, p.wait(now), time.Duration(0), "a single change is published at once")
	busy := time.Duration(0)
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(time.Millisecond) {
		if p.wait(now) > 0 {
			continue
		}
		p.done(now, now.Add(cost))
		now, busy = now.Add(cost), busy+cost
	}
	require.Less(t, busy, 220*time.Millisecond)
	p.done(now, now.Add(time.Hour))
	require.LessOrEqual(t, p.wait(now.Add(time.Hour)), maxPublicationDelay)
}
