package audit

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

var begin = time.UnixMilli(1_700_000_000_000)

func route(name string, port uint16, service string) plan.Route {
	return plan.Route{Name: name, Address: gue.Endpoint{Address: [4]byte{10, 0, 0, 1}, Port: port}, Shares: []plan.Share{{Service: service}}}
}

// TestPlanRecordListsDifferences checks the counts, the route names and the text of a plan change.
func TestPlanRecordListsDifferences(t *testing.T) {
	before := &plan.Plan{Version: 3, Routes: []plan.Route{route("unchanged", 1, "a"), route("removed", 2, "a"), route("changed", 3, "a")}}
	after := &plan.Plan{Version: 7, Routes: []plan.Route{route("unchanged", 1, "a"), route("changed", 3, "b"), route("added", 4, "a")}}
	r := NewPlanRecord(begin, "entry-1", before, after)
	require.Equal(t, &PlanChange{From: 3, To: 7, Added: 1, Removed: 1, Changed: 1, Routes: []string{"-removed", "~changed", "+added"}}, r.Plan)
	require.Equal(t, "plan 3 -> 7: 1 added, 1 removed, 1 changed -removed ~changed +added", r.String())
}

// TestChangeSeenByTwoInstancesIsRecordedOnce guards against duplicates when the writer of the trail fails and another
// entry writes its own records of the same changes.
func TestChangeSeenByTwoInstancesIsRecordedOnce(t *testing.T) {
	m := facts.Member{Instance: "agent-1", Role: facts.RoleAgent, State: facts.StateDown}
	first, second := NewMemberRecord(begin, "entry-1", m), NewMemberRecord(begin.Add(time.Second), "entry-2", m)
	var trail Trail
	require.True(t, trail.Merge([]Record{first}))
	require.False(t, trail.Merge([]Record{second}))
	later := NewMemberRecord(begin.Add(time.Minute), "entry-1", m)
	require.True(t, trail.Merge([]Record{later}), "the same change outside the duplicate window is recorded")
	require.Len(t, trail.Records, 2)
}

func TestTrailIsBoundedAndKeepsNewestRecords(t *testing.T) {
	var trail Trail
	for i := range 2000 {
		m := facts.Member{Instance: fmt.Sprintf("agent-%d", i), Role: facts.RoleAgent, State: facts.StateServing}
		trail.Merge([]Record{NewMemberRecord(begin.Add(time.Duration(i)*time.Second), "entry-1", m)})
	}
	text, err := trail.Encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(text), maxTrailBytes)
	var decoded Trail
	require.NoError(t, json.Unmarshal(text, &decoded))
	require.Equal(t, 2000, len(decoded.Records)+decoded.Discarded)
	require.Greater(t, len(decoded.Records), 100)
	require.Equal(t, "agent-1999", decoded.Records[len(decoded.Records)-1].Member.Instance)
}
