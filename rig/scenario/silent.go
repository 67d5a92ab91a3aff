package scenario

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/tcpstack"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
)

// silentBound is how long a caller with a request in flight may go without learning that its flow was forgotten.
const silentBound = 15 * time.Second

// silentKeepAlive makes agents notice vanished callers within Idle + Count × Interval.
var silentKeepAlive = tcpstack.KeepAlive{Idle: 3 * time.Second, Interval: time.Second, Count: 3}

func init() {
	Scenarios.Register("silentFlow", Scenario{
		Purpose:   "a middle box forgets the open flows: new ones work, old ones hang",
		TimeoutMs: silentBound.Milliseconds(),
		Configure: func(c *cluster.Cluster) { c.KeepAlive = silentKeepAlive },
		Act:       silentFlow,
		Check:     checkSilent,
	})
}

func silentFlow(ctx context.Context, e *Experiment) error {
	if err := e.Cluster.PutFabric("track", nil); err != nil {
		return err
	}
	time.Sleep(settleTime)
	oneWay := e.Options.Seed%2 == 0
	e.Say("forgetting every flow, one way: %t", oneWay)
	if err := e.Cluster.PutFabric("forget", oneWay); err != nil {
		return err
	}
	noticed := silentKeepAlive.Idle + time.Duration(silentKeepAlive.Count+2)*silentKeepAlive.Interval
	time.Sleep(noticed)
	total := 0
	for _, n := range e.Cluster.Live() {
		open, err := e.open(ctx, n)
		if err != nil {
			return err
		}
		total += open
	}
	e.Say("agents hold %d connections", total)
	e.HeldAfter = total
	return nil
}

// learnedOneWay bounds how long a caller whose packets alone are swallowed may wait: the agent notices the silence
// within its keep-alive time and resets the connection.
const learnedOneWay = 8 * time.Second

// checkSilent requires that agents let go of the forgotten connections and that callers ended with working ones.
func checkSilent(e *Experiment, r *Result) {
	if e.HeldAfter > r.Connections {
		r.BrokenPromises = append(r.BrokenPromises, "agentsKeepForgottenFlows")
	}
	if r.BrokenConnections == 0 {
		r.BrokenPromises = append(r.BrokenPromises, "nothingForgotten")
	}
	if r.BrokenConnections > r.Connections {
		r.BrokenPromises = append(r.BrokenPromises, "newConnectionsEnded")
	}
	if e.Options.Seed%2 == 0 && r.SlowestEndMs > float64(learnedOneWay.Milliseconds()) {
		r.BrokenPromises = append(r.BrokenPromises, "learnedLate")
	}
	if r.OpenAtEnd != r.Connections {
		r.BrokenPromises = append(r.BrokenPromises, "notOpenAtEnd")
	}
}
