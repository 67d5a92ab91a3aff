package flow

import (
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

// Guards against a comparison by reports that costs answers at a load that the hosts can serve.
func TestLoadBelowCapacityIsAnsweredInTime(t *testing.T) {
	m := newModel(1, modelKinds(), map[string][2]int{"a": {22, 46}})
	rate := 0.9 * capacity(m.kinds, 46)
	m.rate = func(string) float64 { return rate }
	m.run(time.Second)
	t.Logf("value %.3f\n%s", m.value(), m.table())
	require.Greater(t, m.value(), 0.99)
}
