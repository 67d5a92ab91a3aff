package flow

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// spillModel runs three data centres with even hosts and uneven demand, and counts the flows that targets accept.
type spillModel struct {
	*model
	// crossed and accepted count the flows accepted in each 100 ms, by the entry's data centre: those on hosts of another
	// data centre, and all.
	crossed  map[string][]float64
	accepted map[string][]float64
	// waited counts the flows that found all slots of their host in use.
	waited int
	total  int
}

func newSpillModel(load float64, duration time.Duration) *spillModel {
	kinds := modelKinds()
	for i, priority := range priorities["orders first"] {
		kinds[i].route.Priority, kinds[i].route.Deadline = priority, kinds[i].deadline
	}
	m := &spillModel{
		model:   newModel(1, kinds, map[string][2]int{"a": {7, 15}, "b": {8, 16}, "c": {7, 15}}),
		crossed: map[string][]float64{}, accepted: map[string][]float64{},
	}
	shares := map[string]float64{"a": 0.28, "b": 0.4, "c": 0.32}
	total := load * capacity(kinds, 46)
	m.rate = func(dataCentre string) float64 { return total * shares[dataCentre] }
	slots := int(duration/(100*time.Millisecond)) + 100
	for name := range shares {
		m.crossed[name], m.accepted[name] = make([]float64, slots), make([]float64, slots)
	}
	begun := m.now
	m.onAccept = func(entry string, h *modelHost) {
		at := int(m.now.Sub(begun) / (100 * time.Millisecond))
		m.accepted[entry][at]++
		m.total++
		if len(h.held) >= modelSlots {
			m.waited++
		}
		if m.dataCentre[h.address.Addr()] != entry {
			m.crossed[entry][at]++
		}
	}
	return m
}

// share returns the share of a data centre's flows that went to others, and its standard deviation between intervals of
// 100 ms relative to that of independent choices.
func (m *spillModel) share(dataCentre string, from, to int) (mean, swing float64) {
	crossed, accepted := 0.0, 0.0
	for i := from; i < to; i++ {
		crossed, accepted = crossed+m.crossed[dataCentre][i], accepted+m.accepted[dataCentre][i]
	}
	mean = crossed / accepted
	got, independent := 0.0, 0.0
	for i := from; i < to; i++ {
		n := m.accepted[dataCentre][i]
		difference := m.crossed[dataCentre][i] - mean*n
		got += difference * difference
		independent += n * mean * (1 - mean)
	}
	return mean, math.Sqrt(got / max(independent, 1))
}

// loseDataCentre takes the hosts of a data centre from all entries, as after an evacuation, and moves its callers.
func (m *spillModel) loseDataCentre(name string) {
	for _, e := range m.entries {
		var members []facts.Member
		for _, h := range e.directory.byAddress {
			if h.DataCentre != name {
				members = append(members, facts.Member{
					Instance: h.Instance, Role: facts.RoleAgent, Service: "s", DataCentre: h.DataCentre, Packets: h.Packets, State: facts.StateServing, Target: &h.Target,
				})
			}
		}
		e.Update(m.now, nil, NewDirectory(members))
	}
	before := m.rate
	m.rate = func(dataCentre string) float64 {
		if dataCentre == name {
			return 1e-9
		}
		return before(dataCentre) + before(name)/2
	}
}

// Guards against a crowded data centre whose flows queue beside free slots in the others, against bytes between data
// centres that all have free slots, and against a swing of the share that goes to others.
func TestCrowdedDataCentrePassesFlowsOn(t *testing.T) {
	for _, c := range []struct{ load, least, most, others float64 }{{0.5, 0, 0.03, 0.01}, {0.7, 0.06, 0.2, 0.08}, {0.85, 0.06, 0.2, 0.1}} {
		m := newSpillModel(c.load, 2*time.Second)
		m.run(2 * time.Second)
		t.Logf("load %.2f: value %.3f, %.3f of the flows find all slots in use", c.load, m.value(), float64(m.waited)/float64(m.total))
		for _, name := range []string{"a", "b", "c"} {
			mean, swing := m.share(name, 3, 20)
			t.Logf("%s: %.3f to other data centres, swing %.2f", name, mean, swing)
			require.Less(t, swing, 3.0)
			if name != "b" {
				require.LessOrEqual(t, mean, c.others)
				continue
			}
			require.GreaterOrEqual(t, mean, c.least)
			require.LessOrEqual(t, mean, c.most)
		}
		require.Greater(t, m.value(), 0.99)
	}
}

// Guards against a lost data centre whose demand is refused or swings between the others, and against flows that keep
// going to other data centres when the crest is over.
func TestLostDataCentreAndReturn(t *testing.T) {
	m := newSpillModel(0.55, 4*time.Second)
	m.after(time.Second, func() { m.loseDataCentre("c") })
	m.after(3*time.Second, func() {
		before := m.rate
		m.rate = func(dataCentre string) float64 { return before(dataCentre) / 2 }
	})
	m.run(4 * time.Second)
	for _, name := range []string{"a", "b"} {
		mean, swing := m.share(name, 13, 30)
		after, _ := m.share(name, 33, 40)
		t.Logf("%s: %.3f to other data centres, swing %.2f; after the crest %.3f", name, mean, swing, after)
		require.Less(t, swing, 3.0)
		require.Less(t, mean, 0.2)
		require.Less(t, after, 0.01)
	}
	require.Greater(t, m.value(), 0.99)
}
