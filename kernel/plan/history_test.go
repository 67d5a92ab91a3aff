package plan

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const testFlowAge = time.Minute

var (
	testAddress = gue.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 443}
	testStart   = time.Unix(1000, 0)
)

// newPlan returns a plan that gives the services to testAddress. Without services it has no route.
func newPlan(version uint64, services ...string) *Plan {
	p := &Plan{Version: version}
	if len(services) > 0 {
		p.Routes = []Route{{Address: testAddress}}
	}
	for _, s := range services {
		p.Routes[0].Shares = append(p.Routes[0].Shares, Share{Service: s, Weight: 1})
	}
	p.Index()
	return p
}

// follow puts plans in force one after the other, a second apart and without a gap, beginning with the first at
// testStart. It returns the last of them and the time.
func follow(plans ...*Plan) (*Plan, time.Time) {
	now := testStart
	var current *Plan
	for i, p := range plans {
		now = testStart.Add(time.Duration(i) * time.Second)
		p.History = Succeed(now, current, p, false)
		current = p
	}
	return current, now
}

// Guards against forgetting a service whose flows are still open, and against asking its hosts for ever.
func TestServiceIsRememberedForTheAgeOfAFlow(t *testing.T) {
	for _, plans := range [][]*Plan{
		{newPlan(1, "a", "b"), newPlan(2, "a")},
		{newPlan(1, "b"), newPlan(2), newPlan(3, "a")},
		{newPlan(1, "b"), newPlan(2, "a"), newPlan(3, "b"), newPlan(4, "a")},
	} {
		p, now := follow(plans...)
		require.Equal(t, []string{"b"}, p.History.EarlierServices(now, testFlowAge, testAddress))
		require.Equal(t, []string{"b"}, p.History.EarlierServices(now.Add(testFlowAge), testFlowAge, testAddress))
		require.Empty(t, p.History.EarlierServices(now.Add(testFlowAge+distributionTime+time.Second), testFlowAge, testAddress))
		require.False(t, p.History.ReachesBack(testStart.Add(testFlowAge), testFlowAge), "plans before the first are unknown")
		require.True(t, p.History.ReachesBack(testStart.Add(testFlowAge+distributionTime), testFlowAge))
	}
	p, now := follow(newPlan(1, "b"), newPlan(2), newPlan(3, "b"))
	require.Empty(t, p.History.EarlierServices(now, testFlowAge, testAddress), "the plan in force gives the service again")
}

// Guards against trusting a history that lacks plans: after a gap, from a peer of an older build, and without any.
func TestHistoryIsIncompleteAfterAGap(t *testing.T) {
	first, _ := follow(newPlan(1, "b"))
	now := testStart.Add(time.Hour)
	for _, h := range []*History{Succeed(now, first, newPlan(4, "a"), true), SucceedFromPeer(now, first, newPlan(4, "a"), nil)} {
		require.False(t, h.ReachesBack(now.Add(testFlowAge), testFlowAge))
		require.True(t, h.ReachesBack(now.Add(testFlowAge+distributionTime), testFlowAge))
		require.Equal(t, []string{"b"}, h.EarlierServices(now, testFlowAge, testAddress))
	}
	require.False(t, (*History)(nil).ReachesBack(now, 0))
	require.False(t, first.History.ReachesBack(now, HistoryRetention), "older services are no longer remembered")
}

// Guards against losing the plans that an instance skipped, and against completing its history from one that does not
// reach back to the plan that it used.
func TestPeerClosesTheGap(t *testing.T) {
	peer, _ := follow(newPlan(3, "b"), newPlan(4, "c"), newPlan(5, "a"))
	now := testStart.Add(20 * time.Second)
	text, err := json.Marshal(peer.History.Record(now))
	require.NoError(t, err)
	for version, closed := range map[uint64]bool{2: false, 3: true, 4: true} {
		var record *HistoryRecord
		require.NoError(t, json.Unmarshal(text, &record))
		own := newPlan(version, "d")
		own.History = &History{Since: testStart.Add(-time.Hour), OldestVersion: 1}
		h := SucceedFromPeer(now, own, newPlan(5, "a"), record.History(now))
		require.ElementsMatch(t, []string{"b", "c", "d"}, h.EarlierServices(now, testFlowAge, testAddress))
		require.Equal(t, closed, h.ReachesBack(now, testFlowAge), version)
	}
	h := (&HistoryRecord{SinceAgeMs: 1 << 62, Earlier: []EarlierRecord{{AgeMs: -1 << 62}}}).History(now)
	require.Equal(t, now.Add(-maxRecordAge), h.Since, "ages are bounded")
	require.Equal(t, now, h.Earlier[gue.Endpoint{}][0].Until)
}
