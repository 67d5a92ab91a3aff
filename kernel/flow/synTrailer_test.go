package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// newTrailerNetwork returns a network with one entry and one host of the service s, whose agent takes trailers according
// to the membership. In truth it is of the given service and has no plan.
func newTrailerNetwork(t *testing.T, service string, trailers bool) (*testNetwork, *testHost) {
	tn := newTestNetwork(t, 1, 1)
	h := tn.hosts[0]
	h.member.SynTrailer = trailers
	tn.updateEntry(0)
	h.agent = &Agent{Self: h.member.Packets, Service: service, Target: targetAddress(h), Codec: testCodec{}}
	h.agent.UpdateTarget(tn.now, *h.member.Target, true, &Output{})
	return tn, h
}

// Pattern: after a loss of power, an entry takes the store's object of a host that is gone for a host that serves. The
// address belongs to a host of another service by now, whose agent has no plan yet. It accepted the SYN, and the request
// ran at the wrong service (review case 1). A plan that gives the route to both services, and a flow that is known from an
// earlier use of the caller's port, must not hide the mistake.
func TestSYNForAnotherServiceIsRefused(t *testing.T) {
	for _, withPlan := range []bool{false, true} {
		tn, h := newTrailerNetwork(t, "u", true)
		if withPlan {
			tn.plan.Routes[0].Shares = append(tn.plan.Routes[0].Shares, plan.Share{Service: "u"})
			h.agent.SetPlan(tn.plan)
			h.agent.track(flowOf(1), &agentFlow{state: stateOpen})
		}
		tn.send(0, Header{Source: caller(1), SYN: true})
		require.Empty(t, h.target.received)
		require.Contains(t, tn.decisionReasons(ActionRefused), "otherService")
	}
}

// Guards against an agent without a plan that refuses its own SYNs, and against a trailer that reaches the target or the
// entry.
func TestAgentWithoutPlanAcceptsSYNForItsService(t *testing.T) {
	tn, h := newTrailerNetwork(t, "s", true)
	require.Same(t, h, tn.openFlow(0, 1))
	require.Equal(t, caller(1), h.target.received[0].Source)
	h.target.full = true
	tn.send(0, Header{Source: caller(2), SYN: true})
	require.Contains(t, tn.decisionReasons(ActionBounced), "full")
	for _, hdr := range h.target.received {
		require.NotZero(t, hdr.Source, "a packet of the wrong length reached the target")
	}
}

// An entry of an older build names no service. An agent without a plan can't tell whether the SYN is meant for it.
func TestAgentWithoutPlanRefusesUnnamedSYN(t *testing.T) {
	tn, h := newTrailerNetwork(t, "s", false)
	tn.send(0, Header{Source: caller(1), SYN: true})
	require.Empty(t, h.target.received)
	require.Contains(t, tn.decisionReasons(ActionRefused), "unnamedService")
	h.agent.SetPlan(tn.plan)
	tn.advance(time.Minute)
	tn.openFlow(0, 2)
}

// Guards against trailers to agents of older builds, which drop them, and against callers' packets with a trailer.
func TestTrailerIsSentToNewAgentsOnly(t *testing.T) {
	for _, trailers := range []bool{true, false} {
		tn, _ := newTrailerNetwork(t, "s", trailers)
		syn := callerPacket(flowOf(1), Header{SYN: true})
		var out Output
		tn.entries[0].HandlePacket(tn.now, address(99), testCodec{}.AppendTrailer(syn, "s"), &out)
		require.Empty(t, out.Packets)
		tn.entries[0].HandlePacket(tn.now, address(99), syn, &out)
		_, trailer := testCodec{}.SplitTrailer(out.Packets[0].Packet)
		require.Equal(t, trailers, string(trailer) == "s")
	}
}
