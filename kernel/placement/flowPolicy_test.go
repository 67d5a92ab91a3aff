package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLeastWait(t *testing.T) {
	for name, c := range map[string]struct {
		candidates []FlowCandidate
		want       int
	}{
		"single candidate":            {[]FlowCandidate{{}}, 0},
		"less loaded":                 {[]FlowCandidate{{Outstanding: 3, Flows: 3, Slots: 4}, {Outstanding: 1, Flows: 1, Slots: 4}}, 1},
		"more slots":                  {[]FlowCandidate{{Outstanding: 3, Flows: 3, Slots: 4}, {Outstanding: 3, Flows: 3, Slots: 8}}, 1},
		"slower host":                 {[]FlowCandidate{{ServiceTime: 150 * time.Millisecond, Slots: 4}, {ServiceTime: 30 * time.Millisecond, Slots: 4}}, 1},
		"same data centre":            {[]FlowCandidate{{Slots: 4}, {SameDataCentre: true, Slots: 4}}, 1},
		"same data centre but loaded": {[]FlowCandidate{{Slots: 4}, {SameDataCentre: true, Outstanding: 8, Flows: 8, Slots: 4}}, 0},
		"reported busy":               {[]FlowCandidate{{SameDataCentre: true, Busy: true, Slots: 4}, {Slots: 4}}, 1},
		"many idle flows":             {[]FlowCandidate{{Outstanding: 1, Flows: 30, Slots: 4}, {Outstanding: 1, Flows: 10, Slots: 4}}, 1},
		"tie goes to first candidate": {[]FlowCandidate{{Slots: 4}, {Slots: 4}}, 0},
	} {
		require.Equal(t, c.want, LeastWait{}.Choose(c.candidates), name)
	}
}

func TestHashFlowPolicyChoosesFirstCandidate(t *testing.T) {
	require.Zero(t, HashFlowPolicy{}.Choose([]FlowCandidate{{Wait: time.Second}, {}}))
}

func TestRoundRobinChoosesEachInTurn(t *testing.T) {
	var r RoundRobin
	candidates := []FlowCandidate{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}}
	chosen := map[int]int{}
	for range 9 {
		chosen[r.Choose(candidates)]++
	}
	require.Equal(t, map[int]int{0: 3, 1: 3, 2: 3}, chosen)
	require.Equal(t, 1, r.Choose([]FlowCandidate{{Instance: "c"}, {Instance: "new"}}))
}
