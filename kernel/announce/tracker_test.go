package announce

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

var testStart = time.Unix(1000, 0)

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
		_, result := tracker.Apply(testStart, a)
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
	require.Equal(t, ResultUnproven, apply(newAnnouncement("a", 5, 9, facts.TargetReady)), "an unknown earlier incarnation")
	require.Equal(t, ResultChanged, apply(Announcement{Target: facts.Target{ID: "b", State: facts.TargetGone}}))
	require.Equal(t, ResultUnchanged, apply(Announcement{Target: facts.Target{ID: "b", State: facts.TargetGone}}))
	require.Equal(t, ResultStale, apply(newAnnouncement("b", 30, 7, facts.TargetReady)), "the target has terminated")
	require.Equal(t, ResultStale, apply(Announcement{Target: facts.Target{ID: "a", State: facts.TargetGone}}))
}

func TestTrackerIgnoresTargetsOfOtherServices(t *testing.T) {
	tracker := Tracker{Service: "other"}
	_, result := tracker.Apply(testStart, newAnnouncement("a", 10, 1, facts.TargetReady))
	require.Equal(t, ResultOtherService, result)
}

// TestAnnouncementTakesPrecedenceOverStore checks that a state from the store, which may be out of date, never replaces
// a state that the target announced.
func TestAnnouncementTakesPrecedenceOverStore(t *testing.T) {
	tracker := Tracker{Service: "s"}
	require.True(t, tracker.Restore(facts.Target{ID: "a", StartedMs: 10, State: facts.TargetReady}))
	_, result := tracker.Apply(testStart, newAnnouncement("a", 10, 1, facts.TargetDraining))
	require.Equal(t, ResultChanged, result)
	require.False(t, tracker.Restore(facts.Target{ID: "a", StartedMs: 10, State: facts.TargetReady}))
}

// A target that restarts after the clock of its machine was set back announces an earlier start than the one before it.
// It was taken for an earlier incarnation for good, and its host got no new flows.
func TestTargetThatStartedEarlierByClockIsAcceptedOnceTheLastOneIsAbsent(t *testing.T) {
	tracker := Tracker{Service: "s"}
	tracker.Apply(testStart, newAnnouncement("a", 2400, 5, facts.TargetReady))
	_, result := tracker.Apply(testStart, newAnnouncement("a", 1000, 1, facts.TargetReady))
	require.Equal(t, ResultUnproven, result)
	tracker.SetAbsent()
	target, result := tracker.Apply(testStart, newAnnouncement("a", 1000, 1, facts.TargetReady))
	require.Equal(t, ResultChanged, result)
	require.Equal(t, int64(1000), target.StartedMs)
}

// Pattern: a target restarts while its clock is set back, then drains. All its announcements were answered with success
// and ignored, so that its host got new flows for good. They must not be accepted before the restart is certain, and
// must be accepted after at most two periods.
func TestTargetThatRestartsWithEarlierStartIsAccepted(t *testing.T) {
	const period = 770 * time.Millisecond
	for _, away := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 760 * time.Millisecond} {
		tracker := Tracker{Service: "s"}
		tracker.Apply(testStart, newAnnouncement("a", 2400, 5, facts.TargetReady))
		first := testStart.Add(away)
		now, sequence := first, uint64(1)
		target, result := tracker.Apply(now, newAnnouncement("a", 1000, sequence, facts.TargetDraining))
		for ; !result.Accepted(); sequence++ {
			require.Equal(t, ResultUnproven, result)
			require.Equal(t, int64(2400), target.StartedMs)
			now = now.Add(period)
			target, result = tracker.Apply(now, newAnnouncement("a", 1000, sequence+1, facts.TargetDraining))
		}
		require.LessOrEqual(t, now.Sub(first), 2*period, away)
		require.Equal(t, facts.Target{ID: "a", StartedMs: 1000, State: facts.TargetDraining, Slots: 4}, target)
		_, result = tracker.Apply(now, newAnnouncement("a", 2400, 6, facts.TargetReady))
		require.Equal(t, ResultStale, result, "the incarnation before has a later start but is known to have ended")
	}
}

// Pattern: a link holds back announcements of an earlier incarnation and delivers them together, or some of them between
// two announcements of the known one. Neither shows that the earlier one runs.
func TestDelayedAnnouncementsOfEarlierIncarnationAreNotAccepted(t *testing.T) {
	for _, silence := range []time.Duration{time.Millisecond, 10 * time.Second} {
		tracker := Tracker{Service: "s"}
		tracker.Apply(testStart, newAnnouncement("a", 2400, 5, facts.TargetReady))
		sequence := uint64(0)
		requireIgnored := func(after time.Duration) {
			sequence++
			_, result := tracker.Apply(testStart.Add(silence+after), newAnnouncement("a", 1000, sequence, facts.TargetReady))
			require.Equal(t, ResultUnproven, result)
		}
		for n := range 8 {
			requireIgnored(time.Duration(n) * time.Millisecond)
		}
		tracker.Apply(testStart.Add(silence+10*time.Millisecond), newAnnouncement("a", 2400, 6, facts.TargetReady))
		requireIgnored(20 * time.Millisecond)
		requireIgnored(770 * time.Millisecond)
		tracker.Apply(testStart.Add(silence+780*time.Millisecond), newAnnouncement("a", 2400, 7, facts.TargetReady))
		requireIgnored(10 * time.Second)
		sequence--
		requireIgnored(20 * time.Second)
	}
}

