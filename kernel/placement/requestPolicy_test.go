package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawLoad(t *rapid.T) Load {
	return Load{
		Slots:             4,
		Busy:              rapid.IntRange(0, 4).Draw(t, "busy"),
		Waiting:           rapid.IntRange(0, 3).Draw(t, "waiting"),
		BusyLong:          rapid.IntRange(0, 4).Draw(t, "long"),
		RecentUtilisation: rapid.Float64Range(0, 1).Draw(t, "recent"),
	}
}

// TestPoliciesNeverChooseFullAgents checks that policies never choose an agent without a free slot for the request.
func TestPoliciesNeverChooseFullAgents(t *testing.T) {
	for _, name := range RequestPolicies.Names() {
		p, err := RequestPolicies.Get(name)
		require.NoError(t, err)
		rapid.Check(t, func(t *rapid.T) {
			own := drawLoad(t)
			others := rapid.SliceOf(rapid.Custom(drawLoad)).Draw(t, "others")
			r := Request{Queued: rapid.Bool().Draw(t, "queued"), Long: rapid.Bool().Draw(t, "long")}
			if chosen := p.Choose(own, others, r); chosen >= 0 {
				require.Positive(t, others[chosen].FreeSlotsFor(r.Long))
			}
		})
	}
}

func TestEvenPolicyPrefersLeastUtilised(t *testing.T) {
	own := Load{Slots: 4, RecentUtilisation: 0.6}
	others := []Load{{Slots: 4, RecentUtilisation: 0.5}, {Slots: 4, RecentUtilisation: 0.3}, {Slots: 4, Busy: 4, RecentUtilisation: 0.1}}
	require.Equal(t, 1, EvenPolicy{}.Choose(own, others, Request{}))
	require.Equal(t, -1, EvenPolicy{}.Choose(Load{Slots: 4, RecentUtilisation: 0.3}, others, Request{}))
	require.Equal(t, 1, EvenPolicy{}.Choose(Load{Slots: 4, Busy: 4}, others, Request{}))
}

func TestUtilisationMeterConvergesAndDecays(t *testing.T) {
	var m UtilisationMeter
	now := time.Unix(1000, 0)
	m.Update(now, 4, 4)
	for range 100 {
		now = now.Add(time.Second)
		m.Update(now, 3, 4)
	}
	require.InDelta(t, 0.75, m.Utilisation(), 0.001)
	m.Update(now.Add(UtilisationTimeConstant), 0, 4)
	require.InDelta(t, 0.75/2.718, m.Utilisation(), 0.01)
}
