package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

func TestFlowIsServedThroughItsEntry(t *testing.T) {
	w := newWorld(t, 1, 3)
	h := w.opens(0, 1)
	answered, reset := w.asks(0, 1, h)
	require.True(t, answered)
	require.False(t, reset)
}

// A target that has just started answered data of a flow that it never held with a reset (hunt: quiet-1, 4.173 s).

// A host that was marked down wrongly still answers for its flows (batinah, ack-then-dark, FLOW: its agent had lost all

// its peers).

// A host that is down and silent doesn't keep the flows of its dead target waiting for long.

// An agent that knows of a host that the entry doesn't makes its denial worthless.

// After a total loss a host may be slow to start: the search asks it again instead of waiting for the caller.

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

// Hosts that are asked about a flow must not count its request as theirs (batinah quiet-1: every host seemed busy).

// A host that accepted a copy of the opening packet but not the flow says nothing about it after its agent restarted;

// that must not hide the holder (batinah trouble-3 --seed 323218555298, FLOW).

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

// What an entry knows of hosts doesn't grow with the hosts that there ever were.
func TestLoadOfHostsThatLeftIsForgotten(t *testing.T) {
	w := newWorld(t, 1, 3)
	for i := range 50 {
		w.hosts[0].member.Instance = fmt.Sprintf("agent-new-%d", i)
		w.tell(0)
		w.pass(time.Second)
	}
	require.Len(t, w.entries[0].loads, 3)
}

func TestFindTellsOfACallersFlows(t *testing.T) {
	w := newWorld(t, 1, 3)
	f := flowOf(1)
	holder := w.opens(0, 1)
	held := w.entries[0].Find(w.now, f.Caller)
	require.Len(t, held, 1)
	require.Equal(t, f, held[0].Flow)
	require.Equal(t, holder.member.Instance, held[0].Instance)
	found := holder.agent.Find(w.now, f.Caller)
	require.Len(t, found, 1)
	require.Equal(t, f, found[0].Flow)
	require.Empty(t, w.entries[0].Find(w.now, gue.Endpoint{Port: f.Caller.Port}))
}
