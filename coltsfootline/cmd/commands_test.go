package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/audit"
	"github.com/coltsfootline/coltsfootline/kernel/command"
	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/dataplane"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/golden"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// fakeInstances is a ControlClient that responds like the instances of a small installation.
type fakeInstances struct {
	t       *testing.T
	members []facts.Member
	// silent holds the names of the instances whose calls time out.
	silent map[string]bool
	// called holds the methods of all calls.
	called []string
	plan   *plan.Plan
	trail  audit.Trail
	// evacuations is the reply of the entry. Its facts contain the same evacuations.
	evacuations control.EvacuationsReply
	// pace is the limit on requests that all agents report.
	pace int
	// where is the reply of the entry to the method of that name.
	where func(dataplane.WhereRequest) flow.Where
	// ejected holds the ejected hosts that all instances report.
	ejected map[string][]string
}

func newFakeInstances(t *testing.T) *fakeInstances {
	return &fakeInstances{t: t, silent: map[string]bool{}, members: []facts.Member{
		{Instance: "catalogue-1", Role: facts.RoleAgent, Service: "catalogue", DataCentre: "north", State: facts.StateServing, Control: address(2)},
		{Instance: "catalogue-2", Role: facts.RoleAgent, Service: "catalogue", DataCentre: "south", State: facts.StateDown, Control: address(3)},
		{Instance: "entry-1", Role: facts.RoleEntry, DataCentre: "north", State: facts.StateServing, Control: address(1)},
	}}
}

// address returns the control address of an instance. Port 1 is that of the entry.
func address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

func (f *fakeInstances) Call(_ context.Context, to netip.AddrPort, method string, params, result any) error {
	f.called = append(f.called, method)
	for _, m := range f.members {
		if m.Control == to && f.silent[m.Instance] {
			return &peer.CallError{Peer: to, Method: method, Cause: context.DeadlineExceeded}
		}
	}
	reply := any(peer.StatusReply{Digest: 7, Open: 5, Busy: 2, Waiting: 1, Pace: f.pace, Cold: f.pace > 0, Ejected: f.ejected})
	switch method {
	case peer.MethodReconcile:
		reply = f.reconcile()
	case peer.MethodDrain:
		reply = peer.DrainReply{Open: 5}
	case control.MethodPlan:
		var p control.PlanReply
		if f.plan != nil {
			p.Plan = *f.plan
		}
		reply = p
	case dataplane.MethodFind:
		reply = f.find(to)
	case dataplane.MethodWhere:
		reply = f.where(params.(dataplane.WhereRequest))
	case control.MethodAudit:
		reply = control.AuditReply{Trail: f.trail}
	case control.MethodEvacuations:
		reply = f.evacuations
	}
	text, err := json.Marshal(reply)
	require.NoError(f.t, err)
	return json.Unmarshal(text, result)
}

func (f *fakeInstances) find(to netip.AddrPort) dataplane.FindReply {
	info := flow.Info{
		Flow: gue.Flow{
			Caller:  gue.Endpoint{Address: [4]byte{100, 64, 0, 7}, Port: 1034},
			Service: gue.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 443},
		},
		Instance: "catalogue-1", Stage: "busy", IdleMs: 12,
	}
	if to != address(1) {
		info.Instance, info.Request = "", "4858d6683b0aa9b3"
	}
	return dataplane.FindReply{Flows: []flow.Info{info}}
}

func (f *fakeInstances) reconcile() peer.ReconcileReply {
	var reply peer.ReconcileReply
	for _, m := range f.members {
		fact, err := m.Fact(1, 1)
		require.NoError(f.t, err)
		reply.Facts = append(reply.Facts, fact)
	}
	for _, e := range f.evacuations.Evacuations {
		fact, err := e.Fact()
		require.NoError(f.t, err)
		reply.Facts = append(reply.Facts, fact)
	}
	return reply
}

// run executes the command line and returns its output, followed by its error output, and the exit code.
func (f *fakeInstances) run(arguments ...string) (string, int) {
	var out, errorOut bytes.Buffer
	code := command.Execute(newRoot(f), arguments, &out, &errorOut)
	return out.String() + errorOut.String(), code
}

func TestStatusTable(t *testing.T) {
	text, code := newFakeInstances(t).run("status")
	require.Zero(t, code)
	golden.Check(t, "testdata/status.golden", text)
}

func TestStatusJSON(t *testing.T) {
	text, code := newFakeInstances(t).run("status", "--json")
	require.Zero(t, code)
	golden.Check(t, "testdata/statusJson.golden", text)
}

func TestFlowsFind(t *testing.T) {
	f := newFakeInstances(t)
	text, code := f.run("flows", "find", "100.64.0.7:1034")
	require.Zero(t, code)
	golden.Check(t, "testdata/flowsFind.golden", text)
	_, code = f.run("flows", "find", "nobody")
	require.Equal(t, 2, code)
}

func TestDrain(t *testing.T) {
	f := newFakeInstances(t)
	text, code := f.run("drain", "catalogue-1")
	require.Zero(t, code)
	require.Equal(t, "catalogue-1: draining 5 connections\n", text)
	require.Contains(t, f.called, peer.MethodDrain)
}

func TestDrainDryRunChangesNothing(t *testing.T) {
	f := newFakeInstances(t)
	text, code := f.run("drain", "--dry-run", "catalogue-1")
	require.Zero(t, code)
	require.Equal(t, "catalogue-1: would move 5 connections\n", text)
	require.NotContains(t, f.called, peer.MethodDrain)
}

func TestDrainOfUnknownAgent(t *testing.T) {
	text, code := newFakeInstances(t).run("drain", "entry-1")
	require.Equal(t, 1, code)
	require.Contains(t, text, "no agent is named entry-1")
}

// Guards against a doctor that takes an instance without a response for healthy.
func TestDoctorReportsSilentInstances(t *testing.T) {
	f := newFakeInstances(t)
	f.members = append(f.members[:1], f.members[2])
	text, code := f.run("doctor")
	require.Zero(t, code)
	require.Equal(t, "ok\n", text)
	f.silent["catalogue-1"] = true
	text, code = f.run("doctor")
	require.Equal(t, 1, code)
	require.Contains(t, text, "catalogue-1: serving, does not answer")
}
