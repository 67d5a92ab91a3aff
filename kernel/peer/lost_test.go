package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// An agent all of whose peers died at once, so that nobody can tell it, finds others by itself (batinah, ack-then-dark).
func TestAgentWhosePeersDiedFindsOthers(t *testing.T) {
	f := startFleet(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seed := f.spreads[0].Self.Control
	for i := range 6 {
		f.start(ctx, fmt.Sprintf("more-%d", i), facts.RoleEntry, append(f.spreads[1].Seeds, seed))
	}
	agent := f.spreads[3]
	require.Equal(t, facts.RoleAgent, agent.Self.Role)
	f.await(func() bool { return f.agree() && len(agent.View().Members) == 10 })
	for _, a := range ChoosePeers(agent.Self, agent.Seeds, agent.View().Members) {
		agent.saw(a, context.DeadlineExceeded)
	}
	dead := agent.failing(time.Now())
	require.NotEmpty(t, dead)
	alive := 0
	for _, a := range agent.peers(time.Now()) {
		if !dead[a] {
			alive++
		}
	}
	require.GreaterOrEqual(t, alive, nearPeers)
}
