package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// reportAbsence tells an agent that the process of its target does not exist.
func (tn *testNetwork) reportAbsence(h *testHost) {
	var out Output
	h.agent.TargetAbsent(tn.now, tn.now, &out)
	tn.queueOutput(h.member.Packets, &out)
	tn.deliverAll()
}

// Pattern: a target crashes under load. Its callers waited until their deadline, and SYNs placed on it for their next
// copy. The agent must reset the flows and return the SYNs at once.
func TestFlowsOfCrashedTargetAreReset(t *testing.T) {
	tn := newTestNetwork(t, 1, 3)
	var crashed *testHost
	var flows []int
	for n := range 30 {
		h := tn.openFlow(0, n)
		if crashed == nil {
			crashed = h
		}
		if h == crashed {
			flows = append(flows, n)
		}
	}
	tn.now = tn.now.Add(time.Millisecond)
	before := len(tn.toCaller)
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return to == targetAddress(crashed) }
	tn.reportAbsence(crashed)
	require.Len(t, tn.toCaller, before+len(flows))
	for _, hdr := range tn.toCaller[before:] {
		require.True(t, hdr.RST)
	}
	for n := range 20 {
		before = len(tn.toCaller)
		tn.send(0, Header{Source: caller(100 + n), SYN: true})
		require.Len(t, tn.toCaller, before+1)
	}
	require.Equal(t, answerDenied, crashed.agent.answerFor(flowOf(flows[0])))
	// The target returns and announces itself.
	crashed.startTarget()
	restarted := *crashed.member.Target
	restarted.StartedMs++
	var out Output
	crashed.agent.UpdateTarget(tn.now, restarted, true, &out)
	code, _ := crashed.agent.checkNewFlow(tn.now, flowOf(500), &Header{})
	require.Equal(t, CodeNone, code)
	require.Equal(t, answerDenied, crashed.agent.answerFor(flowOf(500)))
}

// Pattern: draining targets lose power with their machines and do not come back, but their agents do. The agents are
// unsure what their targets hold, and no flow of the service could be reset until they ended (annex grown, trouble-2).
func TestAgentWithoutTargetDeniesFlows(t *testing.T) {
	tn := newTestNetwork(t, 2, 5)
	h := tn.openFlow(0, 1)
	h.startTarget()
	alone := tn.hosts[(indexOf(tn, h)+1)%len(tn.hosts)]
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return to == targetAddress(alone) }
	tn.startAgent(alone)
	tn.updateAgents()
	tn.updateListedEntry(1, true)
	_, reset := tn.sendRequest(1, 1, h)
	require.False(t, reset)
	tn.reportAbsence(alone)
	tn.advance(2 * locateRetryInterval)
	require.True(t, tn.toCaller[len(tn.toCaller)-1].RST)
}

// A check that a sign of life of the target has overtaken says nothing.
func TestAbsenceIsIgnoredAfterSignOfLife(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	h := tn.hosts[0]
	tn.openFlow(0, 1)
	checked := tn.now.Add(-time.Millisecond)
	var out Output
	h.agent.TargetAbsent(tn.now, checked, &out)
	require.Empty(t, out.Packets)
	require.False(t, h.agent.liveness.absent)
}

func TestTargetIsCheckedIfItDoesNotAnswer(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	a := tn.hosts[0].agent
	require.True(t, a.NeedsTargetCheck(tn.now), "at the start")
	a.lastHeartbeat = tn.now
	require.False(t, a.NeedsTargetCheck(tn.now.Add(livenessInterval)))
	tn.dropPacket = func(to netip.AddrPort, _ Header) bool { return to == targetAddress(tn.hosts[0]) }
	tn.send(0, Header{Source: caller(1), SYN: true})
	require.False(t, a.NeedsTargetCheck(tn.now.Add(synAnswerTimeout)))
	require.True(t, a.NeedsTargetCheck(tn.now.Add(livenessInterval+time.Millisecond)))
	tn.dropPacket = nil
	tn.send(0, Header{Source: caller(2), SYN: true})
	require.False(t, a.NeedsTargetCheck(tn.now.Add(3*livenessInterval)), "the target answered")
	require.True(t, a.NeedsTargetCheck(tn.now.Add(heartbeatTimeout+time.Millisecond)), "no announcement")
}

// Pattern: a draining target closes its port while a request is in progress, and its deregistration arrives some
// milliseconds later (review/findings/flow-as-host-deregisters). One refused check reset the open flow.
func TestDrainingTargetThatRefusesConnectionsIsNotReset(t *testing.T) {
	tn := newTestNetwork(t, 1, 1)
	h := tn.openFlow(0, 1)
	target := *h.member.Target
	target.State = facts.TargetDraining
	var out Output
	h.agent.UpdateTarget(tn.now, target, true, &out)
	check := func(after time.Duration, wantAbsent bool) {
		tn.now = tn.now.Add(after)
		tn.reportAbsence(h)
		require.Equal(t, wantAbsent, h.agent.TargetIsAbsent())
		require.Equal(t, wantAbsent, tn.toCaller[len(tn.toCaller)-1].RST)
	}
	check(2*time.Millisecond, false)
	require.True(t, h.agent.NeedsTargetCheck(tn.now.Add(livenessInterval)), "the refusal is checked again")
	check(400*time.Millisecond, false)
	answered, _ := tn.sendRequest(0, 1, h)
	require.True(t, answered)
	check(200*time.Millisecond, false)
	check(400*time.Millisecond, false)
	h.agent.TargetNotRefused()
	check(200*time.Millisecond, false)
	check(drainingProofTime, true)
}
