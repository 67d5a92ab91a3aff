package command

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/reload"
	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

// settingsFlag is the name of the flag for the settings file.
const settingsFlag = "settings"

// MissingFlagError reports a required flag that is missing.
type MissingFlagError struct {
	Flag string
}

// Error returns a message with the flag.
func (e *MissingFlagError) Error() string {
	return "--" + e.Flag + " is required"
}

type runCmd[S settings.Validator] struct {
	program *Program[S]
	file    string
}

func newRunCmd[S settings.Validator](p *Program[S]) *cobra.Command {
	c := &runCmd[S]{program: p}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the " + p.Name + " until SIGTERM",
		Long:  "Run the " + p.Name + " until SIGTERM, which stops it gracefully; a second SIGTERM ends it at once.",
		Args:  cobra.NoArgs,
		RunE:  c.runRun,
	}
	addSettingsFlag(cmd, &c.file)
	return cmd
}

func (c *runCmd[S]) runRun(cmd *cobra.Command, _ []string) error {
	s := c.program.NewSettings()
	if err := settings.Load(c.file, s); err != nil {
		return err
	}
	return c.program.Run(reload.WithFile(cmd.Context(), c.file), s, cmd.OutOrStdout())
}

// addSettingsFlag adds the --settings flag, which is required. If it is missing, the command returns a UsageError.
func addSettingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVarP(file, settingsFlag, "s", "", "YAML settings file, required")
	cmd.PreRunE = func(*cobra.Command, []string) error {
		if *file == "" {
			return errors.WithStack(&UsageError{Cause: &MissingFlagError{Flag: settingsFlag}})
		}
		return nil
	}
	_ = cmd.MarkFlagFilename(settingsFlag, "yaml", "yml")
}
