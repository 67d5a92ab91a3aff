package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Guards against reports that an entry misreads, and against one that looks like the 0 of an older build.
func TestRoomRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		want := room{
			busy: rapid.IntRange(0, 300).Draw(r, "busy"), slots: rapid.IntRange(0, 300).Draw(r, "slots"),
			serviceTime: time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(r, "mean")),
		}
		value := encodeRoom(want)
		require.NotZero(r, value)
		got := decodeRoom(value)
		require.Equal(r, min(want.busy, 255), got.busy)
		require.Equal(r, min(max(want.slots, 1), 255), got.slots)
		if want.serviceTime > timeUnit && want.serviceTime < 15*time.Second {
			require.InEpsilon(r, want.serviceTime, got.serviceTime, 0.03)
		}
		require.Equal(r, want.serviceTime == 0, got.serviceTime == 0)
		require.Zero(r, got.routeTime)
	})
}

// Guards against service times that include the wait for a slot: the wait was then counted twice, and a host that was
// loaded once refused flows that it could have answered in time.
func TestServiceTimeExcludesWait(t *testing.T) {
	a := &Agent{}
	a.ensureInitialized(time.Unix(1000, 0))
	now := time.Unix(1000, 0)
	var flows []*agentFlow
	for range 4 {
		af := &agentFlow{}
		a.setBusy(af, now)
		flows = append(flows, af)
	}
	for i, af := range flows {
		now = now.Add(20 * time.Millisecond)
		if i == 2 {
			a.setIdle(flows[3])
		}
		if af.busy {
			a.endRequest(now, flowOf(i), af)
		}
	}
	require.Equal(t, 20*time.Millisecond, a.serviceTimes.of(testService))
	require.Zero(t, a.occupancy.serving)
	require.Empty(t, a.occupancy.waiting)
}

// Guards against unbounded memory, and against the time of a slow route for a fast one.
func TestServiceTimesByRouteAreBounded(t *testing.T) {
	var s serviceTimes
	slow, fast := gue.Endpoint{Port: 1}, gue.Endpoint{Port: 2}
	for n := range 100 {
		s.observe(slow, 30*time.Millisecond)
		s.observe(fast, 5*time.Millisecond)
		s.observe(gue.Endpoint{Port: uint16(100 + n)}, time.Second)
	}
	require.Len(t, s.byRoute, maxTimedRoutes)
	require.Equal(t, 30*time.Millisecond, s.of(slow))
	require.Equal(t, 5*time.Millisecond, s.of(fast))
	s.keep(func(r gue.Endpoint) bool { return r == fast })
	require.Equal(t, s.all.mean, s.of(slow))
}

// Guards against reports that hold for a fixed time, whatever the host's queue and service time.
func TestReportedWaitDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	hl := &hostLoad{}
	require.Zero(t, hl.expectedWait(now, 0))
	hl.penalizeDecline(now, Mark{Code: CodeBusy, Value: encodeRoom(room{busy: 5, slots: 2, serviceTime: 20 * time.Millisecond})})
	require.InEpsilon(t, 40*time.Millisecond, hl.expectedWait(now, 0), 0.05)
	later := hl.expectedWait(now.Add(15*time.Millisecond), 0)
	require.Less(t, later, 20*time.Millisecond)
	require.Positive(t, later)
	require.Zero(t, hl.expectedWait(now.Add(100*time.Millisecond), 0))
	require.InEpsilon(t, 20*time.Millisecond, hl.expectedWait(now.Add(100*time.Millisecond), 1.5), 0.05, "what is typical of the others")
	hl.outstanding = 3
	require.InEpsilon(t, 70*time.Millisecond, hl.expectedWait(now, 0), 0.05, "flows sent since")
	hl.penalizeDecline(now, Mark{Code: CodeBusy})
	require.Equal(t, 1, hl.room.busy, "an agent of an older build")
}

// Guards against a herd: 22 entries know of 45 busy hosts and of one that was idle a while ago, and each places a few
// flows before it hears of the others'.
func TestEntriesDoNotAllChooseTheIdleHost(t *testing.T) {
	const flowsPerEntry, rounds = 4, 40
	for age, bound := range map[time.Duration]float64{0: 3.3, 10 * time.Millisecond: 3.3, 50 * time.Millisecond: 2} {
		chosen := 0
		m := newModel(1, modelKinds(), map[string][2]int{"a": {22, 46}})
		for round := range rounds {
			now := m.now.Add(time.Duration(round+1) * time.Minute)
			for _, e := range m.entries {
				e.flows.Purge()
				for instance, hl := range e.hostLoads {
					busy := 4
					if instance == "a-7" {
						busy = 0
					}
					hl.noteRoom(now.Add(-age), encodeRoom(room{busy: busy, slots: modelSlots, serviceTime: 25 * time.Millisecond}))
					e.rooms.add(now.Add(-age), hl.room, true)
				}
				for range flowsPerEntry {
					m.callerNumber++
					f := gue.Flow{Caller: caller(m.callerNumber), Service: m.kinds[0].route.Address}
					e.HandlePacket(now, e.Self, encode(Header{Source: f.Caller, Destination: f.Service, SYN: true}), &Output{})
					if ef, _ := e.flows.Peek(f); ef.holder.instance() == "a-7" {
						chosen++
					}
				}
			}
		}
		evenly := float64(22*flowsPerEntry*rounds) / 46
		t.Logf("report of %s: the idle host gets %.2f times an even share", age, float64(chosen)/evenly)
		require.Less(t, float64(chosen)/evenly, bound)
		require.Greater(t, float64(chosen)/evenly, 0.7)
	}
}

// Guards against allocations for each flow, and against a list that grows with the flows that ended while they waited.
func TestOccupancyDoesNotGrow(t *testing.T) {
	a := &Agent{}
	now := time.Unix(1000, 0)
	a.ensureInitialized(now)
	flows := make([]agentFlow, 100)
	a.setBusy(&flows[0], now)
	a.setBusy(&flows[1], now)
	cycle := func() {
		for i := range flows[2:] {
			a.setBusy(&flows[2+i], now)
			a.setIdle(&flows[2+i])
		}
	}
	cycle()
	require.Zero(t, testing.AllocsPerRun(100, cycle))
	require.LessOrEqual(t, len(a.occupancy.waiting), compactAbove+6)
	a.setIdle(&flows[0])
	a.occupancy.fill(now, a.busyCount, 1)
	require.True(t, flows[1].serving)
	require.Equal(t, 1, a.occupancy.serving)
	require.Empty(t, a.occupancy.waiting)
}

// Guards against flows that are given a slot twice, or never.
func TestOccupancyMatchesBusyFlows(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(r, "slots")
		a := &Agent{target: &facts.Target{Slots: slots}}
		now := time.Unix(1000, 0)
		a.ensureInitialized(now)
		flows := make([]agentFlow, 30)
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			af := &flows[rapid.IntRange(0, len(flows)-1).Draw(r, "flow")]
			if af.busy {
				a.setIdle(af)
			} else {
				a.setBusy(af, now)
			}
			a.occupancy.fill(now, a.busyCount, slots)
			serving := 0
			for i := range flows {
				if flows[i].serving {
					require.True(r, flows[i].busy)
					serving++
				}
			}
			require.Equal(r, min(slots, a.busyCount), serving)
			require.Equal(r, serving, a.occupancy.serving)
		}
	})
}
