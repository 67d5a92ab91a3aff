package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

type validateCmd[S settings.Validator] struct {
	program *Program[S]
	file    string
}

func newValidateCmd[S settings.Validator](p *Program[S]) *cobra.Command {
	c := &validateCmd[S]{program: p}
	cmd := &cobra.Command{
		Use:   "validate",
		Short: "Check a settings file and start nothing",
		Args:  cobra.NoArgs,
		RunE:  c.runValidate,
	}
	addSettingsFlag(cmd, &c.file)
	return cmd
}

func (c *validateCmd[S]) runValidate(cmd *cobra.Command, _ []string) error {
	if err := settings.Load(c.file, c.program.NewSettings()); err != nil {
		return err
	}
	_, err := fmt.Fprintln(cmd.OutOrStdout(), c.file+": valid")
	return err
}
