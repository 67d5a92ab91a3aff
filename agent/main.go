// Command agent serves the target beside it: it terminates callers' TCP connections for the target, or forwards their
// packets to a target that terminates the connections itself.
package main

import (
	"os"
	// Registers the packet, plan, announcement and store formats of the users' platform.
	_ "github.com/coltsfootline/coltsfootline/platform"

	"github.com/coltsfootline/coltsfootline/agent/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
