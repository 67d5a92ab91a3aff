package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

func TestAnotherEntryFindsTheHolder(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	answered, reset := w.asks(1, 1, h)
	require.True(t, answered)
	require.False(t, reset)
	before := len(w.reasons(ActionSearch))
	answered, _ = w.asks(1, 1, h)
	require.True(t, answered)
	require.Len(t, w.reasons(ActionSearch), before, "the entry remembers the holder")
}

func TestSearchReachesHostsBeyondTheFirstCandidates(t *testing.T) {
	w := newWorld(t, 2, 3*candidates)
	for n := range 20 {
		h := w.opens(0, n)
		for _, e := range w.entries {
			e.DataCentre = "x"
		}
		answered, reset := w.asks(1, n, h)
		require.True(t, answered)
		require.False(t, reset)
	}
}

func TestRestartedAgentAsksItsTarget(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	w.startAgent(h)
	answered, reset := w.asks(1, 1, h)
	require.True(t, answered)
	require.False(t, reset)
}

func TestFlowOfDeadTargetIsReset(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	h.startTarget()
	_, reset := w.asks(1, 1, h)
	require.True(t, reset)
}

func TestFlowOfUnansweringHostIsNotReset(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	w.lose = func(to netip.AddrPort, _ View) bool { return to == h.member.Packets }
	for range 5 {
		_, reset := w.asks(1, 1, h)
		require.False(t, reset)
		w.pass(searchLimit)
	}
}

func TestResetOfTargetThatWasOnlyAskedIsDropped(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	for _, o := range w.hosts {
		o.target.resetsUnknown = o != h
	}
	_, reset := w.asks(1, 1, h)
	require.False(t, reset)
}

func TestHostThatIsDownIsAskedToo(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	h.member.State = facts.StateDown
	w.tell(0)
	w.tell(1)
	w.tellAgents()
	w.pass(settleTime)
	answered, reset := w.asks(1, 1, h)
	require.True(t, answered)
	require.False(t, reset)
}

func TestFlowOfDeadHostIsReset(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	h.member.State = facts.StateDown
	w.tell(0)
	w.tell(1)
	w.tellAgents()
	w.lose = func(to netip.AddrPort, _ View) bool { return to == h.member.Packets }
	_, reset := w.asks(1, 1, h)
	require.False(t, reset)
	for range 10 {
		w.pass(askAgain)
	}
	require.True(t, w.toCaller[len(w.toCaller)-1].Reset)
}

func TestNewHostUnsettlesCertainty(t *testing.T) {
	w := newWorld(t, 2, 3)
	h := w.opens(0, 1)
	h.startTarget()
	w.hosts[(indexOf(w, h)+1)%3].member.Target.ID = "another"
	w.tell(0)
	w.tell(1)
	_, reset := w.asks(1, 1, h)
	require.False(t, reset, "a directory that changed just now proves nothing")
	before := len(w.toCaller)
	w.tellAgents()
	w.pass(settleTime)
	require.Greater(t, len(w.toCaller), before, "the search goes on by itself")
	require.True(t, w.toCaller[len(w.toCaller)-1].Reset)
}

func TestDenialFromAnotherPictureIsNotCertain(t *testing.T) {
	w := newWorld(t, 2, 3)
	h := w.opens(0, 1)
	h.startTarget()
	other := w.hosts[(indexOf(w, h)+1)%3].agent
	other.digest++
	_, reset := w.asks(1, 1, h)
	require.False(t, reset)
	other.digest--
	w.pass(askAgain)
	require.True(t, w.toCaller[len(w.toCaller)-1].Reset)
}

func TestSearchAsksAgain(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	w.lose = func(to netip.AddrPort, _ View) bool { return to == h.member.Packets }
	answered, _ := w.asks(1, 1, h)
	require.False(t, answered)
	w.lose = nil
	before := len(w.toCaller)
	w.pass(askAgain)
	require.Greater(t, len(w.toCaller), before)
	require.Positive(t, w.toCaller[len(w.toCaller)-1].Length)
}

func TestSilentTargetOfRestartedAgentHoldsTheFlow(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	w.startAgent(h)
	w.send(1, View{Source: caller(1), Acknowledged: h.target.held[flowOf(1)] + 1})
	require.Empty(t, w.reasons(ActionFound))
	w.pass(bounceTime + time.Millisecond)
	require.Len(t, w.reasons(ActionFound), 1)
}

func TestAskedHostsAreNotBusy(t *testing.T) {
	w := newWorld(t, 2, 3)
	h := w.opens(0, 1)
	for _, o := range w.hosts {
		o.target.resetsUnknown = o != h
	}
	w.asks(1, 1, h)
	for _, o := range w.hosts {
		require.Zero(t, o.agent.Busy())
	}
}

