// Package command builds the command line that every program of the system shares.
package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/process"
	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

// Version is the release, set by the linker.
var Version = "development"

// Program describes a program that runs from a settings file.
type Program[S settings.Checked] struct {
	Name        string
	Short       string
	Long        string
	NewSettings func() S
	Run         func(ctx context.Context, s S, logs io.Writer) error
	// Checks are the environment checks that doctor adds for these settings.
	Checks func(s S) []Check
}

// UsageError reports arguments that the command line does not take.
type UsageError struct {
	Cause error
}

// Error prints the cause.
func (e *UsageError) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error {
	return e.Cause
}

// Root returns the program's command with its subcommands.
func (p *Program[S]) Root() *cobra.Command {
	root := NewRoot(p.Name, p.Short, p.Long)
	root.AddCommand(
		newRunCmd(p),
		newValidateCmd(p),
		newDoctorCmd(p),
		NewVersionCmd(p.Name),
	)
	return root
}

// NewRoot returns a command without subcommands whose flag faults are UsageError.
func NewRoot(name, short, long string) *cobra.Command {
	root := &cobra.Command{
		Use:           name,
		Short:         short,
		Long:          long,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return errors.WithStack(&UsageError{Cause: err})
	})
	return root
}

// Execute runs the command with arguments and returns the exit code.
func Execute(root *cobra.Command, arguments []string, out, errorOut io.Writer) int {
	started := false
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errorOut)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return process.ExitOK
	}
	_, _ = fmt.Fprintln(errorOut, root.Name()+": "+err.Error())
	if !started {
		return process.ExitSettings
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var faulty *settings.Error
	var unread *settings.ReadError
	var usage *UsageError
	if errors.As(err, &faulty) || errors.As(err, &unread) || errors.As(err, &usage) {
		return process.ExitSettings
	}
	return process.ExitFailure
}

// Main is Execute for a program's main function.
func (p *Program[S]) Main() int {
	return Execute(p.Root(), os.Args[1:], os.Stdout, os.Stderr)
}
