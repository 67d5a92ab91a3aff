// Package cmd is the command line of the rig.
package cmd

import (
	"io"

	"github.com/coltsfootline/coltsfootline/kernel/command"
)

// Main runs the rig's command line and returns the exit code.
func Main(arguments []string, out, errorOut io.Writer) int {
	root := command.NewRoot("rig", "Run the system against stand-ins and measure it",
		"The rig starts the real programs as processes, with stand-ins for the platform's store, the network\n"+
			"fabric, the targets and the callers, and compares what callers saw with what targets ran.")
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
