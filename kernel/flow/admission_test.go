package flow

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// modelKinds are the kinds of request of customer A.
func modelKinds() []kind {
	route := func(name string, port uint16, objective time.Duration) plan.Route {
		return plan.Route{
			Name: name, Address: gue.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: port}, Objective: objective,
			Shares: []plan.Share{{Service: "s", Weight: 1}},
		}
	}
	return []kind{
		{route: route("order", 1, 200*time.Millisecond), deadline: 1200 * time.Millisecond, work: 28 * time.Millisecond, share: 0.35, value: 2, lateValue: 0.1},
		{route: route("query", 2, 250*time.Millisecond), deadline: 1500 * time.Millisecond, work: 22 * time.Millisecond, share: 0.35, value: 1, lateValue: 0.1},
		{route: route("download", 3, 800*time.Millisecond), deadline: 4 * time.Second, work: 5 * time.Millisecond, share: 0.3, value: 1, lateValue: 0.1},
	}
}

// capacity returns the requests in a second that a number of hosts can serve. Callers hold a slot during the handshake.
func capacity(kinds []kind, hosts int) float64 {
	work := 0.0
	for _, k := range kinds {
		work += k.share * k.work.Seconds()
	}
	return float64(hosts*modelSlots) / work
}

// priorities is the priorities of modelKinds: equal, or as customer A has them.
var priorities = map[string][3]int{"equal": {2, 2, 2}, "orders first": {1, 2, 2}}

// runOverload runs the model at a load. With atOnce, the plan names deadlines, so that hopeless flows are refused at once.
func runOverload(seed uint64, load float64, priority [3]int, atOnce bool, d time.Duration) *model {
	kinds := modelKinds()
	for i := range kinds {
		kinds[i].route.Priority = priority[i]
		if atOnce {
			kinds[i].route.Deadline = kinds[i].deadline
		}
	}
	m := newModel(seed, kinds, map[string][2]int{"a": {22, 46}})
	rate := load * capacity(kinds, 46)
	m.rate = func(string) float64 { return rate }
	m.run(d)
	return m
}

// Guards against refusals that serve callers worse than the copies of their SYNs. Compares the value of all answers with
// and without the rule, and requires that below capacity nearly all answers are in time.
func TestRefusalAtOnceServesCallersBetter(t *testing.T) {
	for name, priority := range priorities {
		for _, load := range []float64{0.9, 1.1, 1.5} {
			t.Run(fmt.Sprintf("%s %.1f", name, load), func(t *testing.T) {
				t.Parallel()
				before, after := runOverload(1, load, priority, false, time.Second), runOverload(1, load, priority, true, time.Second)
				t.Logf("copies only: value %.3f\n%s", before.value(), before.table())
				t.Logf("refusal at once: value %.3f\n%s", after.value(), after.table())
				require.Greater(t, after.value(), before.value()-0.005)
				if load < 1 {
					require.Greater(t, after.value(), 0.99)
				}
				if priority[0] < priority[1] {
					require.Greater(t, float64(after.results[0].inTime), 0.98*float64(after.results[0].asked))
				}
			})
		}
	}
}

// Guards against a reset while a host may still accept the flow in time, or while one has not answered.
func TestOnlyHopelessFlowsAreRefusedAtOnce(t *testing.T) {
	busy := func(n int) *hostLoad {
		return &hostLoad{room: room{busy: n, slots: 2, serviceTime: 20 * time.Millisecond, routeTime: 20 * time.Millisecond}}
	}
	route := plan.Route{Objective: 250 * time.Millisecond, Deadline: time.Second}
	ef := &entryFlow{triedCount: 2, loadDeclines: 2, triedHosts: [maxTriedHosts]*hostLoad{busy(9), busy(7)}}
	require.True(t, ef.isHopeless(&route), "200 ms to the next copy and 80 ms with the shorter queue")
	ef.attempt = 1
	require.False(t, ef.isHopeless(&route), "another entry may have placed the first copy")
	ef.attempt = 0
	ef.triedHosts[1] = busy(2)
	require.False(t, ef.isHopeless(&route), "200 ms to the next copy and 30 ms")
	ef.triedHosts[1] = busy(7)
	ef.loadDeclines = 1
	require.False(t, ef.isHopeless(&route), "one host did not answer, or refused for another reason")
	ef.loadDeclines = 2
	require.False(t, ef.isHopeless(&plan.Route{Objective: 800 * time.Millisecond, Deadline: time.Second}))
	require.False(t, ef.isHopeless(&plan.Route{Objective: 250 * time.Millisecond}), "no deadline in the plan")
	require.False(t, (&entryFlow{}).isHopeless(&route), "nobody was asked")
}

// Guards against this fault: from the 33rd route on, no flow is refused at once, also if the first 32 routes are gone or have no objective.
func TestRefusalAtOnceAfterManyRoutes(t *testing.T) {
	now := time.Unix(1000, 0)
	c := routeChances{}
	for i := range 32 {
		c.noteArrival(now, &plan.Route{Address: gue.Endpoint{Address: [4]byte{198, 18, 1, byte(i)}, Port: 443}})
	}
	r := &plan.Route{Address: testService, Objective: 200 * time.Millisecond, Deadline: time.Second}
	now = now.Add(time.Hour)
	for range 10 {
		c.noteArrival(now, r)
	}
	require.True(t, c.noteTurnedAway(now, r))
}

// Guards against this fault: CodeForce goes to a paced host after four tries although other hosts have free slots.
func TestPaceIsBypassedWhileOthersAreFree(t *testing.T) {
	tn := newTestNetwork(t, 1, 12)
	for _, h := range tn.hosts[:6] {
		h.agent.Paced = true
		h.agent.startPace("started", &Output{})
		h.agent.pace.Start(4)
	}
	paced := 0
	for n := range 40 {
		// Paced hosts have one busy flow, their limit; all have 4 slots.
		for _, h := range tn.hosts {
			h.agent.busyCount = 1
		}
		h := tn.openFlow(0, n+1)
		if slices.Index(tn.hosts, h) < 6 {
			paced++
		}
		tn.advance(60 * time.Millisecond)
	}
	require.Zero(t, paced)
}

// Guards against this fault: a SYN of a caller that closed its earlier flow is not counted or checked if the target has not closed it.
func TestReusedPortAtADrainingHost(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	h := tn.openFlow(0, 1)
	tn.send(0, Header{Source: caller(1), FIN: true, Acknowledged: h.target.initialSequence[flowOf(1)] + 1})
	target := *h.member.Target
	target.State = facts.TargetDraining
	h.agent.UpdateTarget(tn.now, target, true, &Output{})
	before := len(h.target.received)
	tn.send(0, Header{Source: caller(1), SYN: true})
	require.Len(t, h.target.received, before, "a draining target gets a new flow")
}

// Guards against this fault: after a copy that was dropped as "silent", the next one counts as a flow of which no host was
// sent a copy, and is reset while the host that accepted the first one is avoided.
func TestLastCopyAfterASilentOne(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	tn.dropPacket = func(_ netip.AddrPort, hdr Header) bool { return hdr.SYNACK }
	tn.send(0, Header{Source: caller(1), SYN: true})
	tn.advance(200 * time.Millisecond)
	tn.send(0, Header{Source: caller(1), SYN: true, Attempt: 1})
	tn.advance(399 * time.Millisecond)
	tn.dropPacket = nil
	tn.send(0, Header{Source: caller(1), SYN: true, Attempt: 2})
	for _, hdr := range tn.toCaller {
		require.False(t, hdr.RST, "the host has accepted the first copy")
	}
}
