package scenario

import "context"

func init() {
	Scenarios.Register("demo", Scenario{Purpose: "replace one entry and one target", Planned: true, Act: demo})
}

func demo(ctx context.Context, e *Experiment) error {
	e.Say("replacing %s", e.Cluster.Entries[0].Name)
	if err := e.Cluster.ReplaceEntry(ctx, e.Cluster.Entries[0]); err != nil {
		return err
	}
	e.Say("replacing %s", e.Cluster.Agents[0].Name)
	return e.Cluster.ReplaceAgent(ctx, e.Cluster.Agents[0])
}
