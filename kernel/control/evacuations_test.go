package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// Guards against waits after which an acknowledged evacuation is no longer in force in time: a watch that misses a change,
// the pause after its failure and a slow listing must leave time for the facts to spread.
func TestEvacuationIsReadWithinBound(t *testing.T) {
	const bound, spread = 5 * time.Second, 500 * time.Millisecond
	require.Less(t, evacuationWatchTimeout+store.WatchMargin+minRetryDelay+1500*time.Millisecond+spread, bound)
}

// begin is the time at which the tests of this file begin.
var begin = time.Unix(1_700_000_000, 0)

func object(name string, revision uint64, deleted bool) store.Object {
	return store.Object{Name: name, Revision: revision, Deleted: deleted}
}

func active(name string, revision uint64) facts.Evacuation {
	return facts.Evacuation{DataCentre: name, Active: true, Revision: revision}
}

func ended(name string, revision uint64) facts.Evacuation {
	return facts.Evacuation{DataCentre: name, Revision: revision}
}

func TestEvacuationIsPlacedAndRemoved(t *testing.T) {
	var s evacuationState
	s.applyList(begin, store.Page{Revision: 5})
	require.Empty(t, s.corrections(nil))
	s.applyChanges(store.Page{Objects: []store.Object{object("north", 7, false)}})
	require.Equal(t, []facts.Evacuation{active("north", 7)}, s.corrections(nil))
	known := []facts.Evacuation{active("north", 7)}
	require.Empty(t, s.corrections(known))
	s.applyChanges(store.Page{Objects: []store.Object{object("north", 9, true)}})
	require.Equal(t, []facts.Evacuation{ended("north", 9)}, s.corrections(known))
	require.Empty(t, s.corrections([]facts.Evacuation{ended("north", 9)}))
}

// Guards against an end that the fact of the beginning supersedes, if the store reports a deletion with the revision that
// the object had.
func TestDeletionSupersedesObjectWithSameRevision(t *testing.T) {
	var s evacuationState
	s.applyChanges(store.Page{Objects: []store.Object{object("north", 7, false), object("north", 7, true)}})
	require.Equal(t, []facts.Evacuation{ended("north", 8)}, s.corrections([]facts.Evacuation{active("north", 7)}))
}

// Guards against an evacuation that never ends because its deletion was in the lost history. The reader, and one that
// knows of the evacuation only from peers, see it from the listing.
func TestDeletionIsSeenInListingAfterLostHistory(t *testing.T) {
	known := []facts.Evacuation{active("north", 7)}
	var reader, other evacuationState
	reader.applyList(begin, store.Page{Revision: 7, Objects: []store.Object{object("north", 7, false)}})
	for _, s := range []*evacuationState{&reader, &other} {
		s.applyList(begin, store.Page{Revision: 12})
		require.Equal(t, []facts.Evacuation{ended("north", 12)}, s.corrections(known))
	}
	require.Equal(t, []facts.Evacuation{active("north", 20)}, reader.withListing(20, "north").corrections([]facts.Evacuation{ended("north", 12)}))
}

func (s *evacuationState) withListing(revision uint64, name string) *evacuationState {
	s.applyList(begin, store.Page{Revision: revision, Objects: []store.Object{object(name, revision, false)}})
	return s
}

// Guards against an instance that was cut off while an evacuation ended and brings it back to a fleet that has restarted.
func TestOlderFactThatArrivesLateIsContradicted(t *testing.T) {
	var s evacuationState
	s.applyList(begin, store.Page{Revision: 100})
	late := []facts.Evacuation{active("north", 50)}
	require.Equal(t, []facts.Evacuation{ended("north", 100)}, s.corrections(late))
	require.Empty(t, s.corrections([]facts.Evacuation{active("north", 101)}), "placed after the listing")
	s.applyChanges(store.Page{Objects: []store.Object{object("north", 110, false), object("north", 120, true)}})
	require.Equal(t, []facts.Evacuation{ended("north", 120)}, s.corrections([]facts.Evacuation{active("north", 110)}))
	require.Empty(t, s.corrections([]facts.Evacuation{active("north", 130)}), "placed again")
}

// Guards against an evacuation that a wrong fact of its end suspends while its object is in the store.
func TestListedObjectContradictsFactOfEnd(t *testing.T) {
	var s evacuationState
	s.applyList(begin, store.Page{Revision: 100, Objects: []store.Object{object("north", 7, false)}})
	require.Equal(t, []facts.Evacuation{active("north", 100)}, s.corrections([]facts.Evacuation{ended("north", 60)}))
	require.Empty(t, s.corrections([]facts.Evacuation{ended("north", 101)}), "another reader saw the deletion first")
}

