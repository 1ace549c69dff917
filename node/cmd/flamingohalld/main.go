// Command flamingohalld runs the roles that its settings file configures: entry, sidecar, control, or several of them.
package main

import (
	"fmt"
	"os"

	"flamingohall.example/node/daemon"
)

func main() {
	if err := daemon.Main(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "flamingohalld:", err)
		os.Exit(daemon.ExitCode(err))
	}
}
