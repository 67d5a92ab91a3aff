package scenario

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/rig/caller"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
)

const (
	isolationTime = 10 * time.Second
	redialShare   = 0.3
)

func init() {
	Scenarios.Register("unevenTables", Scenario{
		Purpose:    "entries have different tables for seconds while connections open and targets are replaced",
		Planned:    true,
		Configure:  func(c *cluster.Cluster) { c.ProxyControlLinks = true },
		AdjustLoad: func(l *caller.Load) { l.RedialShare = redialShare },
		Run:        unevenTables,
	})
}

// unevenTables isolates one entry at a time and replaces an agent meanwhile, so that the isolated entry forwards
// packets by an outdated table.
func unevenTables(ctx context.Context, e *Experiment) error {
	agents := append([]*cluster.Node{}, e.Cluster.Agents...)
	entries := append([]*cluster.Node{}, e.Cluster.Entries...)
	for i := 0; i < len(entries) && ctx.Err() == nil; i++ {
		e.Logf("blocking the control links of %s", entries[i].Name)
		if err := e.Cluster.Isolate(entries[i]); err != nil {
			return err
		}
		r := &agentReplacement{cluster: e.Cluster, old: agents[i*len(agents)/len(entries)], done: make(chan error, 1)}
		go r.run(ctx)
		time.Sleep(isolationTime)
		e.Cluster.Reconnect(entries[i])
		if err := <-r.done; err != nil {
			return err
		}
		time.Sleep(settleTime)
	}
	return nil
}

// agentReplacement replaces an agent in the background and sends the result on done.
type agentReplacement struct {
	cluster *cluster.Cluster
	old     *cluster.Node
	done    chan error
}

func (r *agentReplacement) run(ctx context.Context) {
	r.done <- r.cluster.ReplaceAgent(ctx, r.old)
}
