package cmd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/rig/caller"
)

// CallerReady is the line that a caller process prints once its connections are open.
const CallerReady = "ready"

type callerCmd struct {
	settings string
}

func newCallerCmd() *cobra.Command {
	c := &callerCmd{}
	cmd := &cobra.Command{
		Use:    "caller",
		Short:  "Run emulated callers",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   c.runCaller,
	}
	cmd.Flags().StringVar(&c.settings, "settings", "", "YAML settings file")
	return cmd
}

func (c *callerCmd) runCaller(cmd *cobra.Command, _ []string) error {
	text, err := os.ReadFile(c.settings)
	if err != nil {
		return err
	}
	var s caller.Settings
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return err
	}
	f, err := os.Create(s.Outcomes)
	if err != nil {
		return err
	}
	w := bufio.NewWriterSize(f, 1<<20)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	p := &caller.Process{
		Settings: s,
		Outcomes: w,
		Ready:    func() { _, _ = fmt.Fprintln(cmd.OutOrStdout(), CallerReady) },
		Stop:     stop,
	}
	summary, err := p.Run(cmd.Context())
	if err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return json.NewEncoder(cmd.OutOrStdout()).Encode(summary)
}