// A target that deregisters at an agent which has just started was brought back by the state in the store.
func TestDeregistrationBeforeRestoreIsKept(t *testing.T) {
	tracker := Tracker{Service: "s"}
	_, result := tracker.Apply(testStart, Announcement{Target: facts.Target{ID: "a", State: facts.TargetGone}})
	require.Equal(t, ResultNoted, result)
	require.True(t, tracker.Restore(facts.Target{ID: "a", StartedMs: 10, State: facts.TargetReady}))
	target, _ := tracker.Target()
	require.Equal(t, facts.TargetGone, target.State)
}

func gone(id string, startedMs int64) Announcement {
	return Announcement{Target: facts.Target{ID: id, StartedMs: startedMs, State: facts.TargetGone}}
}

// Guards against flows that are reset, and a host that gets none for good (FLOW, review/6): the deregistration of an earlier
// incarnation arrives after the next one, under the same ID, has announced itself.
func TestLateDeregistrationDoesNotEndTheNextIncarnation(t *testing.T) {
	tracker := Tracker{Service: "s"}
	tracker.Apply(testStart, newAnnouncement("a", 10, 5, facts.TargetDraining))
	tracker.Apply(testStart, newAnnouncement("a", 20, 1, facts.TargetReady))
	target, result := tracker.Apply(testStart, gone("a", 10))
	require.Equal(t, ResultStale, result)
	require.Equal(t, facts.TargetReady, target.State)
	_, result = tracker.Apply(testStart, newAnnouncement("a", 20, 2, facts.TargetReady))
	require.Equal(t, ResultUnchanged, result)
	target, result = tracker.Apply(testStart, gone("a", 20))
	require.Equal(t, ResultChanged, result)
	require.Equal(t, facts.TargetGone, target.State)
}

// Guards against a host that seems to live: an incarnation whose announcements the agent missed deregisters.
func TestDeregistrationOfUnknownLaterIncarnationEndsTheKnownOne(t *testing.T) {
	tracker := Tracker{Service: "s"}
	tracker.Apply(testStart, newAnnouncement("a", 10, 5, facts.TargetReady))
	target, result := tracker.Apply(testStart, gone("a", 20))
	require.Equal(t, ResultChanged, result)
	require.Equal(t, facts.TargetGone, target.State)
	_, result = tracker.Apply(testStart, newAnnouncement("a", 10, 6, facts.TargetReady))
	require.Equal(t, ResultStale, result)
	_, result = tracker.Apply(testStart, newAnnouncement("a", 30, 1, facts.TargetReady))
	require.Equal(t, ResultChanged, result)
}

// Guards against a deregistration of an earlier incarnation that the store's later one is taken for.
func TestRestoredIncarnationIsNotEndedByAnEarlierDeregistration(t *testing.T) {
	tracker := Tracker{Service: "s"}
	tracker.Apply(testStart, gone("a", 10))
	require.True(t, tracker.Restore(facts.Target{ID: "a", StartedMs: 20, State: facts.TargetReady}))
	target, _ := tracker.Target()
	require.Equal(t, facts.TargetReady, target.State)
}

// Guards against new flows for a draining target (DRAIN, review/8): announcements of another writer, without the start or with
// the state ready, change nothing. Only a new incarnation ends the drain.
func TestDrainOfAnIncarnationGoesOneWay(t *testing.T) {
	tracker := Tracker{Service: "s"}
	tracker.Apply(testStart, newAnnouncement("a", 10, 5, facts.TargetDraining))
	for n, a := range []Announcement{newAnnouncement("a", 10, 9, facts.TargetReady), newAnnouncement("a", 0, 9, facts.TargetReady), newAnnouncement("other", 0, 1, facts.TargetReady)} {
		target, result := tracker.Apply(testStart.Add(time.Duration(n)*time.Second), a)
		require.False(t, result.Accepted())
		require.Equal(t, facts.TargetDraining, target.State)
	}
	_, result := tracker.Apply(testStart, newAnnouncement("a", 10, 6, facts.TargetDraining))
	require.Equal(t, ResultUnchanged, result)
	_, result = tracker.Apply(testStart, newAnnouncement("a", 20, 1, facts.TargetReady))
	require.Equal(t, ResultChanged, result)
}
