package flow

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// evacuate gives all entries, and the agents if they are told, a directory in which the data centres are evacuated.
func (tn *testNetwork) evacuate(tellAgents bool, dataCentres ...string) {
	evacuations := facts.Evacuations{Active: map[string]bool{}}
	for _, dc := range dataCentres {
		evacuations.Active[dc] = true
	}
	var members []facts.Member
	for _, h := range tn.hosts {
		members = append(members, h.member)
		if tellAgents {
			h.agent.SetEvacuated(tn.now, evacuations.Active[h.member.DataCentre])
		}
	}
	d := NewDirectoryWithEvacuations(members, evacuations)
	for _, e := range tn.entries {
		e.Update(tn.now, tn.plan, d)
	}
}

// newDataCentres returns a network whose hosts and entries are spread evenly over three data centres.
func newDataCentres(t *testing.T, entries, hosts int) *testNetwork {
	tn := newTestNetwork(t, entries, hosts)
	for i, h := range tn.hosts {
		h.member.DataCentre = string(rune('a' + i%3))
	}
	for i, e := range tn.entries {
		e.DataCentre = string(rune('a' + i%3))
		tn.updateEntry(i)
	}
	return tn
}

func TestEvacuatedHostsGetNoNewFlowsAndKeepOpenOnes(t *testing.T) {
	tn := newDataCentres(t, 4, 12)
	h := tn.openFlow(0, 1)
	require.Equal(t, "a", h.member.DataCentre)
	digest := tn.entries[0].directory.Group("s").Digest
	tn.evacuate(true, "a")
	require.Equal(t, digest, tn.entries[0].directory.Group("s").Digest, "agents and entries must still agree on the hosts")
	for n := range 30 {
		require.NotEqual(t, "a", tn.openFlow(n%4, 10+n).member.DataCentre)
	}
	for _, entry := range []int{0, 3, 1} {
		answered, reset := tn.sendRequest(entry, 1, h)
		require.True(t, answered)
		require.False(t, reset)
	}
	tn.evacuate(true)
	require.Equal(t, "a", tn.openFlow(0, 90).member.DataCentre)
}

// Guards against an entry that has not learned the evacuation yet: the agents refuse, and the flow goes elsewhere.
func TestAgentRefusesNewFlowsWhileEvacuated(t *testing.T) {
	tn := newDataCentres(t, 1, 6)
	tn.evacuate(true, "a")
	tn.evacuate(false)
	require.NotEqual(t, "a", tn.openFlow(0, 1).member.DataCentre)
	require.Contains(t, tn.decisionReasons(ActionRefused), "evacuated")
	for _, h := range tn.hosts {
		require.True(t, h.member.DataCentre != "a" || len(h.target.received) == 0)
	}
}

// Guards against a caller that uses the port of a closed flow again through an entry that remembers the holder of the old
// one: the SYN is a new flow, which must not reach the evacuated host.
func TestSYNOfClosedFlowDoesNotReachEvacuatedHost(t *testing.T) {
	tn := newDataCentres(t, 4, 6)
	h := tn.openFlow(0, 1)
	answered, _ := tn.sendRequest(0, 1, h)
	require.True(t, answered)
	tn.send(3, Header{Source: caller(1), Acknowledged: h.target.initialSequence[flowOf(1)] + 1, FIN: true})
	tn.evacuate(true, "a")
	before := countSYNs(h.target)
	tn.send(0, Header{Source: caller(1), SYN: true})
	require.Equal(t, before, countSYNs(h.target))
	require.True(t, tn.toCaller[len(tn.toCaller)-1].SYNACK, "the flow must be placed elsewhere")
}

func TestRouteWithOnlyEvacuatedHostsIsRefusedAtOnce(t *testing.T) {
	tn := newDataCentres(t, 1, 6)
	tn.evacuate(true, "a", "b", "c")
	tn.send(0, Header{Source: caller(1), SYN: true})
	require.Len(t, tn.toCaller, 1)
	require.True(t, tn.toCaller[0].RST)
	require.Equal(t, []string{"evacuated"}, tn.decisionReasons(ActionUnplaced))
	require.Empty(t, tn.entries[0].held)
	tn.hosts[1].member.Target, tn.hosts[4].member.State = nil, facts.StateDown
	tn.evacuate(true, "a", "c")
	tn.send(0, Header{Source: caller(2), SYN: true})
	require.Len(t, tn.entries[0].held, 1, "the host may become ready")
	tn.hosts[1].member.State = facts.StateDown
	tn.evacuate(true, "a", "c")
	tn.releaseHeld()
	require.Len(t, tn.toCaller, 2)
	tn.evacuate(true, "a", "b", "c")
	require.Equal(t, 6, tn.entries[0].directory.EvacuatedCount(), "the entry must stay ready for open flows")
}

// Guards against a reset of a flow that may have been accepted: its SYN is on the way to a host when the last data centre
// is evacuated.
func TestSYNWithoutAnswerIsNotRefused(t *testing.T) {
	tn := newDataCentres(t, 1, 6)
	tn.dropPacket = func(_ netip.AddrPort, hdr Header) bool { return hdr.SYNACK }
	tn.send(0, Header{Source: caller(1), SYN: true})
	tn.evacuate(true, "a", "b", "c")
	tn.advance(200 * time.Millisecond)
	tn.send(0, Header{Source: caller(1), SYN: true, Attempt: 1})
	for _, hdr := range tn.toCaller {
		require.False(t, hdr.RST)
	}
}

