package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// rewriteLimit is the platform's limit on the time from the return of the store until the objects of live hosts are there
// again.
const rewriteLimit = 2 * time.Second

// advance makes changes that concern nobody, so that the store assigns revisions.
func advance(t *testing.T, c *store.Client, changes int) {
	for i := range changes {
		_, err := c.Put(context.Background(), "other", "object", json.RawMessage(fmt.Sprintf(`{"n":%d,"at":%d}`, i, time.Now().UnixNano())))
		require.NoError(t, err)
	}
}

// memberObject returns the member in the store's object of an instance, and false if there is no object.
func memberObject(t *testing.T, c *store.Client, instance string) (facts.Member, bool) {
	o, err := c.Get(context.Background(), control.KindInstances, instance)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return facts.Member{}, false
	}
	require.NoError(t, err)
	var f facts.Fact
	require.NoError(t, json.Unmarshal(o.Spec, &f))
	m, err := facts.DecodeMember(f)
	require.NoError(t, err)
	return m, true
}

func (i *instance) setTarget(target facts.Target) {
	i.node.Gossip.Do(context.Background(), func(now time.Time) { i.node.Gossip.SetTarget(now, target) })
}

// TestReturnedStoreAssignsRevisionsAgain checks the emulated store: a return loses the changes since the copy, begins the next
// era, and watches from revisions that the store does not have expire.
func TestReturnedStoreAssignsRevisionsAgain(t *testing.T) {
	s := startStore(t)
	c := s.client(t)
	advance(t, c, 3)
	copied := s.server.Snapshot()
	advance(t, c, 4)
	before, err := c.List(context.Background(), "other", false)
	require.NoError(t, err)
	require.Equal(t, store.Position{Era: 1, Revision: 7}, before.Position())
	s.server.SetAway(true)
	_, err = c.List(context.Background(), "other", false)
	require.Error(t, err)
	s.server.Restore(copied)
	after, err := c.List(context.Background(), "other", false)
	require.NoError(t, err)
	require.Equal(t, store.Position{Era: 2, Revision: 3}, after.Position())
	require.Equal(t, uint64(2), c.Era())
	status := 0
	c.OnCall = func(_ store.Operation, s int) { status = s }
	_, err = c.Watch(context.Background(), "other", store.Position{Era: 2, Revision: 7}, time.Second)
	var expired *store.ExpiredError
	require.True(t, errors.As(err, &expired), "%v", err)
	require.Equal(t, http.StatusGone, status)
}

// Guards against a plan that is not in force in time: a return of the store that falls between two watches passes unseen,
// and the next watch goes on from a revision that the store has assigned again.
func TestWatchDoesNotContinueAcrossReturn(t *testing.T) {
	s := startStore(t)
	c := s.client(t)
	advance(t, c, 2)
	copied := s.server.Snapshot()
	advance(t, c, 3)
	page, err := c.List(context.Background(), "other", false)
	require.NoError(t, err)
	s.server.Restore(copied)
	advance(t, c, 8)
	_, err = c.Watch(context.Background(), "other", page.Position(), time.Second)
	var expired *store.ExpiredError
	require.True(t, errors.As(err, &expired), "%v", err)
}

// Guards against a plan that is missed although it is in the store: the same with an entry, whose watch pauses after a change.
func TestPlanWrittenAcrossReturnIsInForce(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	eventually(t, "plan", func() bool { return e.node.Plans.Version() == 3 })
	copied := s.server.Snapshot()
	advance(t, s.client(t), 5)
	s.putPlan(t, 4)
	eventually(t, "plan before the return", func() bool { return e.node.Plans.Version() == 4 })
	s.server.Restore(copied)
	s.putPlan(t, 5)
	advance(t, s.client(t), 20)
	eventually(t, "plan after the return", func() bool { return e.node.Plans.Version() == 5 })
}

// Guards against flows to evacuated hosts (EVAC 1631 of the day evacuated-after-return on kettingbrug, seed 1): a data centre
// that is evacuated after the return, under a lower revision than that of its earlier evacuation, was not.
func TestEvacuationAfterReturnIsInForce(t *testing.T) {
	s := startEvacuationStore(t)
	a := startFollower(t, s.url, "a", true)
	b := startFollower(t, s.url, "b", true, a.self.Control)
	awaitEvacuated(t, "north", false, a, b)
	copied := s.server.Snapshot()
	advance(t, s.client, 20)
	s.place(t, "north")
	awaitEvacuated(t, "north", true, a, b)
	s.remove(t, "north")
	awaitEvacuated(t, "north", false, a, b)
	s.server.Restore(copied)
	s.place(t, "north")
	awaitEvacuated(t, "north", true, a, b)
	s.remove(t, "north")
	awaitEvacuated(t, "north", false, a, b)
}

