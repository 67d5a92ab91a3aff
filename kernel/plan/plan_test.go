package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

func TestSplitFollowsWeightsAndIsDeterministic(t *testing.T) {
	r := Route{Shares: []Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "none"}}}
	counts := map[string]int{}
	const flows = 8000
	for n := range flows {
		f := gue.Flow{Caller: gue.Endpoint{Port: uint16(n)}}
		require.Equal(t, r.SelectService(f), r.SelectService(f))
		counts[r.SelectService(f)]++
	}
	require.Zero(t, counts["none"])
	require.InDelta(t, 0.75, float64(counts["a"])/flows, 0.03)
}

func TestRouteWithoutServices(t *testing.T) {
	require.Empty(t, (&Route{}).SelectService(gue.Flow{}))
	require.False(t, (&Route{}).HasService("a"))
}