// Guards against placing a flow before a started entry has learned the evacuations. What it knows of members and plan
// does not suffice.
func TestNewFlowsAreHeldUntilEvacuationsAreKnown(t *testing.T) {
	tn := newDataCentres(t, 1, 6)
	var members []facts.Member
	for _, h := range tn.hosts {
		members = append(members, h.member)
	}
	d := NewDirectoryWithEvacuations(members, facts.Evacuations{Unknown: true, Active: map[string]bool{"a": true, "b": true, "c": true}})
	require.Zero(t, d.PlaceableCount()+d.EvacuatedCount(), "the entry must not be ready")
	tn.entries[0].Update(tn.now, tn.plan, d)
	tn.send(0, Header{Source: caller(1), SYN: true})
	tn.advance(holdTimeout / 2)
	tn.releaseHeld()
	require.Empty(t, tn.toCaller)
	tn.evacuate(true, "b", "c")
	tn.releaseHeld()
	require.Len(t, tn.toCaller, 1)
	require.True(t, tn.toCaller[0].SYNACK)
	tn.entries[0].Update(tn.now, tn.plan, d)
	tn.send(0, Header{Source: caller(2), SYN: true, Attempt: lastAttempt})
	tn.advance(holdTimeout + time.Millisecond)
	tn.releaseHeld()
	require.True(t, tn.toCaller[len(tn.toCaller)-1].RST)
}

// Load: 30 flows open at once, one request each, at three entries of the evacuated data centre a, on 12 hosts of 4 slots
// (32 slots outside a). All must be placed, on every host outside a, and no host gets twice its share.
func TestEvacuatedDemandIsSpreadOverOtherDataCentres(t *testing.T) {
	tn := newDataCentres(t, 3, 12)
	for _, e := range tn.entries {
		e.DataCentre = "a"
	}
	tn.evacuate(true, "a")
	opened := map[*testHost]int{}
	for n := range 30 {
		opened[tn.openFlow(n%3, n)]++
	}
	require.Len(t, opened, 8)
	for h, count := range opened {
		require.NotEqual(t, "a", h.member.DataCentre)
		require.Less(t, count, 2*30/8)
	}
	require.Empty(t, tn.decisionReasons(ActionUnplaced))
}

// Guards against searches that ask the evacuated hosts of the entry's data centre first: most flows are elsewhere by then.
// Evacuated hosts of other data centres must not take the place of those that placement may choose.
func TestOrderOfFlowPutsEvacuatedHostsAfterCandidates(t *testing.T) {
	tn := newDataCentres(t, 1, 60)
	for _, test := range []struct {
		dataCentre string
		remote     int
	}{{"a", maxCandidates}, {"b", remoteCandidates}} {
		tn.evacuate(false, "a")
		ranked := tn.entries[0].directory.Group("s").rank(flowOf(1), test.dataCentre, nil)
		remote := 0
		for _, r := range ranked[:maxCandidates] {
			require.True(t, r.host.Placeable)
			if r.host.DataCentre != test.dataCentre {
				remote++
			}
		}
		require.Equal(t, test.remote, remote)
		require.Len(t, ranked, 60)
	}
}

// Guards against this fault: a retransmission through another entry is reset as "evacuated" although a host has accepted the first copy.
func TestEvacuatedResetOfAcceptedFlow(t *testing.T) {
	tn := newTestNetwork(t, 2, 2)
	tn.placeInDataCentres(func(int) string { return "a" })
	tn.dropPacket = func(_ netip.AddrPort, hdr Header) bool { return hdr.SYNACK }
	tn.send(0, Header{Source: caller(1), SYN: true})
	tn.dropPacket = nil
	tn.advance(100 * time.Millisecond)
	tn.evacuate(true, "a")
	tn.advance(100 * time.Millisecond)
	tn.send(1, Header{Source: caller(1), SYN: true, Attempt: 1})
	for _, hdr := range tn.toCaller {
		require.False(t, hdr.RST, "a host has accepted the first copy")
	}
}

// Guards against this fault: with an evacuated data centre, some flows have no candidate in the remaining other data centre.
func TestEvacuatedHostsTakeThePlacesOfRemoteCandidates(t *testing.T) {
	tn := newTestNetwork(t, 1, 60)
	tn.placeInDataCentres(func(i int) string { return string(rune('a' + i%3)) })
	tn.evacuate(true, "c")
	e := tn.entries[0]
	g := e.directory.Group("s")
	without, differ := 0, 0
	for n := range 1000 {
		f := flowOf(n)
		var want, got []string
		for _, r := range g.rank(f, "a", nil) {
			if r.host.Placeable && len(want) < maxCandidates {
				want = append(want, r.host.Instance)
			}
		}
		remote := 0
		for _, r := range e.firstCandidates(tn.now, f, g, &entryFlow{}, false) {
			got = append(got, r.host.Instance)
			if r.host.DataCentre != "a" {
				remote++
			}
		}
		if remote == 0 {
			without++
		}
		if !slices.Equal(want, got) {
			differ++
		}
	}
	t.Logf("of 1000 flows: %d without a remote candidate, %d with other candidates than rank", without, differ)
	require.Zero(t, differ)
}
