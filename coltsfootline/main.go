// Command coltsfootline is the command line that operators use to inspect and control an installation.
package main

import (
	"os"

	"github.com/coltsfootline/coltsfootline/coltsfootline/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
