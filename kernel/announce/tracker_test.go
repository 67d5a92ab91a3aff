package announce

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

func announcement(id string, born int64, sequence uint64, state facts.TargetState) Announcement {
	return Announcement{
		Service: "s", Sequence: sequence,
		Target: facts.Target{ID: id, StartedMs: born, State: state, Slots: 4},
	}
}

func TestTracker(t *testing.T) {
	tracker := Tracker{Service: "s"}
	apply := func(a Announcement) Result {
		_, v := tracker.Apply(a)
		return v
	}
	require.Equal(t, ResultChanged, apply(announcement("a", 10, 1, facts.TargetReady)))
	require.Equal(t, ResultUnchanged, apply(announcement("a", 10, 2, facts.TargetReady)))
	require.Equal(t, ResultChanged, apply(announcement("a", 10, 4, facts.TargetDraining)))
	require.Equal(t, ResultLate, apply(announcement("a", 10, 3, facts.TargetReady)), "delivered after a later announcement")
	require.Equal(t, ResultChanged, apply(announcement("a", 20, 1, facts.TargetReady)), "a restart with the same ID")
	require.Equal(t, ResultLate, apply(announcement("a", 10, 99, facts.TargetReady)), "an earlier incarnation")
	require.Equal(t, ResultChanged, apply(announcement("b", 30, 1, facts.TargetReady)))
	require.Equal(t, ResultLate, apply(announcement("a", 20, 9, facts.TargetReady)), "a previous target of this agent")
	require.Equal(t, ResultChanged, apply(Announcement{Target: facts.Target{ID: "b", State: facts.TargetGone}}))
	require.Equal(t, ResultUnchanged, apply(Announcement{Target: facts.Target{ID: "b", State: facts.TargetGone}}))
	require.Equal(t, ResultLate, apply(announcement("b", 30, 7, facts.TargetReady)), "the target has terminated")
	require.Equal(t, ResultLate, apply(Announcement{Target: facts.Target{ID: "a", State: facts.TargetGone}}))
}

func TestTrackerRefusesTargetsOfOtherServices(t *testing.T) {
	tracker := Tracker{Service: "other"}
	_, v := tracker.Apply(announcement("a", 10, 1, facts.TargetReady))
	require.Equal(t, ResultOtherService, v)
}

func TestAnnouncementTakesPrecedenceOverStore(t *testing.T) {
	tracker := Tracker{Service: "s"}
	require.True(t, tracker.Restore(facts.Target{ID: "a", StartedMs: 10, State: facts.TargetReady}))
	_, v := tracker.Apply(announcement("a", 10, 1, facts.TargetDraining))
	require.Equal(t, ResultChanged, v)
	require.False(t, tracker.Restore(facts.Target{ID: "a", StartedMs: 10, State: facts.TargetReady}))
}
