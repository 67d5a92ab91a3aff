package command

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

type versionCmd struct {
	name string
}

// NewVersionCmd returns the version subcommand of a program.
func NewVersionCmd(name string) *cobra.Command {
	c := &versionCmd{name: name}
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE:  c.runVersion,
	}
}

func (c *versionCmd) runVersion(cmd *cobra.Command, _ []string) error {
	_, err := fmt.Fprintln(cmd.OutOrStdout(), c.name, Version, runtime.Version())
	return err
}
