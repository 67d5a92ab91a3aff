package command

import (
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

// UnhealthyError reports that checks of a doctor command failed.
type UnhealthyError struct {
	// Failed is the number of failed checks.
	Failed int
}

// Error returns a message with the number of failed checks.
func (e *UnhealthyError) Error() string {
	return strconv.Itoa(e.Failed) + " checks failed"
}

type doctorCmd[S settings.Validator] struct {
	program *Program[S]
	file    string
}

func newDoctorCmd[S settings.Validator](p *Program[S]) *cobra.Command {
	c := &doctorCmd[S]{program: p}
	cmd := &cobra.Command{
		Use:   "doctor",
		Short: "Check the settings file and the environment it names",
		Args:  cobra.NoArgs,
		RunE:  c.runDoctor,
	}
	addSettingsFlag(cmd, &c.file)
	return cmd
}

func (c *doctorCmd[S]) runDoctor(cmd *cobra.Command, _ []string) error {
	s := c.program.NewSettings()
	if err := settings.Load(c.file, s); err != nil {
		return err
	}
	failed := 0
	for _, check := range c.program.Checks(s) {
		result := "ok"
		if err := check.Run(cmd.Context()); err != nil {
			result = "failed: " + err.Error()
			failed++
		}
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), check.Name+": "+result); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.WithStack(&UnhealthyError{Failed: failed})
	}
	return nil
}