// Guards against flows to evacuated hosts: the store's copy lacks an evacuation, which is still in force and which the operator
// writes again a moment after the return.
func TestEvacuationThatTheCopyLacksStaysInForce(t *testing.T) {
	s := startEvacuationStore(t)
	var away atomic.Bool
	url := s.front(t, func(*http.Request) bool { return !away.Load() })
	a := startFollower(t, url, "a", true)
	b := startFollower(t, url, "b", true, a.self.Control)
	awaitEvacuated(t, "north", false, a, b)
	copied := s.server.Snapshot()
	s.place(t, "north")
	awaitEvacuated(t, "north", true, a, b)
	away.Store(true)
	s.server.Restore(copied)
	advance(t, s.client, 20)
	away.Store(false)
	for end := time.Now().Add(rewriteLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, f := range []*follower{a, b} {
			require.True(t, f.evacuations.Load().Active["north"])
		}
	}
	s.place(t, "north")
	time.Sleep(300 * time.Millisecond)
	awaitEvacuated(t, "north", true, a, b)
	s.remove(t, "north")
	awaitEvacuated(t, "north", false, a, b)
}

// Guards against a host that is missing after the next restart of all: the objects of live instances that the store lost are
// written again in time, also by those that don't call the store otherwise.
func TestObjectsAreWrittenAgainAfterReturn(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	copied := s.server.Snapshot()
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	a := startInstance(t, s, "agent", facts.RoleAgent, freeAddress(t))
	a.setTarget(facts.Target{ID: "t", StartedMs: 7, State: facts.TargetReady, Slots: 4})
	c := s.client(t)
	eventually(t, "objects", func() bool {
		_, entry := memberObject(t, c, "entry")
		_, agent := memberObject(t, c, "agent")
		return entry && agent && e.seesServing("agent") && a.seesServing("entry") && e.node.Plans.Version() == 3
	})
	s.server.Restore(copied)
	require.Eventually(t, func() bool {
		_, entry := memberObject(t, c, "entry")
		_, agent := memberObject(t, c, "agent")
		return entry && agent
	}, rewriteLimit, 5*time.Millisecond)
}

// Guards against new flows for a draining target after the next restart: the store's copy still calls it ready.
func TestDrainIsWrittenAgainAfterReturn(t *testing.T) {
	s := startStore(t)
	startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	a := startInstance(t, s, "agent", facts.RoleAgent, freeAddress(t))
	c := s.client(t)
	target := facts.Target{ID: "t", StartedMs: 7, State: facts.TargetReady, Slots: 4}
	state := func() facts.TargetState {
		if m, ok := memberObject(t, c, "agent"); ok && m.Target != nil {
			return m.Target.State
		}
		return ""
	}
	a.setTarget(target)
	eventually(t, "ready in the store", func() bool { return state() == facts.TargetReady && a.seesServing("entry") })
	copied := s.server.Snapshot()
	target.State = facts.TargetDraining
	a.setTarget(target)
	eventually(t, "draining in the store", func() bool { return state() == facts.TargetDraining })
	s.server.Restore(copied)
	require.Eventually(t, func() bool { return state() == facts.TargetDraining }, rewriteLimit, 5*time.Millisecond)
}

