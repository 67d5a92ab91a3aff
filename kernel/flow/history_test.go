package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
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
	tn.plan = &plan.Plan{Version: 1, History: plan.Succeed(tn.now, nil, tn.plan, false)}
	tn.usePlan(services[0])
	tn.updateAgents()
	tn.advance(2 * time.Minute)
	return tn
}

// nextPlan makes the plan that gives the services to the route the one that updateEntry distributes. Without services,
// it has no route.
func (tn *testNetwork) nextPlan(services ...string) {
	next := &plan.Plan{Version: tn.plan.Version + 1}
	var shares []plan.Share
	for _, s := range services {
		shares = append(shares, plan.Share{Service: s, Weight: 1})
	}
	if len(services) > 0 {
		next.Routes = []plan.Route{{Address: testService, Shares: shares}}
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
// doesn't know its holder. The entry asked only the services of the plan in force, and reset the live flow after 14 ms. The
// same goes for an entry that does not have the plan yet under which another one placed the flow.
func TestFlowOfEarlierServiceIsFound(t *testing.T) {
	for name, change := range map[string]func(tn *testNetwork, first *plan.Plan){
		"shareRemoved":         func(tn *testNetwork, _ *plan.Plan) { tn.usePlan("a") },
		"serviceChanged":       func(tn *testNetwork, _ *plan.Plan) { tn.usePlan("c") },
		"twoChanges":           func(tn *testNetwork, _ *plan.Plan) { tn.usePlan("c"); tn.usePlan("a") },
		"droppedAndAddedAgain": func(tn *testNetwork, _ *plan.Plan) { tn.usePlan(); tn.usePlan("a") },
		"entryRestarted": func(tn *testNetwork, _ *plan.Plan) {
			tn.usePlan("a")
			tn.plan.History = nil
			tn.startEntry(1)
			tn.advance(groupSettleTime)
		},
		"planSkipped": func(tn *testNetwork, _ *plan.Plan) {
			tn.nextPlan("b", "c")
			tn.nextPlan("a")
			tn.updateEntry(1)
		},
		"planNotYetKnown": func(tn *testNetwork, first *plan.Plan) {
			tn.plan = first
			tn.startEntry(1)
			tn.advance(groupSettleTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tn := newServicesNetwork(t, "a", "b", "c")
			first := tn.plan
			tn.usePlan("a", "b")
			n, h := tn.openFlowAt("b")
			change(tn, first)
			answered, reset := tn.sendRequest(1, n, h)
			require.False(t, reset)
			require.True(t, answered)
		})
	}
}

// A host of a service that never had the route must not delay the reset of a dead flow, unless the entry's history is
// incomplete or a newer plan is known to exist. Then it may hold the flow.
func TestSilentHostOfAnotherService(t *testing.T) {
	for name, prepare := range map[string]func(tn *testNetwork){
		"complete":   func(*testNetwork) {},
		"incomplete": func(tn *testNetwork) { tn.plan.History = nil },
		"newerPlan":  func(tn *testNetwork) { tn.entries[1].NewestPlan = tn.plan.Version + 1 },
	} {
		tn := newServicesNetwork(t, "a", "b")
		prepare(tn)
		tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return to == tn.hosts[3].member.Packets }
		n, h := tn.openFlowAt("a")
		h.startTarget()
		_, reset := tn.sendRequest(1, n, h)
		require.False(t, reset, "a newer plan may be on its way")
		tn.runLoad(searchTimeout+planSettleTime, never)
		require.Equal(t, name == "complete", len(tn.decisionReasons(ActionReset)) == 1, name)
	}
}

// Pattern: a host that was cut off and holds the flow is reachable again, but still marked as down, and its service is asked
// last. Its silence counted as a denial after the first question, because the hosts asked before had been asked again.
func TestDownHostThatIsAskedLastIsAskedAgain(t *testing.T) {
	tn := newServicesNetwork(t, "b", "a")
	n, h := tn.openFlowAt("b")
	tn.usePlan("a")
	tn.plan.History = nil
	h.member.State = facts.StateDown
	tn.updateEntry(1)
	tn.updateAgents()
	tn.advance(groupSettleTime)
	tn.entries[1].hostLoadOf(h.member.Instance).silent = 5
	asked, silentUntil := 0, tn.now.Add(5*locateRetryInterval/2)
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool {
		if to == h.member.Packets {
			asked++
		}
		return to == h.member.Packets && asked == 1 || to == tn.hosts[2].member.Packets && tn.now.Before(silentUntil)
	}
	tn.sendRequest(1, n, h)
	for range 12 {
		tn.advance(60 * time.Millisecond)
	}
	require.Empty(t, tn.decisionReasons(ActionReset))
	require.Len(t, tn.decisionReasons(ActionFound), 1)
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

// Guards against asking all hosts again, on a thin link, whenever the target of one host restarts.
func TestChangeOfOneHostKeepsTheDenialsOfOthers(t *testing.T) {
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
	for i, want := range []bool{true, false, true, false} {
		require.Equal(t, want, asked[tn.hosts[i].member.Packets], i)
	}
}

// newFleetLoad returns the network of newSearchLoad with the hosts of three services, one of which has the route. The
// entry has no history.
func newFleetLoad(t *testing.T, routeQuestions bool) *testNetwork {
	tn := newSearchLoad(t, true)
	for i, h := range tn.hosts {
		h.member.Service = []string{"s", "u", "v"}[i%3]
		h.agent.Service = h.member.Service
		h.member.RouteQuestions = routeQuestions
	}
	tn.updateEntry(0)
	tn.updateAgents()
	tn.advance(groupSettleTime)
	return tn
}

// Pattern: all machines lost power. Entries know one plan only and must ask the hosts of all services about the flows that
// callers go on with. That must cost little more than asking the hosts of the route's service about each flow.
func TestLostFlowsOfAFleetAreResetSoon(t *testing.T) {
	for _, routeQuestions := range []bool{true, false} {
		tn := newFleetLoad(t, routeQuestions)
		tn.sendLostFlows(loadFlows)
		tn.runLoad(3*time.Second, func() bool { return len(tn.entries[0].searches) == 0 })
		require.Len(t, tn.decisionReasons(ActionReset), loadFlows)
		limit := 2 * loadHosts * flowLength
		if routeQuestions {
			limit /= 3
		}
		require.Less(t, tn.sentBytes[tn.entries[0].Self]/loadFlows, limit)
	}
}

// Guards against a question about a route that hides a flow: one of a host that holds another flow of the route, too.
func TestRouteQuestionsFindLiveFlows(t *testing.T) {
	tn := newFleetLoad(t, true)
	holder := tn.hosts[1]
	require.Equal(t, "u", holder.member.Service)
	for n := range 2 {
		holder.target.initialSequence[flowOf(n)] = 1
		holder.agent.track(flowOf(n), &agentFlow{state: stateOpen})
	}
	tn.sendLostFlows(2 * maxSingleQuestions)
	tn.runLoad(3*time.Second, func() bool { return len(tn.entries[0].searches) == 0 })
	require.Len(t, tn.decisionReasons(ActionFound), 2)
	require.Len(t, tn.decisionReasons(ActionReset), 2*maxSingleQuestions-2)
	holder.agent.flows.Purge()
	holder.agent.Sweep(tn.now, &Output{})
	require.Equal(t, answerDenied, holder.agent.answerFor(routeFlow(testService)))
	holder.agent.sawAllSYNs = false
	require.Equal(t, answerUnsure, holder.agent.answerFor(routeFlow(testService)))
}

// Guards against the answer to a question about a route that counts for a flow opened after the question, or for a host
// that may hold flows of the route.
func TestRouteAnswerCountsForEarlierSearchesOnly(t *testing.T) {
	tn := newFleetLoad(t, true)
	e, out := tn.entries[0], &Output{}
	for n := range 2 {
		tn.sendUnknownPacket(0, n)
		s := e.searches[flowOf(n)].search
		e.widenToOthers(tn.now, flowOf(n), s)
		tn.now = tn.now.Add(time.Millisecond)
	}
	other := e.hostLoadOf(tn.hosts[1].member.Instance)
	q := &askedQuestion{host: other, asked: e.searches[flowOf(0)].search.started, routes: true}
	e.handleRouteAnswer(tn.now, testService, q, answerDenied, true, out)
	for n, want := range []answer{answerDenied, answerNone} {
		s := e.searches[flowOf(n)].search
		require.Equal(t, want, s.answers[s.indexOf(other)])
	}
	q.host = e.hostLoadOf(tn.hosts[0].member.Instance)
	e.handleRouteAnswer(tn.now, testService, q, answerDenied, true, out)
	s := e.searches[flowOf(0)].search
	require.Equal(t, answerNone, s.answers[s.indexOf(q.host)])
}

// Guards against this fault: a plan that a peer reports during a search does not make the group's history incomplete, so that after planSettleTime
// the silence of the newer plan's service does not put the reset off.
func TestPlanReportedDuringASearch(t *testing.T) {
	tn := newTestNetwork(t, 2, 3)
	holder := tn.hosts[2]
	holder.member.Service, holder.agent.Service = "other", "other"
	tn.plan.History = &plan.History{Since: tn.now.Add(-time.Hour), Earlier: map[gue.Endpoint][]plan.EarlierService{}}
	for i := range tn.entries {
		tn.updateEntry(i)
	}
	tn.updateAgents()
	for _, h := range tn.hosts {
		h.agent.sawAllSYNs = true
	}
	tn.advance(time.Second)
	// The second entry has a newer plan, under which the flow is on the other service.
	newer := *tn.plan
	newer.Version++
	newer.Routes = []plan.Route{{Name: "r", Address: testService, Shares: []plan.Share{{Service: "other", Weight: 1}}}}
	newer.Index()
	holder.agent.SetPlan(&newer)
	tn.entries[1].Update(tn.now, &newer, tn.entries[1].directory)
	require.Equal(t, holder, tn.openFlow(1, 1))
	// The holder's agent does not answer for a second, e.g. because it is suspended.
	tn.dropPacket = func(to netip.AddrPort, hdr Header) bool { return to == holder.member.Packets }
	tn.sendRequest(0, 1, holder)
	tn.advance(400 * time.Millisecond)
	tn.entries[0].NewestPlan = newer.Version
	for range 20 {
		tn.advance(50 * time.Millisecond)
	}
	require.Empty(t, tn.decisionReasons(ActionReset))
}

// Guards against this fault: the data of a caller's request is sent to the targets of services that never had the route.
func TestSearchSendsDataToOtherServices(t *testing.T) {
	tn := newTestNetwork(t, 2, 3)
	other := tn.hosts[2]
	other.member.Service, other.agent.Service = "other", "other"
	for i := range tn.entries {
		tn.updateEntry(i)
	}
	tn.updateAgents()
	tn.advance(time.Second)
	h := tn.openFlow(0, 1)
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return to == h.member.Packets }
	tn.sendRequest(1, 1, h)
	for range 20 {
		tn.advance(50 * time.Millisecond)
	}
	for _, hdr := range other.target.received {
		require.Zero(t, hdr.Length, "request data at a target of another service")
	}
}
