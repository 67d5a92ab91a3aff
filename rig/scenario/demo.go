package scenario

import "context"

func init() {
	Scenarios.Register("demo", Scenario{Purpose: "replace one entry and one target", Planned: true, Run: demo})
}

func demo(ctx context.Context, e *Experiment) error {
	e.Logf("replacing %s", e.Cluster.Entries[0].Name)
	if err := e.Cluster.ReplaceEntry(ctx, e.Cluster.Entries[0]); err != nil {
		return err
	}
	e.Logf("replacing %s", e.Cluster.Agents[0].Name)
	return e.Cluster.ReplaceAgent(ctx, e.Cluster.Agents[0])
}
