package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

func TestFlowIsServedThroughItsEntry(t *testing.T) {
	w := newWorld(t, 1, 3)
	h := w.opens(0, 1)
	answered, reset := w.asks(0, 1, h)
	require.True(t, answered)
	require.False(t, reset)
}

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

// A target that has just started answered data of a flow that it never held with a reset (hunt: quiet-1, 4.173 s).
func TestResetOfTargetThatWasOnlyAskedIsDropped(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	for _, o := range w.hosts {
		o.target.resetsUnknown = o != h
	}
	_, reset := w.asks(1, 1, h)
	require.False(t, reset)
}

// A host that was marked down wrongly still answers for its flows (batinah, ack-then-dark, FLOW: its agent had lost all
// its peers).
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

// A host that is down and silent doesn't keep the flows of its dead target waiting for long.
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

// An agent that knows of a host that the entry doesn't makes its denial worthless.
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

// After a total loss a host may be slow to start: the search asks it again instead of waiting for the caller.
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

// With all slots taken, new flows wait where the objective allows it; repeated ones don't stand in their way.
func TestBusyHostsTakeFlowsThatCanStillBeInTime(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.plan.Routes[0].Objective = 150 * time.Millisecond
	for _, h := range w.hosts {
		h.agent.busy, h.agent.serviceTime = 4, 40*time.Millisecond
	}
	w.opens(0, 1)
	before := len(w.toCaller)
	w.send(0, View{Source: caller(2), Opening: true, Copy: 1})
	require.Len(t, w.toCaller, before)
	w.send(0, View{Source: caller(2), Opening: true, Copy: 2})
	require.Greater(t, len(w.toCaller), before)
	for _, h := range w.hosts {
		h.agent.busy = 20
	}
	before = len(w.toCaller)
	w.send(0, View{Source: caller(3), Opening: true})
	require.Len(t, w.toCaller, before, "it would wait longer than its objective")
}

// A target answers nothing to an acknowledgement: that it does not bounce it says that it knows the flow.
func TestSilentTargetOfRestartedAgentHoldsTheFlow(t *testing.T) {
	w := newWorld(t, 2, 5)
	h := w.opens(0, 1)
	w.startAgent(h)
	w.send(1, View{Source: caller(1), Acknowledged: h.target.held[flowOf(1)] + 1})
	require.Empty(t, w.reasons(ActionFound))
	w.pass(bounceTime + time.Millisecond)
	require.Len(t, w.reasons(ActionFound), 1)
}

// Hosts that are asked about a flow must not count its request as theirs (batinah quiet-1: every host seemed busy).
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

// A host that accepted a copy of the opening packet but not the flow says nothing about it after its agent restarted;
// that must not hide the holder (batinah trouble-3 --seed 323218555298, FLOW).
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

// Flows whose callers don't go on are no load: their opening packets had waited at a frozen entry (altiplano trouble-2).
func TestAbandonedOpeningsAreNoLoad(t *testing.T) {
	w := newWorld(t, 1, 1)
	for n := range 4 {
		w.send(0, View{Source: caller(n), Opening: true})
	}
	require.Equal(t, 4, w.hosts[0].agent.Busy())
	w.now = w.now.Add(acceptTime + time.Millisecond)
	w.opens(0, 9)
	require.Equal(t, 1, w.hosts[0].agent.Busy())
}

// A host that ignored an opening packet is left out until it accepts another.
func TestSilentHostIsLeftOut(t *testing.T) {
	w := newWorld(t, 1, 2)
	dead := w.hosts[0]
	w.lose = func(to netip.AddrPort, _ View) bool { return to == dead.member.Packets }
	n := 0
	for w.send(0, View{Source: caller(n), Opening: true}); len(w.toCaller) > n; {
		n++
		w.send(0, View{Source: caller(n), Opening: true})
	}
	w.pass(200 * time.Millisecond)
	w.send(0, View{Source: caller(n), Opening: true, Copy: 1})
	for m := range 5 {
		before := len(w.toCaller)
		w.send(0, View{Source: caller(200 + m), Opening: true})
		require.Greater(t, len(w.toCaller), before)
	}
}

func TestDrainingTargetTakesNoNewFlow(t *testing.T) {
	w := newWorld(t, 1, 2)
	var out Output
	draining := *w.hosts[0].member.Target
	draining.State = facts.TargetDraining
	// Only the agent knows: the entry's directory is out of date.
	w.hosts[0].agent.UseTarget(w.now, draining, true, &out)
	for n := range 20 {
		require.Same(t, w.hosts[1], w.opens(0, n))
	}
	require.Empty(t, w.hosts[0].target.got)
}

func TestNewerPlanAtTheAgentRefusesDroppedRoute(t *testing.T) {
	w := newWorld(t, 1, 1)
	newer := &plan.Plan{Version: 2}
	newer.Index()
	w.hosts[0].agent.UsePlan(newer)
	w.send(0, View{Source: caller(1), Opening: true})
	require.Empty(t, w.hosts[0].target.got)
}

