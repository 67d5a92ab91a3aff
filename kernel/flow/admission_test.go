package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
