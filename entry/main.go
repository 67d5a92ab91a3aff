// Command entry forwards the fabric's packets to agents.
package main

import (
	"os"

	"github.com/coltsfootline/coltsfootline/entry/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
