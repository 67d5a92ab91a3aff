package announce

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

func newAnnouncement(id string, startedMs int64, sequence uint64, state facts.TargetState) Announcement {
	return Announcement{
		Service: "s", Sequence: sequence,
		Target: facts.Target{ID: id, StartedMs: startedMs, State: state, Slots: 4},
	}
}

// TestTracker checks the result of each kind of announcement: repeated, changed, out of order, and from a restarted or
// another target.
func TestTracker(t *testing.T) {
	tracker := Tracker{Service: "s"}
	apply := func(a Announcement) Result {
		_, result := tracker.Apply(a)
		return result
	}
	require.Equal(t, ResultChanged, apply(newAnnouncement("a", 10, 1, facts.TargetReady)))
	require.Equal(t, ResultUnchanged, apply(newAnnouncement("a", 10, 2, facts.TargetReady)))
	require.Equal(t, ResultChanged, apply(newAnnouncement("a", 10, 4, facts.TargetDraining)))
	require.Equal(t, ResultStale, apply(newAnnouncement("a", 10, 3, facts.TargetReady)), "delivered after a later announcement")
	require.Equal(t, ResultChanged, apply(newAnnouncement("a", 20, 1, facts.TargetReady)), "a restart with the same ID")
	require.Equal(t, ResultStale, apply(newAnnouncement("a", 10, 99, facts.TargetReady)), "an earlier incarnation")
	require.Equal(t, ResultChanged, apply(newAnnouncement("b", 30, 1, facts.TargetReady)))
	require.Equal(t, ResultStale, apply(newAnnouncement("a", 20, 9, facts.TargetReady)), "a previous target of this agent")
	require.Equal(t, ResultChanged, apply(Announcement{Target: facts.Target{ID: "b", State: facts.TargetGone}}))
	require.Equal(t, ResultUnchanged, apply(Announcement{Target: facts.Target{ID: "b", State: facts.TargetGone}}))
	require.Equal(t, ResultStale, apply(newAnnouncement("b", 30, 7, facts.TargetReady)), "the target has terminated")
	require.Equal(t, ResultStale, apply(Announcement{Target: facts.Target{ID: "a", State: facts.TargetGone}}))
}

func TestTrackerIgnoresTargetsOfOtherServices(t *testing.T) {
	tracker := Tracker{Service: "other"}
	_, result := tracker.Apply(newAnnouncement("a", 10, 1, facts.TargetReady))
	require.Equal(t, ResultOtherService, result)
}

// TestAnnouncementTakesPrecedenceOverStore checks that a state from the store, which may be out of date, never replaces
// a state that the target announced.
func TestAnnouncementTakesPrecedenceOverStore(t *testing.T) {
	tracker := Tracker{Service: "s"}
	require.True(t, tracker.Restore(facts.Target{ID: "a", StartedMs: 10, State: facts.TargetReady}))
	_, result := tracker.Apply(newAnnouncement("a", 10, 1, facts.TargetDraining))
	require.Equal(t, ResultChanged, result)
	require.False(t, tracker.Restore(facts.Target{ID: "a", StartedMs: 10, State: facts.TargetReady}))
}

// A target that restarts after the clock of its machine was set back announces an earlier start than the one before it.
// It was taken for an earlier incarnation for good, and its host got no new flows.
func TestTargetThatStartedEarlierByClockIsAcceptedOnceTheLastOneIsAbsent(t *testing.T) {
	tracker := Tracker{Service: "s"}
	tracker.Apply(newAnnouncement("a", 2400, 5, facts.TargetReady))
	_, result := tracker.Apply(newAnnouncement("a", 1000, 1, facts.TargetReady))
	require.Equal(t, ResultStale, result)
	tracker.SetAbsent()
	target, result := tracker.Apply(newAnnouncement("a", 1000, 1, facts.TargetReady))
	require.Equal(t, ResultChanged, result)
	require.Equal(t, int64(1000), target.StartedMs)
}
