package announce

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

func word(id string, born int64, sequence uint64, state facts.TargetState) Announcement {
	return Announcement{
		Service: "s", Sequence: sequence,
		Target: facts.Target{ID: id, StartedMs: born, State: state, Slots: 4},
	}
}

func TestTracker(t *testing.T) {
	k := Tracker{Service: "s"}
	judge := func(a Announcement) Verdict {
		_, v := k.Judge(a)
		return v
	}
	require.Equal(t, VerdictNews, judge(word("a", 10, 1, facts.TargetReady)))
	require.Equal(t, VerdictSame, judge(word("a", 10, 2, facts.TargetReady)))
	require.Equal(t, VerdictNews, judge(word("a", 10, 4, facts.TargetDraining)))
	require.Equal(t, VerdictLate, judge(word("a", 10, 3, facts.TargetReady)), "overtaken on its way")
	require.Equal(t, VerdictNews, judge(word("a", 20, 1, facts.TargetReady)), "the same ID, started anew")
	require.Equal(t, VerdictLate, judge(word("a", 10, 99, facts.TargetReady)), "a dead incarnation")
	require.Equal(t, VerdictNews, judge(word("b", 30, 1, facts.TargetReady)))
	require.Equal(t, VerdictLate, judge(word("a", 20, 9, facts.TargetReady)), "a dead target at this address")
	require.Equal(t, VerdictNews, judge(Announcement{Target: facts.Target{ID: "b", State: facts.TargetGone}}))
	require.Equal(t, VerdictSame, judge(Announcement{Target: facts.Target{ID: "b", State: facts.TargetGone}}))
	require.Equal(t, VerdictLate, judge(word("b", 30, 7, facts.TargetReady)), "after its end")
	require.Equal(t, VerdictLate, judge(Announcement{Target: facts.Target{ID: "a", State: facts.TargetGone}}))
}

func TestTrackerRefusesStrangers(t *testing.T) {
	k := Tracker{Service: "other"}
	_, v := k.Judge(word("a", 10, 1, facts.TargetReady))
	require.Equal(t, VerdictStranger, v)
}

func TestTargetsOwnWordGoesBeforeTheStores(t *testing.T) {
	k := Tracker{Service: "s"}
	require.True(t, k.Restore(facts.Target{ID: "a", StartedMs: 10, State: facts.TargetReady}))
	_, v := k.Judge(word("a", 10, 1, facts.TargetDraining))
	require.Equal(t, VerdictNews, v)
	require.False(t, k.Restore(facts.Target{ID: "a", StartedMs: 10, State: facts.TargetReady}))
}
