package scenario

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/tcpstack"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
)

// silentFlowTimeout limits how long a caller with a request in flight may wait until it learns that a middlebox forgot
// its flow.
const silentFlowTimeout = 15 * time.Second

// silentFlowKeepAlive makes agents detect unreachable callers within Idle + Count × Interval.
var silentFlowKeepAlive = tcpstack.KeepAlive{Idle: 3 * time.Second, Interval: time.Second, Count: 3}

func init() {
	Scenarios.Register("silentFlow", Scenario{
		Purpose:   "a middle box forgets the open flows: new ones work, old ones hang",
		TimeoutMs: silentFlowTimeout.Milliseconds(),
		Configure: func(c *cluster.Cluster) { c.KeepAlive = silentFlowKeepAlive },
		Run:       silentFlow,
		Check:     checkSilentFlow,
	})
}

func silentFlow(ctx context.Context, e *Experiment) error {
	if err := e.Cluster.PutFabric("track", nil); err != nil {
		return err
	}
	time.Sleep(settleTime)
	oneWay := e.Options.Seed%2 == 0
	e.Logf("the fabric forgets all open flows, one way: %t", oneWay)
	if err := e.Cluster.PutFabric("forget", oneWay); err != nil {
		return err
	}
	detectionTime := silentFlowKeepAlive.Idle + time.Duration(silentFlowKeepAlive.Count+2)*silentFlowKeepAlive.Interval
	time.Sleep(detectionTime)
	total := 0
	for _, n := range e.Cluster.LiveAgents() {
		open, err := e.openConnections(ctx, n)
		if err != nil {
			return err
		}
		total += open
	}
	e.Logf("agents hold %d connections", total)
	e.OpenAfterFault = total
	return nil
}

// maxOneWayDetection limits how long a caller waits if only its own packets are dropped: the keep-alive of the agent
// fails within the time of silentFlowKeepAlive, and the reset that it sends still reaches the caller.
const maxOneWayDetection = 8 * time.Second

// checkSilentFlow requires that agents close the forgotten connections and that every caller ends with a working
// connection.
func checkSilentFlow(e *Experiment, r *Result) {
	if e.OpenAfterFault > r.Connections {
		r.FailedChecks = append(r.FailedChecks, "agentsKeepForgottenFlows")
	}
	if r.BrokenConnections == 0 {
		r.FailedChecks = append(r.FailedChecks, "nothingForgotten")
	}
	if r.BrokenConnections > r.Connections {
		r.FailedChecks = append(r.FailedChecks, "newConnectionsEnded")
	}
	if e.Options.Seed%2 == 0 && r.SlowestEndMs > float64(maxOneWayDetection.Milliseconds()) {
		r.FailedChecks = append(r.FailedChecks, "learnedLate")
	}
	if r.OpenAtEnd != r.Connections {
		r.FailedChecks = append(r.FailedChecks, "notOpenAtEnd")
	}
}
