package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// faultTest applies random faults to a testNetwork and checks its invariants after each step.
type faultTest struct {
	*testNetwork
	r *rapid.T
	// holders maps the flows that callers opened to the targets that hold them.
	holders map[int]*testTarget
	// draining maps draining targets to the number of SYNs that they had received when the drain began.
	draining   map[*testTarget]int
	nextCaller int
}

func (ft *faultTest) entry() int { return rapid.IntRange(0, len(ft.entries)-1).Draw(ft.r, "entry") }

func (ft *faultTest) host() *testHost {
	return ft.hosts[rapid.IntRange(0, len(ft.hosts)-1).Draw(ft.r, "host")]
}

// openRandomFlow makes a new caller open a flow through a random entry, if a host accepts it.
func (ft *faultTest) openRandomFlow() {
	n, e, before := ft.nextCaller, ft.entry(), len(ft.toCaller)
	ft.nextCaller++
	ft.send(e, Header{Source: caller(n), SYN: true})
	if len(ft.toCaller) == before || !ft.toCaller[before].SYNACK {
		return
	}
	ft.send(e, Header{Source: caller(n), Acknowledged: ft.toCaller[before].Sequence + 1})
	for _, h := range ft.hosts {
		if h.target.established[flowOf(n)] {
			ft.holders[n] = h.target
		}
	}
}

// sendRandomRequest sends a request on a random open flow through a random entry.
func (ft *faultTest) sendRandomRequest() {
	if ft.nextCaller == 0 {
		return
	}
	n := rapid.IntRange(0, ft.nextCaller-1).Draw(ft.r, "flow")
	if t := ft.holders[n]; t != nil {
		ft.send(ft.entry(), Header{Source: caller(n), Acknowledged: t.initialSequence[flowOf(n)] + 1, Length: 1})
	}
}

func (ft *faultTest) crashTarget() {
	h := ft.host()
	for n, t := range ft.holders {
		if t == h.target {
			delete(ft.holders, n)
		}
	}
	h.startTarget()
	t := *h.member.Target
	t.StartedMs++
	h.member.Target = &t
	var out Output
	h.agent.UpdateTarget(ft.now, t, true, &out)
	ft.queueOutput(h.member.Packets, &out)
	ft.deliverAll()
}

func (ft *faultTest) drainTarget() {
	h := ft.host()
	t := *h.member.Target
	t.State = facts.TargetDraining
	h.member.Target = &t
	var out Output
	h.agent.UpdateTarget(ft.now, t, true, &out)
	ft.draining[h.target] = countSYNs(h.target)
}

func countSYNs(t *testTarget) int {
	count := 0
	for _, hdr := range t.received {
		if hdr.SYN {
			count++
		}
	}
	return count
}

// dropEveryNth loses every nth packet, for a random n.
func (ft *faultTest) dropEveryNth() {
	n := rapid.IntRange(2, 6).Draw(ft.r, "n")
	seen := 0
	ft.dropPacket = func(netip.AddrPort, Header) bool {
		seen++
		return seen%n == 0
	}
}

func (ft *faultTest) updateAll() {
	for i := range ft.entries {
		ft.updateEntry(i)
	}
	ft.updateAgents()
}

func (ft *faultTest) checkInvariants() {
	for _, hdr := range ft.toCaller {
		if hdr.RST {
			n := int(hdr.Destination.Address[2])<<8 | int(hdr.Destination.Address[3])
			require.Nil(ft.t, ft.holders[n], "flow %d was reset while its target holds it", n)
		}
	}
	for t, before := range ft.draining {
		require.LessOrEqual(ft.t, countSYNs(t), before, "a draining target took a new flow")
	}
}

// TestFlowsSurviveRandomFaults applies random directory updates, restarts, crashes, drains and packet loss. No live
// flow may be reset, no draining target may get a new flow, and once the faults are over every live flow must be
// served through any entry.
func TestFlowsSurviveRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		ft := &faultTest{
			testNetwork: newTestNetwork(t, rapid.IntRange(1, 3).Draw(r, "entries"), rapid.IntRange(2, 12).Draw(r, "hosts")),
			r:           r, holders: map[int]*testTarget{}, draining: map[*testTarget]int{},
		}
		steps := map[string]func(){
			"open": ft.openRandomFlow, "open again": ft.openRandomFlow,
			"request": ft.sendRandomRequest, "request again": ft.sendRandomRequest, "update directories": ft.updateAll,
			"crash": ft.crashTarget, "drain": ft.drainTarget, "drop packets": ft.dropEveryNth,
			"stop dropping": func() { ft.dropPacket = nil },
			"advance time":  func() { ft.advance(time.Duration(rapid.IntRange(1, 700).Draw(r, "ms")) * time.Millisecond) },
			"restart entry": func() { ft.startEntry(ft.entry()) },
			"restart agent": func() { ft.startAgent(ft.host()) },
		}
		names := []string{
			"open", "open again", "request", "request again", "update directories", "crash", "drain", "drop packets",
			"stop dropping", "advance time", "restart entry", "restart agent",
		}
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			steps[rapid.SampledFrom(names).Draw(r, "step")]()
			ft.checkInvariants()
		}
		ft.dropPacket = nil
		ft.updateAll()
		ft.advance(searchTimeout + time.Second)
		for n, target := range ft.holders {
			ft.requireServed(n, target)
		}
		ft.checkInvariants()
	})
}

// requireServed retransmits a request as a caller does, and fails unless it is answered.
func (ft *faultTest) requireServed(n int, target *testTarget) {
	e := ft.entry()
	for range 4 {
		before := len(ft.toCaller)
		ft.send(e, Header{Source: caller(n), Acknowledged: target.initialSequence[flowOf(n)] + 1, Length: 1})
		for _, hdr := range ft.toCaller[before:] {
			if hdr.Length > 0 && hdr.FlowFromTarget() == flowOf(n) {
				return
			}
		}
		ft.advance(200 * time.Millisecond)
	}
	ft.t.Fatalf("flow %d is held by a target but not served", n)
}
