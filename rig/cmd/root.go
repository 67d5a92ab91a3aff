// Package cmd implements the rig's command line.
package cmd

import (
	"io"

	"github.com/coltsfootline/coltsfootline/kernel/command"
)

// Main runs the rig's command line and returns the exit code.
func Main(arguments []string, out, errorOut io.Writer) int {
	root := command.NewRoot("rig", "Run the system against emulated infrastructure and measure it",
		"The rig starts the real programs as processes, with an emulated platform store, network fabric, targets and\n"+
			"callers, and compares the answers that callers received with the requests that targets ran.")
	root.AddCommand(
		newDemoCmd(),
		newMeasureCmd(),
		newSoakCmd(),
		newStoreCmd(),
		newFabricCmd(),
		newTargetCmd(),
		newCallerCmd(),
		command.NewVersionCmd("rig"),
	)
	return command.Execute(root, arguments, out, errorOut)
}
