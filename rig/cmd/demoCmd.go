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
		Short: "Serve real requests through every process for some seconds, replacing an instance of each kind",
		Args:  cobra.NoArgs,
		RunE:  c.runDemo,
	}
	cmd.Flags().BoolVar(&c.keep, "keep", false, "keep the directory with settings, logs and records")
	return cmd
}

func (c *demoCmd) runDemo(cmd *cobra.Command, _ []string) error {
	e := &experiment{
		options:  scenario.Options{Name: "demo", Seed: 1, Duration: demoDuration, Policy: placement.DefaultRequestPolicy, Size: "small"},
		progress: cmd.ErrOrStderr(),
		keep:     c.keep,
	}
	r, err := e.do(cmd.Context())
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
	return verdict(r)
}
