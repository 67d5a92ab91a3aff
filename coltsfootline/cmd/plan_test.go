package cmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/audit"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/golden"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

func planRoute(name string, port uint16, shares ...plan.Share) plan.Route {
	return plan.Route{
		Name: name, Address: gue.Endpoint{Address: [4]byte{198, 51, 100, 1}, Port: port}, Shares: shares, Objective: 150 * time.Millisecond,
	}
}

func testPlan() *plan.Plan {
	return &plan.Plan{Version: 12, IdleTimeout: 30 * time.Second, Routes: []plan.Route{
		planRoute("catalogue", 443, plan.Share{Service: "catalogue", Weight: 1}),
		planRoute("drawings", 8080, plan.Share{Service: "drawings", Weight: 3}, plan.Share{Service: "drawingsNext", Weight: 1}),
	}}
}

func TestPlanGet(t *testing.T) {
	f := newFakeInstances(t)
	text, code := f.run("plan", "get")
	require.Equal(t, 1, code)
	require.Contains(t, text, "has no plan yet")
	f.plan = testPlan()
	text, code = f.run("plan", "get")
	require.Zero(t, code)
	golden.Check(t, "testdata/planGet.golden", text)
}

func TestPlanDiff(t *testing.T) {
	f := newFakeInstances(t)
	f.plan = testPlan()
	saved := filepath.Join(t.TempDir(), "plan.json")
	text, code := f.run("plan", "get", "--json")
	require.Zero(t, code)
	require.NoError(t, os.WriteFile(saved, []byte(text), 0o600))

	text, code = f.run("plan", "diff", saved)
	require.Zero(t, code)
	require.Equal(t, "version 12 -> 12\nnothing else differs\n", text)

	f.plan = &plan.Plan{Version: 15, IdleTimeout: time.Minute, Routes: []plan.Route{
		planRoute("catalogue", 443, plan.Share{Service: "catalogueNext", Weight: 1}), planRoute("orders", 9090, plan.Share{Service: "orders", Weight: 1}),
	}}
	text, code = f.run("plan", "diff", saved)
	require.Zero(t, code)
	golden.Check(t, "testdata/planDiff.golden", text)
}

func TestPlanDiffOfInvalidFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "notes.txt")
	require.NoError(t, os.WriteFile(file, []byte("notes"), 0o600))
	text, code := newFakeInstances(t).run("plan", "diff", file)
	require.Equal(t, 1, code)
	require.Contains(t, text, "notes.txt: not a plan: ")
	_, code = newFakeInstances(t).run("plan", "diff")
	require.Equal(t, 2, code)
}

func TestPlanHistory(t *testing.T) {
	f := newFakeInstances(t)
	start := time.UnixMilli(1_700_000_000_000)
	f.trail.Merge([]audit.Record{
		audit.NewPlanRecord(start, "entry-1", &plan.Plan{Version: 3}, testPlan()),
		audit.NewMemberRecord(start.Add(time.Second), "entry-1", facts.Member{Instance: "catalogue-2", Role: facts.RoleAgent, State: facts.StateDown}),
	})
	f.trail.Discarded = 7
	text, code := f.run("plan", "history")
	require.Zero(t, code)
	golden.Check(t, "testdata/planHistory.golden", text)
	text, code = f.run("plan", "history", "--members", "--json")
	require.Zero(t, code)
	var records []audit.Record
	require.NoError(t, json.NewDecoder(bytes.NewReader([]byte(text))).Decode(&records))
	require.Equal(t, f.trail.Records, records)
}

func TestHosts(t *testing.T) {
	f := newFakeInstances(t)
	f.members[0].Target = &facts.Target{ID: "i-1", State: facts.TargetReady, Slots: 4}
	text, code := f.run("hosts")
	require.Zero(t, code)
	golden.Check(t, "testdata/hosts.golden", text)
	f.pace = 2
	text, code = f.run("hosts", "--pace")
	require.Equal(t, 0, code)
	golden.Check(t, "testdata/hostsPace.golden", text)
	f.ejected = map[string][]string{"catalogue": {"catalogue-1"}}
	text, code = f.run("hosts")
	require.Zero(t, code)
	golden.Check(t, "testdata/hostsEjected.golden", text)
	text, code = f.run("hosts", "--service", "drawings")
	require.Zero(t, code)
	require.NotContains(t, text, "catalogue")
}