func TestOlderPlanAtTheAgentTrustsTheEntry(t *testing.T) {
	w := newWorld(t, 1, 1)
	empty := &plan.Plan{Version: 1}
	empty.Index()
	w.hosts[0].agent = &Agent{Self: w.hosts[0].member.Packets, Service: "s", Target: targetAddress(w.hosts[0]), Codec: testCodec{}}
	w.hosts[0].agent.UsePlan(empty)
	var out Output
	w.hosts[0].agent.UseTarget(w.now, *w.hosts[0].member.Target, true, &out)
	w.plan = &plan.Plan{Version: 5, Routes: w.plan.Routes}
	w.plan.Index()
	w.tell(0)
	w.opens(0, 1)
}

func TestPlanNeverGoesBack(t *testing.T) {
	w := newWorld(t, 1, 1)
	older := &plan.Plan{Version: 0}
	older.Index()
	w.entries[0].Use(w.now, older, nil)
	w.hosts[0].agent.UsePlan(older)
	w.opens(0, 1)
}

func TestFullTargetsFlowGoesElsewhere(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.hosts[0].target.full = true
	w.hosts[1].target.full = true
	for n := range 10 {
		require.Same(t, w.hosts[2], w.opens(0, n))
	}
}

func TestRepeatedOpeningGoesToAnotherHost(t *testing.T) {
	w := newWorld(t, 1, 2)
	dead := netip.AddrPort{}
	w.lose = func(to netip.AddrPort, v View) bool {
		if v.Opening && !dead.IsValid() && to != w.entries[0].Self {
			dead = to
		}
		return to == dead
	}
	w.send(0, View{Source: caller(1), Opening: true})
	require.Empty(t, w.toCaller)
	w.pass(200 * time.Millisecond)
	w.send(0, View{Source: caller(1), Opening: true, Copy: 1})
	require.NotEmpty(t, w.toCaller)
}

// Two hosts may accept copies of one opening packet; the flow lives where the caller acknowledged the number.
func TestFlowLivesWhereItsAcceptanceWasAcknowledged(t *testing.T) {
	for i := range 2 {
		w := newWorld(t, 1, 2)
		w.send(0, View{Source: caller(1), Opening: true})
		w.send(0, View{Source: caller(1), Opening: true, Copy: 1})
		require.Len(t, w.toCaller, 2)
		w.send(0, View{Source: caller(1), Acknowledged: w.toCaller[i].Sequence + 1, Length: 1})
		for _, h := range w.hosts {
			require.Equal(t, h.target.held[flowOf(1)] == w.toCaller[i].Sequence, h.target.open[flowOf(1)])
		}
	}
}

func TestRebornTargetsFlowsAreResetAtOnce(t *testing.T) {
	w := newWorld(t, 1, 2)
	h := w.opens(0, 1)
	h.startTarget()
	reborn := *h.member.Target
	reborn.BornMs++
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
	reborn.BornMs++
	var out Output
	h.agent.UseTarget(w.now, reborn, true, &out)
	w.emit(h.member.Packets, &out)
	w.settle()
	require.Empty(t, w.reasons(ActionReset))
}

// A late answer names its request, how long it took and what else the target worked on.
func TestLateAnswerIsExplained(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.plan.Routes[0].Objective = 150 * time.Millisecond
	h := w.opens(0, 1)
	data := View{Source: caller(1), Destination: testService, Acknowledged: h.target.held[flowOf(1)] + 1, Length: 3}
	packet := encode(data)
	copy(packet[testHeader:], "id7")
	var out Output
	h.agent.FromEntry(w.now, w.entries[0].Self, packet, &out)
	require.Len(t, out.Decisions, 1)
	require.Equal(t, ActionRequest, out.Decisions[0].Action)
	require.Equal(t, "id7", out.Decisions[0].Request)
	out.Clear()
	answer := View{Source: testService, Destination: caller(1), Length: 1}
	h.agent.FromTarget(w.now.Add(200*time.Millisecond), encode(answer), &out)
	require.Len(t, out.Decisions, 1)
	require.Equal(t, ActionLate, out.Decisions[0].Action)
	require.Equal(t, "id7", out.Decisions[0].Request)
	require.Equal(t, int64(200), out.Decisions[0].AgeMs)
}

func TestStrangersAnswersAreDropped(t *testing.T) {
	w := newWorld(t, 1, 1)
	var out Output
	p := encode(View{Source: caller(1), Destination: testService, Opening: true, Mark: Mark{Code: CodeFull}})
	w.entries[0].Step(w.now, address(99), p, &out)
	require.Empty(t, out.Sends)
}

func indexOf(w *world, h *testHost) int {
	for i := range w.hosts {
		if w.hosts[i] == h {
			return i
		}
	}
	return -1
}
