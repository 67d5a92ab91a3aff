package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// newServicesNetwork returns a network with two entries, and two hosts of each service, whose plan gives the first
// service to the route. The entries' histories are complete.
func newServicesNetwork(t *testing.T, services ...string) *testNetwork {
	tn := newTestNetwork(t, 2, 2*len(services))
	for i, h := range tn.hosts {
		h.member.Service = services[i/2]
		tn.startAgent(h)
	}
	tn.plan = nil
	tn.usePlan(services[0])
	tn.updateAgents()
	tn.advance(2 * time.Minute)
	return tn
}

// nextPlan makes the plan that gives the services to the route the one that updateEntry distributes. Without services,
// it has no route.
func (tn *testNetwork) nextPlan(services ...string) {
	next := &plan.Plan{Version: 10}
	if tn.plan != nil {
		next.Version = tn.plan.Version + 1
	}
	if len(services) > 0 {
		next.Routes = []plan.Route{{Address: testService}}
	}
	for _, s := range services {
		next.Routes[0].Shares = append(next.Routes[0].Shares, plan.Share{Service: s, Weight: 1})
	}
	next.Index()
	next.History = plan.Succeed(tn.now, tn.plan, next, false)
	tn.plan = next
}

// usePlan puts a plan in force everywhere.
func (tn *testNetwork) usePlan(services ...string) {
	tn.nextPlan(services...)
	for i := range tn.entries {
		tn.updateEntry(i)
	}
	for _, h := range tn.hosts {
		h.agent.SetPlan(tn.plan)
	}
}

// openFlowAt opens flows until one is on a host of the service. It returns the flow's number and the host.
func (tn *testNetwork) openFlowAt(service string) (int, *testHost) {
	for n := range 100 {
		if h := tn.openFlow(0, n); h.member.Service == service {
			return n, h
		}
	}
	tn.t.Fatal("no flow was placed on the service")
	return 0, nil
}

// Pattern: a change of the plan leaves open flows where they are, and a packet of one of them reaches an entry that
// doesn't know its holder. The entry asked only the services of the plan in force, and reset the live flow after 14 ms.
func TestFlowOfEarlierServiceIsFound(t *testing.T) {
	for name, change := range map[string]func(tn *testNetwork){
		"shareRemoved":   func(tn *testNetwork) { tn.usePlan("a") },
		"serviceChanged": func(tn *testNetwork) { tn.usePlan("c") },
		"twoChanges":     func(tn *testNetwork) { tn.usePlan("c"); tn.usePlan("a") },
		"droppedAndAddedAgain": func(tn *testNetwork) {
			tn.usePlan()
			tn.advance(time.Second)
			tn.usePlan("a")
		},
		"entryRestarted": func(tn *testNetwork) {
			tn.usePlan("a")
			tn.plan.History = nil
			tn.startEntry(1)
			tn.advance(groupSettleTime)
		},
		"planSkipped": func(tn *testNetwork) {
			tn.nextPlan("b", "c")
			tn.nextPlan("a")
			tn.updateEntry(1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tn := newServicesNetwork(t, "a", "b", "c")
			tn.usePlan("a", "b")
			n, h := tn.openFlowAt("b")
			change(tn)
			answered, reset := tn.sendRequest(1, n, h)
			require.False(t, reset)
			require.True(t, answered)
		})
	}
}

// Pattern: an entry that still uses an earlier plan gets a packet of a flow that another entry placed on a service that
// only the new plan gives to the route.
func TestFlowOfNewerPlanIsNotReset(t *testing.T) {
	tn := newServicesNetwork(t, "a", "b")
	tn.nextPlan("b")
	tn.updateEntry(0)
	for _, h := range tn.hosts {
		h.agent.SetPlan(tn.plan)
	}
	n, h := tn.openFlowAt("b")
	answered, reset := tn.sendRequest(1, n, h)
	require.False(t, reset)
	require.True(t, answered)
}

// Guards against an agent that falls back to an older plan because two goroutines pass it plans in another order.
func TestAgentIgnoresAnOlderPlan(t *testing.T) {
	var a Agent
	a.SetPlan(&plan.Plan{Version: 2})
	a.SetPlan(&plan.Plan{Version: 1})
	require.Equal(t, uint64(2), a.planVersion())
}

