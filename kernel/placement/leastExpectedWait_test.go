package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLeastExpectedWait(t *testing.T) {
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
		"reported busy":               {[]FlowCandidate{{SameDataCentre: true, Wait: 60 * time.Millisecond, Slots: 4}, {Slots: 4}}, 1},
		"local hosts crowded":         {[]FlowCandidate{{SameDataCentre: true, Wait: 13 * time.Millisecond}, {SameDataCentre: true, Wait: 20 * time.Millisecond}, {}}, 2},
		"one local host not crowded":  {[]FlowCandidate{{SameDataCentre: true, Wait: 13 * time.Millisecond}, {SameDataCentre: true}, {}}, 1},
		"all crowded":                 {[]FlowCandidate{{SameDataCentre: true, Wait: 13 * time.Millisecond}, {Wait: 10 * time.Millisecond}}, 0},
		"small difference":            {[]FlowCandidate{{SameDataCentre: true, Wait: 4 * time.Millisecond}, {SameDataCentre: true}}, 0},
		"fourth looks free":           {[]FlowCandidate{{SameDataCentre: true, Wait: time.Second}, {SameDataCentre: true, Wait: time.Second}, {SameDataCentre: true, Wait: time.Second}, {SameDataCentre: true}}, 0},
		"third looks free":            {[]FlowCandidate{{SameDataCentre: true, Wait: time.Second}, {SameDataCentre: true, Wait: time.Second}, {SameDataCentre: true}}, 2},
		"many idle flows":             {[]FlowCandidate{{Outstanding: 1, Flows: 30, Slots: 4}, {Outstanding: 1, Flows: 10, Slots: 4}}, 1},
		"tie goes to first candidate": {[]FlowCandidate{{Slots: 4}, {Slots: 4}}, 0},
	} {
		require.Equal(t, c.want, LeastExpectedWait{}.Choose(c.candidates), name)
	}
}
