package scenario

import (
	"context"
	"syscall"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
	"github.com/coltsfootline/coltsfootline/rig/fabric"
)

const (
	// settleTime lets the cluster settle between two changes and after the last.
	settleTime = 2 * time.Second
	// fabricDetectionTime is how long the fabric keeps using a killed entry.
	fabricDetectionTime = time.Second
	maxFreezeTime       = 3 * time.Second
	statusTimeout       = 2 * time.Second
)

func init() {
	Scenarios.Register("killEntry", Scenario{Purpose: "kill entries, one after the other", Planned: true, Run: killEntry})
	Scenarios.Register("killAgent", Scenario{Purpose: "kill an agent: only its own connections may end", Run: killAgent, Check: checkKillAgent})
	Scenarios.Register("lossyFabric", Scenario{Purpose: "lose, repeat, reorder and delay packets", Planned: true, Run: lossyFabric})
	Scenarios.Register("freeze", Scenario{Purpose: "stop and continue entries and agents", Planned: true, Run: freeze})
}

// repeatUntilEnd calls step repeatedly until settleTime before the requested duration is over.
func repeatUntilEnd(ctx context.Context, e *Experiment, step func() error) error {
	for end := time.Now().Add(e.Options.Duration - settleTime); time.Now().Before(end) && ctx.Err() == nil; {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func killEntry(ctx context.Context, e *Experiment) error {
	return repeatUntilEnd(ctx, e, func() error {
		time.Sleep(settleTime)
		victim := e.Cluster.Entries[e.Random.IntN(len(e.Cluster.Entries))]
		e.Logf("killing %s", victim.Name)
		return e.Cluster.KillEntry(ctx, victim, fabricDetectionTime)
	})
}

// killAgent emulates the failure of an instance: it kills an agent and its target, and starts another agent.
func killAgent(ctx context.Context, e *Experiment) error {
	time.Sleep(settleTime)
	live := e.Cluster.LiveAgents()
	victim := live[e.Random.IntN(len(live))]
	open, err := e.openConnections(ctx, victim)
	if err != nil {
		return err
	}
	e.AllowedBrokenConnections = open
	e.Logf("killing %s, which holds %d connections", victim.Name, open)
	victim.Process.Kill()
	victim.Target.Kill()
	time.Sleep(settleTime)
	newNode, err := e.Cluster.AddAgent(victim.Service)
	if err != nil {
		return err
	}
	return e.Cluster.AwaitReady(ctx, newNode)
}

// openConnections asks an agent how many connections it holds.
func (e *Experiment) openConnections(ctx context.Context, n *cluster.Node) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var s peer.StatusReply
	err := e.Cluster.Peers.Call(ctx, n.Control, peer.MethodStatus, peer.StatusRequest{}, &s)
	return s.Open, err
}

func checkKillAgent(e *Experiment, r *Result) {
	if r.BrokenConnections > e.AllowedBrokenConnections {
		r.FailedChecks = append(r.FailedChecks, "otherConnectionsEnded")
	}
	if r.OpenAtEnd != r.Connections {
		r.FailedChecks = append(r.FailedChecks, "notOpenAtEnd")
	}
}

func lossyFabric(ctx context.Context, e *Experiment) error {
	return repeatUntilEnd(ctx, e, func() error {
		f := fabric.Faults{
			Loss:      0.03 * e.Random.Float64(),
			Duplicate: 0.05 * e.Random.Float64(),
			Reorder:   0.10 * e.Random.Float64(),
			ReorderMs: 10,
			DelayMs:   2 * e.Random.Float64(),
		}
		e.Logf("setting faults %+v", f)
		time.Sleep(settleTime)
		return e.Cluster.SetFaults(f)
	})
}

func freeze(ctx context.Context, e *Experiment) error {
	return repeatUntilEnd(ctx, e, func() error {
		all := e.Cluster.Running()
		n := all[e.Random.IntN(len(all))]
		d := time.Duration(e.Random.Float64() * float64(maxFreezeTime))
		e.Logf("freezing %s for %v", n.Name, d)
		n.Process.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		n.Process.Signal(syscall.SIGCONT)
		time.Sleep(settleTime / 2)
		return nil
	})
}
