package store

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/audit"
	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// readTrail returns the audit trail in the store.
func readTrail(t *testing.T, s *testStore) audit.Trail {
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	page, err := c.List(context.Background(), control.KindAudit, false)
	require.NoError(t, err)
	var trail audit.Trail
	for _, o := range page.Objects {
		require.NoError(t, json.Unmarshal(o.Spec, &trail))
	}
	return trail
}

func (i *instance) flush(now time.Time) {
	i.node.Auditor.Flush(context.Background(), now)
}

// TestChangesAreRecordedOnce checks that only one of several entries that saw a change writes it to the audit trail, and
// that another entry takes over when that one is lost.
func TestChangesAreRecordedOnce(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	first := startInstance(t, s, "entry-1", facts.RoleEntry, freeAddress(t))
	second := startInstance(t, s, "entry-2", facts.RoleEntry, freeAddress(t))
	third := startInstance(t, s, "entry-3", facts.RoleEntry, freeAddress(t))
	eventually(t, "members", func() bool {
		return first.seesServing("entry-2", "entry-3") && second.seesServing("entry-1", "entry-3") && third.seesServing("entry-1", "entry-2")
	})
	eventually(t, "plan", func() bool { return first.node.Plans.Version() == 3 && second.node.Plans.Version() == 3 })
	s.putPlan(t, 8)
	eventually(t, "next plan", func() bool { return first.node.Plans.Version() == 8 && second.node.Plans.Version() == 8 })
	now := time.Now()
	second.flush(now)
	first.flush(now)
	second.flush(now)
	require.Equal(t, 1, countPlanRecords(readTrail(t, s)))

	first.cancel()
	eventually(t, "entry-1 is lost", func() bool { return !second.seesServing("entry-1") })
	second.flush(time.Now())
	trail := readTrail(t, s)
	require.Equal(t, 1, countPlanRecords(trail))
	last := trail.Records[len(trail.Records)-1]
	require.Equal(t, "entry-1", last.Member.Instance)
	require.Equal(t, facts.StateDown, last.Member.State)
}

// TestChangesAreRecordedAfterStoreOutage checks that changes during a store outage are written after it.
func TestChangesAreRecordedAfterStoreOutage(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry-1", facts.RoleEntry, freeAddress(t))
	eventually(t, "plan", func() bool { return e.node.Plans.Version() == 3 && e.seesServing("entry-1") })
	s.putPlan(t, 4)
	eventually(t, "next plan", func() bool { return e.node.Plans.Version() == 4 })
	s.unavailable.Store(true)
	e.flush(time.Now())
	s.unavailable.Store(false)
	e.flush(time.Now())
	require.Equal(t, 1, countPlanRecords(readTrail(t, s)))
}

// TestMalformedTrailIsReplaced checks that a trail object that another writer filled with something else does not stop the
// audit trail.
func TestMalformedTrailIsReplaced(t *testing.T) {
	s := startStore(t)
	c, err := store.NewClient(s.url, store.DefaultDialect)
	require.NoError(t, err)
	_, err = c.Create(context.Background(), control.KindAudit, "trail", json.RawMessage(`[7]`))
	require.NoError(t, err)
	s.putPlan(t, 3)
	e := startInstance(t, s, "entry-1", facts.RoleEntry, freeAddress(t))
	eventually(t, "plan", func() bool { return e.node.Plans.Version() == 3 && e.seesServing("entry-1") })
	s.putPlan(t, 4)
	eventually(t, "next plan", func() bool { return e.node.Plans.Version() == 4 })
	e.flush(time.Now())
	require.Equal(t, 1, countPlanRecords(readTrail(t, s)))
}

func countPlanRecords(t audit.Trail) int {
	n := 0
	for _, r := range t.Records {
		if r.Plan != nil {
			n++
		}
	}
	return n
}
