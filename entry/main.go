// Command entry forwards the fabric's packets to agents.
package main

import (
	"os"
	// Registers the packet codec, plan format, announcement form and store dialect of the users' platform.
	_ "github.com/coltsfootline/coltsfootline/platform"

	"github.com/coltsfootline/coltsfootline/entry/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
