package scenario

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/rig/caller"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
)

const (
	unevenTime  = 4 * time.Second
	redialShare = 0.3
)

func init() {
	Scenarios.Register("unevenTables", Scenario{
		Purpose:   "entries have different tables for seconds while connections open and targets are replaced",
		Planned:   true,
		Configure: func(c *cluster.Cluster) { c.Proxied = true },
		Adjust:    func(l *caller.Load) { l.RedialShare = redialShare },
		Act:       unevenTables,
	})
}

// unevenTables isolates one entry after the other while the list of targets changes.
func unevenTables(ctx context.Context, e *Experiment) error {
	agents := append([]*cluster.Node{}, e.Cluster.Agents...)
	entries := append([]*cluster.Node{}, e.Cluster.Entries...)
	for i := 0; i < len(entries) && ctx.Err() == nil; i++ {
		e.Say("isolating %s", entries[i].Name)
		if err := e.Cluster.Isolate(entries[i]); err != nil {
			return err
		}
		if err := e.Cluster.ReplaceAgent(ctx, agents[e.Random.IntN(len(agents)/len(entries))+i*len(agents)/len(entries)]); err != nil {
			return err
		}
		time.Sleep(unevenTime)
		e.Cluster.Rejoin(entries[i])
		time.Sleep(settleTime)
	}
	return nil
}
