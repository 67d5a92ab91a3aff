// Command rig runs the system against stand-ins of what it serves and measures it.
package main

import (
	"os"

	"github.com/coltsfootline/coltsfootline/rig/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
