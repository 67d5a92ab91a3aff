package cmd

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/rig/scenario"
)

const demoDuration = 10 * time.Second

type demoCmd struct {
	keep bool
}

func newDemoCmd() *cobra.Command {
	c := &demoCmd{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Serve requests through all processes for some seconds while an instance of each kind is replaced",
		Args:  cobra.NoArgs,
		RunE:  c.runDemo,
	}
	cmd.Flags().BoolVar(&c.keep, "keep", false, "keep the directory with settings, logs and records")
	return cmd
}

func (c *demoCmd) runDemo(cmd *cobra.Command, _ []string) error {
	run := &scenarioRun{
		options:       scenario.Options{Name: "demo", Seed: 1, Duration: demoDuration, Policy: placement.DefaultRequestPolicy, Size: "small"},
		progress:      cmd.ErrOrStderr(),
		keepDirectory: c.keep,
	}
	r, err := run.execute(cmd.Context())
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), string(text))
	if err != nil {
		return err
	}
	return checkResult(r)
}