// A host of a service that never had the route must not delay the reset of a dead flow, unless the entry's history is
// incomplete. Then it may hold the flow.
func TestSilentHostOfAnotherService(t *testing.T) {
	for _, complete := range []bool{true, false} {
		tn := newServicesNetwork(t, "a", "b")
		if !complete {
			tn.nextPlan("a")
			tn.plan.History = nil
			tn.updateEntry(1)
		}
		silent := tn.hosts[3].member.Packets
		tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return to == silent }
		n, h := tn.openFlowAt("a")
		h.startTarget()
		_, reset := tn.sendRequest(1, n, h)
		require.False(t, reset, "a newer plan may be on its way")
		tn.runLoad(2*planSettleTime, never)
		require.Equal(t, complete, len(tn.decisionReasons(ActionReset)) == 1)
		tn.runLoad(searchTimeout, never)
		require.Equal(t, complete, len(tn.decisionReasons(ActionUncertain)) == 0)
	}
}

// Guards against a complete history that is trusted although a peer has reported a newer plan.
func TestHistoryIsIncompleteWhileANewerPlanIsKnown(t *testing.T) {
	tn := newServicesNetwork(t, "a", "b")
	tn.entries[1].NewestPlan = tn.plan.Version + 1
	silent := tn.hosts[3].member.Packets
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return to == silent }
	n, h := tn.openFlowAt("a")
	h.startTarget()
	tn.sendRequest(1, n, h)
	tn.runLoad(2*planSettleTime, never)
	require.Empty(t, tn.decisionReasons(ActionReset))
}

// A service without known hosts may have some that this entry has not learned of yet.
func TestResetWaitsForHostsOfEarlierService(t *testing.T) {
	tn := newServicesNetwork(t, "a", "b")
	n, h := tn.openFlowAt("a")
	h.startTarget()
	tn.usePlan("b")
	for _, o := range tn.hosts[:2] {
		o.member.State = facts.StateLeft
	}
	tn.updateEntry(1)
	_, reset := tn.sendRequest(1, n, h)
	require.False(t, reset)
	tn.advance(groupSettleTime)
	require.Equal(t, []string{"nobodyHolds"}, tn.decisionReasons(ActionReset))
}

// Guards against asking all hosts again, on a thin link, whenever a host of one service joins.
func TestChangeOfOneServiceKeepsTheDenialsOfOthers(t *testing.T) {
	tn := newServicesNetwork(t, "a", "b", "c")
	tn.usePlan("a", "b")
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return to == tn.hosts[0].member.Packets }
	tn.sendLostFlows(1)
	tn.dropPacket = nil
	s := tn.entries[0].searches[flowOf(0)].search
	require.Equal(t, 3, s.countAnswers(answerDenied))
	tn.hosts[2].member.Target.ID = "another"
	tn.updateEntry(0)
	tn.updateAgents()
	asked := map[netip.AddrPort]bool{}
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { asked[to] = true; return false }
	tn.advance(loadTick)
	for i, want := range []bool{true, false, true, true} {
		require.Equal(t, want, asked[tn.hosts[i].member.Packets], i)
	}
}

// Pattern: all machines lost power. Entries know one plan only and must ask the hosts of all services about each of the
// flows that callers go on with. They must get through in about the time that the link allows for one question a host.
func TestLostFlowsOfAFleetAreResetSoon(t *testing.T) {
	tn := newSearchLoad(t, true)
	for i, h := range tn.hosts {
		h.member.Service = []string{"s", "u", "v"}[i%3]
		h.agent.Service = h.member.Service
	}
	tn.updateEntry(0)
	tn.updateAgents()
	tn.advance(groupSettleTime)
	tn.sendLostFlows(loadFlows)
	tn.runLoad(3*time.Second, func() bool { return len(tn.entries[0].searches) == 0 })
	require.Len(t, tn.decisionReasons(ActionReset), loadFlows)
	require.Less(t, tn.sentBytes[tn.entries[0].Self]/loadFlows, 2*loadHosts*flowLength)
}
