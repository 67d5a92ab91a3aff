package peer

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// TestAgentReplacesFailedPeers checks that an agent chooses additional peers when all its peers fail at once. In that
// case no other instance can inform the agent that they are down. Seen in the batinah run ack-then-dark.
func TestAgentReplacesFailedPeers(t *testing.T) {
	f := startFleet(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seed := f.instances[0].Self.Control
	for i := range 6 {
		f.start(ctx, fmt.Sprintf("more-%d", i), facts.RoleEntry, append(f.instances[1].Seeds, seed))
	}
	agent := f.instances[3]
	require.Equal(t, facts.RoleAgent, agent.Self.Role)
	f.await(func() bool { return f.converged() && len(agent.View().Members) == 10 })
	for _, a := range (Selection{}).ChoosePeers(agent.Self, agent.Seeds, agent.View().Members) {
		agent.recordResult(a, context.DeadlineExceeded)
	}
	failed := agent.failedPeers(time.Now())
	require.NotEmpty(t, failed)
	working := 0
	for _, a := range agent.peers(time.Now()) {
		if !failed[a] {
			working++
		}
	}
	require.GreaterOrEqual(t, working, localPeerCount)
}

// A wall clock that is set forward made every reply of a peer look old: instances listed the members in the store and
// watched the plan, and one whose clock was set back took itself for connected while it was not.
func TestLastReplyKeepsMonotonicTime(t *testing.T) {
	g := &Gossip{}
	before := time.Now()
	g.recordResult(netip.AddrPort{}, nil)
	at := g.LastReply()
	require.NotEqual(t, at.Round(0), at, "the monotonic reading is missing")
	require.False(t, at.Before(before))
}
