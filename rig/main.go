// Command rig runs the entry and agent programs with an emulated store, fabric, targets and callers, and measures them.
package main

import (
	"os"

	"github.com/coltsfootline/coltsfootline/rig/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
