package scenario

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/rig/caller"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
)

const (
	unevenTime  = 10 * time.Second
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
		r := &replacement{cluster: e.Cluster, old: agents[i*len(agents)/len(entries)], done: make(chan error, 1)}
		go r.run(ctx)
		time.Sleep(unevenTime)
		e.Cluster.Rejoin(entries[i])
		if err := <-r.done; err != nil {
			return err
		}
		time.Sleep(settleTime)
	}
	return nil
}

// replacement replaces one agent while something else goes on.
type replacement struct {
	cluster *cluster.Cluster
	old     *cluster.Node
	done    chan error
}

func (r *replacement) run(ctx context.Context) {
	r.done <- r.cluster.ReplaceAgent(ctx, r.old)
}
