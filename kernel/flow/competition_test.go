package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// competingAgent is an agent whose target serves flows in order, without a network.
type competingAgent struct {
	*Agent
	now     time.Time
	holding []gue.Flow
	number  int
}

// newCompetingAgent returns an agent with the routes of modelKinds at the given priorities.
func newCompetingAgent(queue int, priorities ...int) *competingAgent {
	p := &plan.Plan{Version: 1}
	for i, k := range modelKinds() {
		k.route.Priority = priorities[i]
		p.Routes = append(p.Routes, k.route)
	}
	p.Index()
	c := &competingAgent{now: time.Unix(1000, 0), Agent: &Agent{Service: "s", Codec: testCodec{}, Contention: true}}
	c.SetPlan(p)
	c.UpdateTarget(c.now, facts.Target{ID: "t", StartedMs: 1, State: facts.TargetReady, Slots: modelSlots}, true, &Output{})
	c.competition.noteBounce(modelSlots+queue, modelSlots, 1)
	c.serviceTimes.all.observe(25 * time.Millisecond)
	return c
}

// ask gives the agent a SYN of a route that may wait. If it is admitted, the target holds the flow.
func (c *competingAgent) ask(route int) string {
	c.number++
	f := gue.Flow{Caller: caller(c.number), Service: c.plan.Routes[route].Address}
	code, reason := c.checkNewFlow(c.now, f, &Header{SYN: true, Mark: Mark{Code: CodeForce, Value: 1}})
	if code == CodeNone {
		af := &agentFlow{requested: true}
		c.track(f, af)
		c.setBusy(af, c.now)
		c.holding = append(c.holding, f)
	}
	return reason
}

// answer ends the oldest request.
func (c *competingAgent) answer() {
	f := c.holding[0]
	c.holding = c.holding[1:]
	af, _ := c.flows.Get(f)
	c.endRequest(c.now, f, af)
}

// want makes the agent see a route's demand for the given share of the slots.
func (c *competingAgent) want(route int, share float64) {
	c.competition.demand[level(&c.plan.Routes[route])].add(c.now, share*modelSlots*demandAge.Seconds())
}

// Guards against idle slots while a flow asks, against refusals of flows that would be answered in time with their part
// of the queue free, and against a route of lower priority that takes the part of the others.
func TestAdmissionByPriority(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		queue := rapid.IntRange(1, 12).Draw(r, "queue")
		c := newCompetingAgent(queue, 1, 2, 2)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(r, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(r, "answer") && len(c.holding) > 0 {
				c.answer()
				continue
			}
			route := rapid.IntRange(0, 2).Draw(r, "route")
			busy, rt := c.busyCount, &c.plan.Routes[route]
			wanted := c.competition.wantedAbove(c.now, rt, modelSlots)
			wait := expectedWait(float64(busy), modelSlots, c.serviceTimes.all.mean)
			service := c.serviceTimes.of(rt.Address)
			reason := c.ask(route)
			full := float64(busy+1) > modelSlots+(1-wanted)*float64(queue)
			switch {
			case busy < modelSlots:
				require.Empty(r, reason, "a free slot stays idle")
			case reason == "wait":
				require.Greater(r, wait+service, rt.Objective)
			case reason == "priority":
				require.Positive(r, wanted, "nobody of higher priority wants the host")
				require.True(r, full || time.Duration(float64(wait)/(1-wanted))+service > rt.Objective)
			default:
				require.False(r, wanted > 0 && full && busy < c.competition.capacity, "more than its part of the queue")
				require.LessOrEqual(r, wait+service, rt.Objective)
			}
		}
	})
}

// Guards against priorities that change anything where the plan gives all routes the same one.
func TestEqualPrioritiesDoNotCompete(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		priority := rapid.IntRange(0, 9).Draw(r, "priority")
		c := newCompetingAgent(8, priority, priority, priority)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			c.now = c.now.Add(time.Millisecond)
			require.NotEqual(r, "priority", c.ask(rapid.IntRange(0, 2).Draw(r, "route")))
			if rapid.Bool().Draw(r, "answer") && len(c.holding) > 0 {
				c.answer()
			}
		}
		require.Zero(r, c.competition.demand)
	})
}

// Guards against room that stays reserved for a route after its burst.
func TestReservedRoomIsGivenBack(t *testing.T) {
	c := newCompetingAgent(8, 1, 2, 2)
	c.want(0, 0.6)
	for c.ask(1) == "" {
	}
	require.Equal(t, modelSlots+3, c.busyCount, "40% of the queue of 8")
	require.Empty(t, c.ask(0), "the rest is for the route of higher priority")
	c.now = c.now.Add(4 * demandAge)
	require.Empty(t, c.ask(1))
	c.now = c.now.Add(4 * demandAge)
	for range 3 {
		require.Empty(t, c.ask(1))
	}
}

// Guards against a flow of lower priority that waits without limit because its SYN was the last retransmission.
func TestLastRetransmissionDoesNotTakeReservedRoom(t *testing.T) {
	c := newCompetingAgent(8, 1, 2, 2)
	for range modelSlots + 8 {
		c.ask(0)
	}
	hdr := &Header{SYN: true, Attempt: lastAttempt, Mark: Mark{Code: CodeForce, Value: 1}}
	f := gue.Flow{Caller: caller(900), Service: c.plan.Routes[1].Address}
	code, _ := c.checkNewFlow(c.now, f, hdr)
	require.Equal(t, CodeNone, code, "nobody else has been seen to want the host")
	c.want(0, 0.5)
	code, reason := c.checkNewFlow(c.now, f, hdr)
	require.Equal(t, CodeBusy, code)
	require.Equal(t, "priority", reason)
}

// Guards against a queue length learned from a target that has restarted since.
func TestQueueIsLearnedByIncarnation(t *testing.T) {
	var c competition
	c.noteBounce(1, 2, 1)
	require.Zero(t, c.capacity, "bounced with a slot free")
	c.noteBounce(10, 2, 1)
	c.noteAccepted(12, 1)
	require.Equal(t, 12, c.capacity)
	c.noteAccepted(1, 2)
	require.Zero(t, c.capacity)
}

// Guards against a burst of a route of lower priority that delays the others' requests.
func TestBurstDoesNotDelayHigherPriority(t *testing.T) {
	kinds := modelKinds()
	kinds[0].route.Priority, kinds[1].route.Priority, kinds[2].route.Priority = 1, 2, 2
	kinds[0].share, kinds[1].share = 0.25, 0.45
	m := newModel(1, kinds, map[string][2]int{"a": {4, 8}})
	rate := 1.5 * capacity(kinds, 8)
	m.rate = func(string) float64 { return rate }
	m.run(2 * time.Second)
	t.Logf("value %.3f\n%s", m.value(), m.table())
	first := m.results[0]
	require.Greater(t, float64(first.inTime), 0.97*float64(first.asked))
}
