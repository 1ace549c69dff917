// Command flamingohall is the command line for callers, operators and experiments.
package main

import (
	"fmt"
	"os"

	"flamingohall.example/tools/cli"
)

func main() {
	if err := cli.Main(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "flamingohall:", err)
		os.Exit(cli.ExitCode(err))
	}
}
