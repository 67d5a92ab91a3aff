// Command coltsfootline is the operator's command line.
package main

import (
	"os"

	"github.com/coltsfootline/coltsfootline/coltsfootline/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
