package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// startAgentWithoutPlan restarts the agent of a host as one of the given service that has no plan.
func (tn *testNetwork) startAgentWithoutPlan(h *testHost, service string) {
	h.agent = &Agent{Self: h.member.Packets, Service: service, Target: targetAddress(h), Codec: testCodec{}}
	var out Output
	h.agent.UpdateTarget(tn.now, *h.member.Target, true, &out)
}

// newTrailerNetwork returns a network with one entry and one host, whose agent has announced that it takes trailers.
func newTrailerNetwork(t *testing.T) (*testNetwork, *testHost) {
	tn := newTestNetwork(t, 1, 1)
	tn.hosts[0].member.SynTrailer = true
	tn.updateEntry(0)
	return tn, tn.hosts[0]
}

// Pattern: after a loss of power, an entry takes the store's object of a host that is gone for a host that serves. The
// address belongs to a host of another service by now, whose agent has no plan yet. It accepted the SYN, and the request
// ran at the wrong service (review case 1).
func TestAgentWithoutPlanRefusesSYNForAnotherService(t *testing.T) {
	tn, h := newTrailerNetwork(t)
	tn.startAgentWithoutPlan(h, "u")
	tn.send(0, Header{Source: caller(1), SYN: true})
	require.Empty(t, h.target.received)
	require.Contains(t, tn.decisionReasons(ActionRefused), "otherService")
}

// Guards against a new plan that hides that an entry mistakes the host for one of another service, and against a flow that
// is known from an earlier use of the caller's port.
func TestAgentWithPlanRefusesSYNForAnotherService(t *testing.T) {
	tn, h := newTrailerNetwork(t)
	tn.plan.Routes[0].Shares = append(tn.plan.Routes[0].Shares, plan.Share{Service: "u"})
	tn.startAgentWithoutPlan(h, "u")
	h.agent.SetPlan(tn.plan)
	h.agent.track(flowOf(1), &agentFlow{state: stateOpen})
	for n := range 2 {
		tn.send(0, Header{Source: caller(n), SYN: true})
	}
	require.Empty(t, h.target.received)
	require.Subset(t, []string{"otherService"}, tn.decisionReasons(ActionRefused))
}

// Guards against an agent without a plan that refuses its own SYNs, and against a trailer that reaches the target or the
// entry.
func TestAgentWithoutPlanAcceptsSYNForItsService(t *testing.T) {
	tn, h := newTrailerNetwork(t)
	tn.startAgentWithoutPlan(h, "s")
	require.Same(t, h, tn.openFlow(0, 1))
	require.Equal(t, caller(1), h.target.received[0].Source)
	tn.send(0, Header{Source: caller(1), SYN: true, Attempt: 1})
	require.Empty(t, tn.decisionReasons(ActionRefused))
	h.target.full = true
	tn.send(0, Header{Source: caller(2), SYN: true})
	tn.advance(time.Minute)
	h.agent.RefuseNewFlows()
	tn.send(0, Header{Source: caller(3), SYN: true})
	require.Contains(t, tn.decisionReasons(ActionBounced), "full")
	require.Contains(t, tn.decisionReasons(ActionRefused), "leaving")
	for _, hdr := range h.target.received {
		require.NotZero(t, hdr.Source, "a packet of the wrong length reached the target")
	}
}

// An entry of an older build names no service. An agent without a plan can't tell whether the SYN is meant for it.
func TestAgentWithoutPlanRefusesUnnamedSYN(t *testing.T) {
	tn, h := newTrailerNetwork(t)
	h.member.SynTrailer = false
	tn.updateEntry(0)
	tn.startAgentWithoutPlan(h, "s")
	tn.send(0, Header{Source: caller(1), SYN: true})
	require.Empty(t, h.target.received)
	require.Contains(t, tn.decisionReasons(ActionRefused), "unnamedService")
	h.agent.SetPlan(tn.plan)
	tn.advance(time.Minute)
	tn.openFlow(0, 2)
}

// Guards against trailers to agents of older builds, which drop them, and against callers' packets with a trailer.
func TestTrailerIsSentToNewAgentsOnly(t *testing.T) {
	tn, h := newTrailerNetwork(t)
	syn := callerPacket(flowOf(1), Header{SYN: true})
	var out Output
	tn.entries[0].HandlePacket(tn.now, address(99), syn, &out)
	packet, trailer := testCodec{}.SplitTrailer(out.Packets[0].Packet)
	require.Equal(t, "s", string(trailer))
	require.Len(t, packet, testHeaderLength)
	require.Len(t, syn, testHeaderLength)
	h.member.SynTrailer = false
	tn.updateEntry(0)
	out.Clear()
	tn.entries[0].HandlePacket(tn.now, address(99), callerPacket(flowOf(2), Header{SYN: true}), &out)
	require.Len(t, out.Packets[0].Packet, testHeaderLength)
	out.Clear()
	tn.entries[0].HandlePacket(tn.now, address(99), testCodec{}.AppendTrailer(syn, "s"), &out)
	require.Empty(t, out.Packets)
}
