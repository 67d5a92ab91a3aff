// Package command builds the command line of programs that run from a settings file, with the subcommands run, validate,
// doctor and version.
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

// Version is the release version. It can be set with the linker flag -X.
var Version = "development"

// Program describes a program that runs from a settings file.
type Program[S settings.Validator] struct {
	Name string
	// Short and Long are the descriptions in the help of the root command.
	Short string
	Long  string
	// NewSettings returns the default settings, which a settings file is decoded into.
	NewSettings func() S
	// Run runs the program until ctx ends and writes its log to logs.
	Run func(ctx context.Context, s S, logs io.Writer) error
	// Checks returns the environment checks that doctor runs for the settings.
	Checks func(s S) []Check
}

// UsageError reports invalid command-line arguments or flags, which give the exit code ExitSettings.
type UsageError struct {
	Cause error
}

// Error returns the message of the cause.
func (e *UsageError) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error {
	return e.Cause
}

// Root returns the root command of the program with its subcommands.
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

// NewRoot returns a root command without subcommands. It reports invalid flags as UsageError and leaves the printing of
// errors to Execute.
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

// Execute runs the command with the arguments, prints its error to errorOut, and returns the exit code. Errors that
// occur before a subcommand starts give ExitSettings, because cobra's errors for an unknown command or a wrong number of
// arguments have no type to recognise them by.
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

// exitCode returns the exit code for an error of a subcommand.
func exitCode(err error) int {
	var invalidSettings *settings.Error
	var unreadableFile *settings.ReadError
	var usage *UsageError
	if errors.As(err, &invalidSettings) || errors.As(err, &unreadableFile) || errors.As(err, &usage) {
		return process.ExitSettings
	}
	return process.ExitFailure
}

// Main runs the program with the arguments of the process and returns the exit code.
func (p *Program[S]) Main() int {
	return Execute(p.Root(), os.Args[1:], os.Stdout, os.Stderr)
}
