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
	settleTime      = 2 * time.Second
	fabricDetection = time.Second
	freezeTime      = 3 * time.Second
	statusTimeout   = 2 * time.Second
)

func init() {
	Scenarios.Register("killEntry", Scenario{Purpose: "kill entries, one after the other", Planned: true, Act: killEntry})
	Scenarios.Register("killAgent", Scenario{Purpose: "kill an agent: only its own connections may end", Act: killAgent, Check: checkKilled})
	Scenarios.Register("lossyFabric", Scenario{Purpose: "lose, repeat, reorder and delay packets", Planned: true, Act: lossyFabric})
	Scenarios.Register("freeze", Scenario{Purpose: "stop and continue entries and agents", Planned: true, Act: freeze})
}

// repeatUntilEnd calls act until the experiment's time is over.
func repeatUntilEnd(ctx context.Context, e *Experiment, act func() error) error {
	for end := time.Now().Add(e.Options.Duration - settleTime); time.Now().Before(end) && ctx.Err() == nil; {
		if err := act(); err != nil {
			return err
		}
	}
	return nil
}

func killEntry(ctx context.Context, e *Experiment) error {
	return repeatUntilEnd(ctx, e, func() error {
		time.Sleep(settleTime)
		victim := e.Cluster.Entries[e.Random.IntN(len(e.Cluster.Entries))]
		e.Say("killing %s", victim.Name)
		return e.Cluster.LoseEntry(ctx, victim, fabricDetection)
	})
}

// killAgent kills one agent with its target, as when an instance dies.
func killAgent(ctx context.Context, e *Experiment) error {
	time.Sleep(settleTime)
	live := e.Cluster.Live()
	victim := live[e.Random.IntN(len(live))]
	open, err := e.open(ctx, victim)
	if err != nil {
		return err
	}
	e.MayEnd = open
	e.Say("killing %s with %d connections", victim.Name, open)
	victim.Process.Kill()
	victim.Target.Kill()
	time.Sleep(settleTime)
	fresh, err := e.Cluster.AddAgent(victim.Service)
	if err != nil {
		return err
	}
	return e.Cluster.AwaitReady(ctx, fresh)
}

// open asks an agent how many connections it holds.
func (e *Experiment) open(ctx context.Context, n *cluster.Node) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var s peer.StatusReply
	err := e.Cluster.Peers.Call(ctx, n.Control, peer.MethodStatus, peer.StatusRequest{}, &s)
	return s.Open, err
}

func checkKilled(e *Experiment, r *Result) {
	if r.BrokenConnections > e.MayEnd {
		r.BrokenPromises = append(r.BrokenPromises, "otherConnectionsEnded")
	}
	if r.OpenAtEnd != r.Connections {
		r.BrokenPromises = append(r.BrokenPromises, "notOpenAtEnd")
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
		e.Say("faults %+v", f)
		time.Sleep(settleTime)
		return e.Cluster.SetFaults(f)
	})
}

func freeze(ctx context.Context, e *Experiment) error {
	return repeatUntilEnd(ctx, e, func() error {
		all := e.Cluster.Running()
		n := all[e.Random.IntN(len(all))]
		d := time.Duration(e.Random.Float64() * float64(freezeTime))
		e.Say("freezing %s for %v", n.Name, d)
		n.Process.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		n.Process.Signal(syscall.SIGCONT)
		time.Sleep(settleTime / 2)
		return nil
	})
}
