package cmd

import (
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/rig/target"
)

type targetCmd struct {
	listen   string
	instance string
	service  string
	runs     string
}

func newTargetCmd() *cobra.Command {
	c := &targetCmd{}
	cmd := &cobra.Command{
		Use:    "target",
		Short:  "Run an emulated target",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   c.runTarget,
	}
	cmd.Flags().StringVar(&c.listen, "listen", "", "TCP address to listen on")
	cmd.Flags().StringVar(&c.instance, "instance", "", "name of the instance")
	cmd.Flags().StringVar(&c.service, "service", "", "name of the service")
	cmd.Flags().StringVar(&c.runs, "runs", "", "file to append records of runs to")
	return cmd
}

func (c *targetCmd) runTarget(*cobra.Command, []string) error {
	f, err := os.OpenFile(c.runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return http.ListenAndServe(c.listen, &target.Target{Instance: c.instance, Service: c.service, Runs: f})
}
