package store

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

// TestUntrustedControlCalls makes the calls that anyone who can reach a control address can make, because control
// connections are not authenticated (docs/PLATFORM.md). Malformed calls are refused, and a false claim about an instance is
// refuted by that instance.
func TestUntrustedControlCalls(t *testing.T) {
	s := startStore(t)
	s.putPlan(t, 3)
	first := startInstance(t, s, "entry-1", facts.RoleEntry, freeAddress(t))
	second := startInstance(t, s, "entry-2", facts.RoleEntry, freeAddress(t))
	eventually(t, "members", func() bool { return first.seesServing("entry-2") && second.seesServing("entry-1") })
	pool := &peer.Pool{}
	t.Cleanup(pool.Close)
	to := first.node.Self.Control
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for method, params := range map[string]any{
		"no.such": nil, peer.MethodSpread: "text", peer.MethodExchange: []int{1}, control.MethodPlan: 7,
	} {
		require.Error(t, pool.Call(ctx, to, method, params, nil), method)
	}
	claim := second.node.Self
	claim.State = facts.StateDown
	f, err := claim.Fact(second.node.Gossip.Incarnation, 1000)
	require.NoError(t, err)
	f.Body = `{"instance":`
	require.NoError(t, pool.Call(ctx, to, peer.MethodSpread, peer.SpreadRequest{Facts: []facts.Fact{f}}, &peer.SpreadReply{}))
	require.True(t, first.seesServing("entry-2"), "a malformed body changes nothing")
	f, err = claim.Fact(second.node.Gossip.Incarnation, 2000)
	require.NoError(t, err)
	require.NoError(t, pool.Call(ctx, to, peer.MethodSpread, peer.SpreadRequest{Facts: []facts.Fact{f}}, &peer.SpreadReply{}))
	time.Sleep(50 * time.Millisecond)
	eventually(t, "refuted", func() bool { return first.seesServing("entry-2") && second.seesServing("entry-1") })
}