// Guards against this fault: if the object of a deletion carries the revision of its last change, a reader whose listing is newer than that and older
// than the deletion brings the evacuation back, and no reader ends it again.
func TestDeletedEvacuationStaysDeleted(t *testing.T) {
	object := func(deleted bool) store.Object { return store.Object{Name: "dc1", Revision: 50, Deleted: deleted} }
	var fact facts.Evacuation
	correct := func(s *evacuationState) {
		for _, c := range s.corrections([]facts.Evacuation{fact}) {
			if c.Revision > fact.Revision {
				fact = c
			}
		}
	}
	var r1, r2 evacuationState
	r1.applyList(begin, store.Page{Objects: []store.Object{object(false)}, Revision: 80})
	r2.applyList(begin, store.Page{Objects: []store.Object{object(false)}, Revision: 60})
	correct(&r1)
	correct(&r2)
	require.True(t, fact.Active)
	// The deletion, at revision 100, reaches the second reader first.
	r2.applyChanges(store.Page{Objects: []store.Object{object(true)}, Revision: 100})
	correct(&r2)
	correct(&r1) // r1's watch returns without changes, or with another data centre's.
	t.Log("after r1", fact)
	r1.applyChanges(store.Page{Objects: []store.Object{object(true)}, Revision: 100})
	for range 3 {
		correct(&r1)
		correct(&r2)
		r1.applyList(begin, store.Page{Revision: 120})
		r2.applyList(begin, store.Page{Revision: 120})
	}
	require.False(t, fact.Active, "%+v", fact)
}

// Guards against flows to evacuated hosts, and against an evacuation without end: the store returns from a copy that lacks an
// evacuation, which the operator writes again, or does not since it was taken back meanwhile. A reader that knows of it only
// from peers decides in the same way.
func TestEvacuationOfEarlierEraIsHeldForAWhile(t *testing.T) {
	known := []facts.Evacuation{{DataCentre: "north", Active: true, Era: 1, Revision: 90}}
	var reader, starter evacuationState
	reader.applyList(begin, store.Page{Era: 1, Revision: 90, Objects: []store.Object{object("north", 90, false)}})
	for _, s := range []*evacuationState{&reader, &starter} {
		s.applyList(begin.Add(time.Minute), store.Page{Era: 2, Revision: 95})
		require.Empty(t, s.corrections(known))
		require.False(t, s.listAgain(begin.Add(time.Minute+evacuationHold-time.Second)))
		s.applyList(begin.Add(time.Minute+evacuationHold-time.Second), store.Page{Era: 2, Revision: 96})
		require.Empty(t, s.corrections(known))
		late := begin.Add(time.Minute + evacuationHold)
		require.True(t, s.listAgain(late))
		s.applyList(late, store.Page{Era: 2, Revision: 97})
		require.Equal(t, []facts.Evacuation{{DataCentre: "north", Era: 2, Revision: 97}}, s.corrections(known))
		require.False(t, s.listAgain(late.Add(time.Hour)))
		s.applyChanges(store.Page{Era: 2, Revision: 98, Objects: []store.Object{object("north", 98, false)}})
		require.Equal(t, []facts.Evacuation{{DataCentre: "north", Active: true, Era: 2, Revision: 98}}, s.corrections(known))
	}
}

// Guards against an evacuation that is ignored since its revision was assigned before, and against an end that is.
func TestEvacuationOfLaterEraSupersedesGreaterRevision(t *testing.T) {
	var s evacuationState
	s.applyList(begin, store.Page{Era: 1, Revision: 98})
	known := []facts.Evacuation{{DataCentre: "north", Era: 1, Revision: 98}}
	s.applyList(begin, store.Page{Era: 2, Revision: 20})
	s.applyChanges(store.Page{Era: 2, Revision: 30, Objects: []store.Object{object("north", 30, false)}})
	active := facts.Evacuation{DataCentre: "north", Active: true, Era: 2, Revision: 30}
	require.Equal(t, []facts.Evacuation{active}, s.corrections(known))
	s.applyChanges(store.Page{Era: 2, Revision: 31, Objects: []store.Object{object("north", 30, true)}})
	require.Equal(t, []facts.Evacuation{{DataCentre: "north", Era: 2, Revision: 31}}, s.corrections([]facts.Evacuation{active}))
}
