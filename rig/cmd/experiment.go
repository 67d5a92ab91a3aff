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

// experiment builds the programs, starts a cluster in a directory of its own and runs one scenario.
type experiment struct {
	options  scenario.Options
	progress io.Writer
	keep     bool
}

func (e *experiment) do(ctx context.Context) (scenario.Result, error) {
	size, err := cluster.Sizes.Get(e.options.Size)
	if err != nil {
		return scenario.Result{}, err
	}
	directory, err := os.MkdirTemp("", "coltsfootline-")
	if err != nil {
		return scenario.Result{}, err
	}
	defer e.tidy(directory)
	programs, err := cluster.Build(ctx, directory)
	if err != nil {
		return scenario.Result{}, err
	}
	c := &cluster.Cluster{
		Directory: directory,
		Programs:  programs,
		Size:      size,
		Seed:      e.options.Seed,
		Policy:    e.options.Policy,
		Logger:    slog.New(slog.NewTextHandler(e.progress, nil)),
	}
	s, err := scenario.Scenarios.Get(e.options.Name)
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
	r, err := scenario.Run(ctx, c, e.options, e.progress)
	e.keep = e.keep || err != nil || len(r.BrokenPromises) > 0
	return r, err
}

// tidy removes the directory, unless it is asked for or shows a failure.
func (e *experiment) tidy(directory string) {
	if e.keep {
		_, _ = fmt.Fprintln(e.progress, "settings, logs and records are in", directory)
		return
	}
	_ = os.RemoveAll(directory)
}
