package cmd

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/coltsfootline/coltsfootline/rig/cluster"
	"github.com/coltsfootline/coltsfootline/rig/scenario"
)

// scenarioRun builds the programs, starts a cluster in a temporary directory and runs one scenario.
type scenarioRun struct {
	options       scenario.Options
	progress      io.Writer
	keepDirectory bool
}

// execute returns the result of the scenario. A result with broken promises is not an error.
func (run *scenarioRun) execute(ctx context.Context) (scenario.Result, error) {
	size, err := cluster.Sizes.Get(run.options.Size)
	if err != nil {
		return scenario.Result{}, err
	}
	directory, err := os.MkdirTemp("", "coltsfootline-")
	if err != nil {
		return scenario.Result{}, err
	}
	defer run.cleanUp(directory)
	programs, err := cluster.Build(ctx, directory)
	if err != nil {
		return scenario.Result{}, err
	}
	c := &cluster.Cluster{
		Directory: directory,
		Programs:  programs,
		Size:      size,
		Seed:      run.options.Seed,
		Policy:    run.options.Policy,
		Logger:    slog.New(slog.NewTextHandler(run.progress, nil)),
	}
	s, err := scenario.Scenarios.Get(run.options.Name)
	if err != nil {
		return scenario.Result{}, err
	}
	if s.Configure != nil {
		s.Configure(c)
	}
	defer c.Stop()
	if err := c.Start(ctx); err != nil {
		return scenario.Result{}, err
	}
	r, err := scenario.Run(ctx, c, run.options, run.progress)
	run.keepDirectory = run.keepDirectory || err != nil || len(r.FailedChecks) > 0
	return r, err
}

// cleanUp removes the temporary directory unless keepDirectory is set, by the user or because the scenario failed.
func (run *scenarioRun) cleanUp(directory string) {
	if run.keepDirectory {
		_, _ = fmt.Fprintln(run.progress, "settings, logs and records are in", directory)
		return
	}
	_ = os.RemoveAll(directory)
}
