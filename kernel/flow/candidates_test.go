package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// Guards against a placement that considers other hosts than a search for the flow's holder asks first.
func TestFirstCandidatesFollowTheRank(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Unix(1000, 0)
		e := &Entry{DataCentre: "a", Codec: testCodec{}, hostLoads: map[string]*hostLoad{}}
		g, ef := &Group{}, &entryFlow{}
		for i := range rapid.IntRange(1, 40).Draw(r, "hosts") {
			h := &Host{
				Instance: fmt.Sprint("h", i), DataCentre: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "dataCentre"),
				Placeable: rapid.IntRange(0, 3).Draw(r, "placeable") > 0, nameHash: rapid.Uint64Range(0, 50).Draw(r, "hash"),
			}
			g.Hosts = append(g.Hosts, h)
			hl := e.hostLoadOf(h.Instance)
			if rapid.IntRange(0, 3).Draw(r, "refused") == 0 {
				hl.refusedUntil = now.Add(time.Second)
			}
			if ef.triedCount < maxTriedHosts && rapid.IntRange(0, 3).Draw(r, "tried") == 0 {
				ef.triedHosts[ef.triedCount] = hl
				ef.triedCount++
			}
		}
		allowTried := rapid.Bool().Draw(r, "allowTried")
		var want []*Host
		for _, ranked := range g.rank(flowOf(7), "a", nil) {
			if e.mayTake(now, ranked.host, ef, allowTried) && len(want) < maxCandidates {
				want = append(want, ranked.host)
			}
		}
		var got []*Host
		for _, ranked := range e.firstCandidates(now, flowOf(7), g, ef, allowTried) {
			got = append(got, ranked.host)
		}
		require.Equal(r, want, got)
	})
}

// BenchmarkChooseHost measures the choice of a host for a new flow.
func BenchmarkChooseHost(b *testing.B) {
	for _, hosts := range []int{50, 5000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var members []facts.Member
			for i := range hosts {
				m := facts.Member{Instance: fmt.Sprint("h", i), Role: facts.RoleAgent, Service: "s", DataCentre: string(rune('a' + i%3)), State: facts.StateServing}
				m.Packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), testPort)
				m.Target = &facts.Target{ID: m.Instance, StartedMs: 1, State: facts.TargetReady, Slots: modelSlots}
				members = append(members, m)
			}
			e := &Entry{Self: address(1), DataCentre: "a", Codec: testCodec{}, Policy: placement.LeastExpectedWait{}, Contention: true}
			p := &plan.Plan{Version: 1}
			p.Index()
			now := time.Unix(1000, 0)
			e.Update(now, p, NewDirectory(members))
			ef := &entryFlow{}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				hl := e.chooseHost(now, gue.Flow{Caller: caller(i), Service: testService}, "s", ef, false)
				if i%3 == 0 {
					hl.noteRoom(now, encodeRoom(room{busy: 3, slots: modelSlots, serviceTime: 20 * time.Millisecond}))
				}
			}
		})
	}
}