func TestHolderGoesBeforeHostsThatMayHoldTheFlow(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.send(0, View{Source: caller(1), Opening: true})
	w.send(0, View{Source: caller(1), Opening: true, Copy: 1})
	w.send(0, View{Source: caller(1), Acknowledged: w.toCaller[0].Sequence + 1, Length: 1})
	var holder, other *testHost
	for _, h := range w.hosts {
		if h.target.open[flowOf(1)] {
			holder = h
		} else {
			other = h
		}
	}
	w.startAgent(other)
	w.startAgent(holder)
	w.tellAgents()
	finish := View{Source: caller(1), Acknowledged: holder.target.held[flowOf(1)] + 1, Finish: true}
	w.lose = func(to netip.AddrPort, _ View) bool { return to == holder.member.Packets }
	w.send(1, finish)
	w.pass(bounceTime + time.Millisecond)
	w.lose = nil
	w.pass(askAgain)
	w.pass(askAgain)
	answered, reset := w.asks(1, 1, holder)
	require.True(t, answered)
	require.False(t, reset)
}

func TestRebornTargetsFlowsAreResetAtOnce(t *testing.T) {
	w := newWorld(t, 1, 2)
	h := w.opens(0, 1)
	h.startTarget()
	reborn := *h.member.Target
	reborn.StartedMs++
	var out Output
	h.agent.UseTarget(w.now, reborn, true, &out)
	w.emit(h.member.Packets, &out)
	w.settle()
	require.True(t, w.toCaller[len(w.toCaller)-1].Reset)
}

func TestLiveFlowOfRebornTargetIsKept(t *testing.T) {
	w := newWorld(t, 1, 2)
	h := w.opens(0, 1)
	// The flow was opened at the new incarnation, whose first word comes only now.
	reborn := *h.member.Target
	reborn.StartedMs++
	var out Output
	h.agent.UseTarget(w.now, reborn, true, &out)
	w.emit(h.member.Packets, &out)
	w.settle()
	require.Empty(t, w.reasons(ActionReset))
}

func indexOf(w *world, h *testHost) int {
	for i := range w.hosts {
		if w.hosts[i] == h {
			return i
		}
	}
	return -1
}

// asked counts the packets of a round of the searches.
func (w *world) asked(entry int, behind bool) int {
	var out Output
	w.entries[entry].Search(w.now, behind, &out)
	return len(out.Sends)
}

func (w *world) unknownPacket(entry, n int) *Output {
	f := flowOf(n)
	var out Output
	w.entries[entry].Step(w.now, netip.AddrPort{}, encode(View{Source: f.Caller, Destination: f.Service, Length: 1, Sequence: 1, Acknowledged: 1}), &out)
	return &out
}

// An entry that is behind with its packets has not read the answers yet: asking again would only add to its work
// (grown batinah, trouble-1: 5,851 packets sent and 6 read in a second).
func TestEntryThatIsBehindAsksNobodyAgain(t *testing.T) {
	w := newWorld(t, 1, 20)
	w.unknownPacket(0, 1)
	w.now = w.now.Add(2 * askAgain)
	require.Zero(t, w.asked(0, true))
	require.NotZero(t, w.asked(0, false))
}

func TestOneRoundOfSearchesIsBounded(t *testing.T) {
	w := newWorld(t, 1, 20)
	for n := range 200 {
		w.unknownPacket(0, n)
	}
	w.now = w.now.Add(2 * askAgain)
	require.Less(t, w.asked(0, false), asksAtOnce+20)
}

// Answers widen a search by themselves: the likely hosts come first, then all.
func TestSearchAsksInStages(t *testing.T) {
	w := newWorld(t, 1, 20)
	out := w.unknownPacket(0, 1)
	s := w.entries[0].searches[flowOf(1)].search
	require.Len(t, out.Sends, candidates)
	stages := []int{s.reach}
	for i := 0; i < len(s.group.hosts); i++ {
		if i == s.reach-1 {
			require.Len(t, w.entries[0].searches, 1)
		}
		w.deny(0, 1, s.group.hosts[i])
		if last := stages[len(stages)-1]; s.reach != last {
			stages = append(stages, s.reach)
		}
	}
	require.Equal(t, []int{candidates, len(s.group.hosts)}, stages)
}

// deny gives an entry a host's denial of a flow.
func (w *world) deny(entry, n int, l *hostLoad) {
	f := flowOf(n)
	e := w.entries[entry]
	p := encode(View{Source: f.Caller, Destination: f.Service, Length: 1, Sequence: 1, Acknowledged: 1})
	e.Codec.SetMark(p, Mark{Code: CodeNotHere, Value: uint32(e.directory.Group("s").Digest)})
	var out Output
	e.Step(w.now, l.host.Packets, p, &out)
}