// Guards against hosts that are in use again after the next restart: the store's copy holds the objects of an agent whose
// target has deregistered and of an instance that has left and runs no more.
func TestDeletedObjectsAreDeletedAgainAfterReturn(t *testing.T) {
	s := startStore(t)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	a := startInstance(t, s, "agent", facts.RoleAgent, freeAddress(t))
	left := startInstance(t, s, "left", facts.RoleAgent, freeAddress(t))
	target := facts.Target{ID: "t", StartedMs: 7, State: facts.TargetReady, Slots: 4}
	a.setTarget(target)
	left.setTarget(target)
	c := s.client(t)
	exists := func(name string) bool {
		_, ok := memberObject(t, c, name)
		return ok
	}
	eventually(t, "objects", func() bool {
		return exists("agent") && exists("left") && e.seesServing("agent", "left") && a.seesServing("entry") && left.seesServing("entry")
	})
	copied := s.server.Snapshot()
	target.State = facts.TargetGone
	a.setTarget(target)
	left.node.Gossip.Leave(context.Background())
	left.node.Registrar.Remove(context.Background())
	left.cancel()
	eventually(t, "objects deleted", func() bool { return !exists("agent") && !exists("left") && !e.seesServing("left") })
	s.server.Restore(copied)
	require.True(t, exists("left"))
	require.Eventually(t, func() bool { return !exists("agent") && !exists("left") }, 2*rewriteLimit, 5*time.Millisecond)
	require.True(t, exists("entry"))
}

// Guards against an entry that starts with an old plan, or without its history, after the store lost their latest writes.
func TestCopyAndHistoryAreWrittenAgainAfterReturn(t *testing.T) {
	s := startStore(t)
	startWriter(t, s)
	copied := s.server.Snapshot()
	s.putLargePlan(t, 4)
	eventually(t, "copy of the next plan", func() bool { return s.copyVersion(t) == 4 })
	s.server.Restore(copied)
	s.putLargePlan(t, 4)
	eventually(t, "copy after the return", func() bool { return s.copyVersion(t) == 4 })
}

// Guards against a copy that is ahead of the plan in the store, which an entry that starts would take for a wrong one and
// drop: the copy is written again only after the operator's plan.
func TestCopyIsNotWrittenAheadOfThePlan(t *testing.T) {
	s := startStore(t)
	startWriter(t, s)
	copied := s.server.Snapshot()
	s.putLargePlan(t, 4)
	eventually(t, "copy of the next plan", func() bool { return s.copyVersion(t) == 4 })
	s.server.Restore(copied)
	for end := time.Now().Add(2 * rewriteLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		require.Equal(t, uint64(3), s.copyVersion(t))
	}
	s.putLargePlan(t, 4)
	eventually(t, "copy after the operator's write", func() bool { return s.copyVersion(t) == 4 })
}

// Guards against an audit trail that lacks the changes that the store lost.
func TestAuditTrailIsWrittenAgainAfterReturn(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
	eventually(t, "plan", func() bool { return e.node.Plans.Version() == 3 && e.seesServing("entry") })
	copied := s.server.Snapshot()
	s.putPlan(t, 4)
	eventually(t, "next plan", func() bool { return e.node.Plans.Version() == 4 })
	e.flush(time.Now())
	require.Equal(t, 1, countPlanRecords(readTrail(t, s)))
	s.server.Restore(copied)
	s.putPlan(t, 4)
	s.putPlan(t, 5)
	eventually(t, "plan after the return", func() bool { return e.node.Plans.Version() == 5 })
	e.flush(time.Now())
	require.Equal(t, 2, countPlanRecords(readTrail(t, s)))
}

// Guards against a plan that goes back: neither the entry that used it nor one that starts right after the return takes the
// older plan of the copy as the latest.
func TestPlanDoesNotGoBackAfterReturn(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	first := startInstance(t, s, "entry-1", facts.RoleEntry, freeAddress(t))
	second := startInstance(t, s, "entry-2", facts.RoleEntry, freeAddress(t))
	eventually(t, "plan", func() bool { return first.node.Plans.Version() == 3 && second.node.Plans.Version() == 3 })
	copied := s.server.Snapshot()
	s.putPlan(t, 8)
	eventually(t, "next plan", func() bool { return first.node.Plans.Version() == 8 && second.node.Plans.Version() == 8 })
	s.server.Restore(copied)
	third := startInstance(t, s, "entry-3", facts.RoleEntry, freeAddress(t))
	eventually(t, "plan at the entry that starts", func() bool { return third.node.Plans.Version() == 8 })
	for _, i := range []*instance{first, second, third} {
		require.IsIncreasing(t, i.plansInForce())
	}
	s.putPlan(t, 8)
	s.putPlan(t, 9)
	eventually(t, "plan after the return", func() bool {
		return first.node.Plans.Version() == 9 && second.node.Plans.Version() == 9 && third.node.Plans.Version() == 9
	})
}
