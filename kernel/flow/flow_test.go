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

func TestRequestOnOpenFlowIsAnswered(t *testing.T) {
	tn := newTestNetwork(t, 1, 3)
	h := tn.openFlow(0, 1)
	answered, reset := tn.sendRequest(0, 1, h)
	require.True(t, answered)
	require.False(t, reset)
}

// If all slots are in use, a new flow waits only if it can still be answered within the objective. A flow whose SYN was
// retransmitted once must not wait, because it would delay other flows.
func TestBusyHostAcceptsFlowIfWaitMeetsObjective(t *testing.T) {
	tn := newTestNetwork(t, 1, 2)
	tn.plan.Routes[0].Objective = 150 * time.Millisecond
	for _, h := range tn.hosts {
		h.agent.busyCount, h.agent.responseTime = 4, 40*time.Millisecond
	}
	tn.openFlow(0, 1)
	before := len(tn.toCaller)
	tn.send(0, Header{Source: caller(2), SYN: true, Attempt: 1})
	require.Len(t, tn.toCaller, before)
	tn.send(0, Header{Source: caller(2), SYN: true, Attempt: 2})
	require.Greater(t, len(tn.toCaller), before)
	for _, h := range tn.hosts {
		h.agent.busyCount = 20
	}
	before = len(tn.toCaller)
	tn.send(0, Header{Source: caller(3), SYN: true})
	require.Len(t, tn.toCaller, before, "the wait would exceed the objective")
}

// SYNs that were delayed at a frozen entry open flows whose callers have given up. These flows must not count as load.
// Seen in run trouble-2 of altiplano.
func TestAbandonedHandshakesDoNotCountAsLoad(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	for n := range 4 {
		tn.send(0, Header{Source: caller(n), SYN: true})
	}
	require.Equal(t, 4, tn.hosts[0].agent.BusyFlowCount())
	tn.now = tn.now.Add(handshakeTimeout + time.Millisecond)
	tn.openFlow(0, 9)
	require.Equal(t, 1, tn.hosts[0].agent.BusyFlowCount())
}

// A host that did not respond to a SYN gets no new flows until it accepts one.
func TestUnresponsiveHostGetsNoNewFlows(t *testing.T) {
	tn := newTestNetwork(t, 1, 2)
	dead := tn.hosts[0]
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return to == dead.member.Packets }
	n := 0
	for tn.send(0, Header{Source: caller(n), SYN: true}); len(tn.toCaller) > n; {
		n++
		tn.send(0, Header{Source: caller(n), SYN: true})
	}
	tn.advance(200 * time.Millisecond)
	tn.send(0, Header{Source: caller(n), SYN: true, Attempt: 1})
	for m := range 5 {
		before := len(tn.toCaller)
		tn.send(0, Header{Source: caller(200 + m), SYN: true})
		require.Greater(t, len(tn.toCaller), before)
	}
}

func TestDrainingTargetTakesNoNewFlow(t *testing.T) {
	tn := newTestNetwork(t, 1, 2)
	var out Output
	draining := *tn.hosts[0].member.Target
	draining.State = facts.TargetDraining
	// Only the agent knows that the target is draining; the entry's directory is out of date.
	tn.hosts[0].agent.UpdateTarget(tn.now, draining, true, &out)
	for n := range 20 {
		require.Same(t, tn.hosts[1], tn.openFlow(0, n))
	}
	require.Empty(t, tn.hosts[0].target.received)
}

func TestAgentWithNewerPlanRefusesRemovedRoute(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	newer := &plan.Plan{Version: 2}
	newer.Index()
	tn.hosts[0].agent.SetPlan(newer)
	tn.send(0, Header{Source: caller(1), SYN: true})
	require.Empty(t, tn.hosts[0].target.received)
}

func TestAgentWithOlderPlanTrustsEntry(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	empty := &plan.Plan{Version: 1}
	empty.Index()
	tn.hosts[0].agent = &Agent{Self: tn.hosts[0].member.Packets, Service: "s", Target: targetAddress(tn.hosts[0]), Codec: testCodec{}}
	tn.hosts[0].agent.SetPlan(empty)
	var out Output
	tn.hosts[0].agent.UpdateTarget(tn.now, *tn.hosts[0].member.Target, true, &out)
	tn.plan = &plan.Plan{Version: 5, Routes: tn.plan.Routes}
	tn.plan.Index()
	tn.updateEntry(0)
	tn.openFlow(0, 1)
}

func TestOlderPlanIsIgnored(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	older := &plan.Plan{Version: 0}
	older.Index()
	tn.entries[0].Update(tn.now, older, nil)
	tn.hosts[0].agent.SetPlan(older)
	tn.openFlow(0, 1)
}

func TestFlowRefusedByFullTargetIsPlacedOnAnotherHost(t *testing.T) {
	tn := newTestNetwork(t, 1, 3)
	tn.hosts[0].target.full = true
	tn.hosts[1].target.full = true
	for n := range 10 {
		require.Same(t, tn.hosts[2], tn.openFlow(0, n))
	}
}

func TestRetransmittedSYNGoesToAnotherHost(t *testing.T) {
	tn := newTestNetwork(t, 1, 2)
	dead := netip.AddrPort{}
	tn.dropPacket = func(to netip.AddrPort, hdr Header) bool {
		if hdr.SYN && !dead.IsValid() && to != tn.entries[0].Self {
			dead = to
		}
		return to == dead
	}
	tn.send(0, Header{Source: caller(1), SYN: true})
	require.Empty(t, tn.toCaller)
	tn.advance(200 * time.Millisecond)
	tn.send(0, Header{Source: caller(1), SYN: true, Attempt: 1})
	require.NotEmpty(t, tn.toCaller)
}

