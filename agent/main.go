// Command agent ends callers' connections beside a target.
package main

import (
	"os"

	"github.com/coltsfootline/coltsfootline/agent/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
