package cmd

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/dataplane"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// Guards against an answer that does not pass through the packet loop's queue, and against one without the entry's name.
func TestWhereRunsAsTask(t *testing.T) {
	e := &passthroughEntry{
		settings: &Settings{Instance: "edge-1", Policy: "leastWait"}, tasks: dataplane.NewTaskQueue(),
		flowEntry: &flow.Entry{DataCentre: "north", Policy: placement.LeastExpectedWait{}, Contention: true},
	}
	params, err := json.Marshal(dataplane.WhereRequest{
		Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Route: netip.MustParseAddrPort("198.18.0.1:443"),
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	replies := make(chan flow.Where, 1)
	go func() {
		reply, _ := dataplane.WhereHandler(e.where)(ctx, params)
		replies <- reply.(flow.Where)
	}()
	require.Eventually(t, func() bool { e.tasks.RunOne(time.Unix(1000, 0)); return len(replies) > 0 }, time.Second, time.Millisecond)
	w := <-replies
	require.Equal(t, []string{"edge-1", "leastWait", "100.64.0.7:40001>198.18.0.1:443"}, []string{w.Instance, w.Policy, w.Flow.String()})
	require.Equal(t, []flow.WhereStep{{Event: flow.WhereHeld, Rule: flow.RuleNoPlan}}, w.Steps)
	cancel()
	_, err = dataplane.WhereHandler(e.where)(ctx, params)
	require.ErrorIs(t, err, context.Canceled)
}