// Two hosts may accept transmissions of the same SYN. The flow belongs to the host whose sequence number the caller
// acknowledged.
func TestFlowBelongsToHostWhoseSYNACKWasAcknowledged(t *testing.T) {
	for i := range 2 {
		tn := newTestNetwork(t, 1, 2)
		tn.send(0, Header{Source: caller(1), SYN: true})
		tn.send(0, Header{Source: caller(1), SYN: true, Attempt: 1})
		require.Len(t, tn.toCaller, 2)
		tn.send(0, Header{Source: caller(1), Acknowledged: tn.toCaller[i].Sequence + 1, Length: 1})
		for _, h := range tn.hosts {
			require.Equal(t, h.target.initialSequence[flowOf(1)] == tn.toCaller[i].Sequence, h.target.established[flowOf(1)])
		}
	}
}

// A late answer must be reported with its request and the time that it took.
func TestLateAnswerIsReported(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	tn.plan.Routes[0].Objective = 150 * time.Millisecond
	h := tn.openFlow(0, 1)
	data := Header{Source: caller(1), Destination: testService, Acknowledged: h.target.initialSequence[flowOf(1)] + 1, Length: 3}
	packet := encode(data)
	copy(packet[testHeaderLength:], "id7")
	var out Output
	h.agent.HandleEntryPacket(tn.now, tn.entries[0].Self, packet, &out)
	require.Len(t, out.Decisions, 1)
	require.Equal(t, ActionRequestForwarded, out.Decisions[0].Action)
	require.Equal(t, "id7", out.Decisions[0].Request)
	out.Clear()
	answer := Header{Source: testService, Destination: caller(1), Length: 1}
	h.agent.HandleTargetPacket(tn.now.Add(200*time.Millisecond), encode(answer), &out)
	require.Len(t, out.Decisions, 1)
	require.Equal(t, ActionAnswerLate, out.Decisions[0].Action)
	require.Equal(t, "id7", out.Decisions[0].Request)
	require.Equal(t, int64(200), out.Decisions[0].AgeMs)
}

func TestAgentRepliesFromUnknownAddressesAreDropped(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	var out Output
	p := encode(Header{Source: caller(1), Destination: testService, SYN: true, Mark: Mark{Code: CodeFull}})
	tn.entries[0].HandlePacket(tn.now, address(99), p, &out)
	require.Empty(t, out.Packets)
}

// An entry's memory must not grow with the number of hosts that have ever existed.
func TestLoadOfRemovedHostsIsDeleted(t *testing.T) {
	tn := newTestNetwork(t, 1, 3)
	for i := range 50 {
		tn.hosts[0].member.Instance = fmt.Sprintf("agent-new-%d", i)
		tn.updateEntry(0)
		tn.advance(time.Second)
	}
	require.Len(t, tn.entries[0].hostLoads, 3)
}

func TestFindReturnsFlowsOfCaller(t *testing.T) {
	tn := newTestNetwork(t, 1, 3)
	f := flowOf(1)
	holder := tn.openFlow(0, 1)
	held := tn.entries[0].Find(tn.now, f.Caller)
	require.Len(t, held, 1)
	require.Equal(t, f, held[0].Flow)
	require.Equal(t, holder.member.Instance, held[0].Instance)
	found := holder.agent.Find(tn.now, f.Caller)
	require.Len(t, found, 1)
	require.Equal(t, f, found[0].Flow)
	require.Empty(t, tn.entries[0].Find(tn.now, gue.Endpoint{Port: f.Caller.Port}))
}

// An agent that has just started has no plan yet. It accepted every flow that entries asked it to let wait, so that callers
// waited beyond their objective where other hosts had free slots.
func TestAgentWithoutPlanLimitsTheWait(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	a := tn.hosts[0].agent
	a.plan, a.busyCount, a.responseTime = nil, 20, 40*time.Millisecond
	code, _ := a.checkNewFlow(tn.now, flowOf(1), &Header{Mark: Mark{Code: CodeForce}})
	require.Equal(t, CodeBusy, code)
	a.busyCount = 5
	code, _ = a.checkNewFlow(tn.now, flowOf(1), &Header{Mark: Mark{Code: CodeForce}})
	require.Equal(t, CodeNone, code)
}

// Callers retransmit a request while a search for its flow goes on, and the copies reach the target after its answer. The
// agent counted each of them as a request in progress for ten seconds, so that its host seemed busy (annex, scale-1).
func TestRetransmittedRequestIsNoLoadAfterItsAnswer(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	h := tn.openFlow(0, 1)
	request := Header{Source: caller(1), Acknowledged: h.target.initialSequence[flowOf(1)] + 1, Sequence: 100, Length: 10}
	silent := true
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return silent && to == targetAddress(h) }
	tn.send(0, request)
	require.Equal(t, 1, h.agent.BusyFlowCount())
	silent = false
	tn.send(0, request)
	require.Zero(t, h.agent.BusyFlowCount(), "answered")
	silent = true
	tn.send(0, request)
	require.Zero(t, h.agent.BusyFlowCount())
	request.Sequence += 10
	tn.send(0, request)
	require.Equal(t, 1, h.agent.BusyFlowCount(), "the next request")
}
