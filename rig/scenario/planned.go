package scenario

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/rig/cluster"
	"github.com/coltsfootline/coltsfootline/rig/fabric"
)

func init() {
	Scenarios.Register("steady", Scenario{Purpose: "no change and no fault", Planned: true})
	Scenarios.Register("replaceEntries", Scenario{Purpose: "replace every entry", Planned: true, Run: replaceEntries})
	Scenarios.Register("replaceTargets", Scenario{Purpose: "drain and replace every target", Planned: true, Run: replaceTargets})
	Scenarios.Register("replaceBoth", Scenario{Purpose: "replace every entry and every target", Planned: true, Run: replaceBoth})
	Scenarios.Register("moveAll", Scenario{Purpose: "move every connection several times, under loss and reordering", Planned: true, Run: moveAll})
}

func replaceEntries(ctx context.Context, e *Experiment) error {
	for _, n := range append([]*cluster.Node{}, e.Cluster.Entries...) {
		e.Logf("replacing %s", n.Name)
		if err := e.Cluster.ReplaceEntry(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func replaceTargets(ctx context.Context, e *Experiment) error {
	for _, n := range append([]*cluster.Node{}, e.Cluster.Agents...) {
		begin := time.Now()
		if err := e.Cluster.ReplaceAgent(ctx, n); err != nil {
			return err
		}
		e.Logf("replaced %s in %.1fs", n.Name, time.Since(begin).Seconds())
	}
	return nil
}

// replaceBoth alternates between agents and entries, so that both change within the same minute.
func replaceBoth(ctx context.Context, e *Experiment) error {
	entries := append([]*cluster.Node{}, e.Cluster.Entries...)
	for i, n := range append([]*cluster.Node{}, e.Cluster.Agents...) {
		if err := e.Cluster.ReplaceAgent(ctx, n); err != nil {
			return err
		}
		e.Logf("replaced %s", n.Name)
		if i < len(entries) {
			if err := e.Cluster.ReplaceEntry(ctx, entries[i]); err != nil {
				return err
			}
			e.Logf("replaced %s", entries[i].Name)
		}
	}
	return nil
}

func moveAll(ctx context.Context, e *Experiment) error {
	total := 0
	e.Moved = &total
	if err := e.Cluster.SetFaults(fabric.Faults{Loss: 0.01, Duplicate: 0.01, Reorder: 0.05, ReorderMs: 5}); err != nil {
		return err
	}
	for end := time.Now().Add(e.Options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		for _, n := range e.Cluster.LiveAgents() {
			moved, err := e.Cluster.MoveAll(ctx, n)
			if err != nil {
				return err
			}
			total += moved
		}
		e.Logf("moved %d connections so far", total)
		time.Sleep(time.Second)
	}
	return nil
}
