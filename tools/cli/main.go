// Package cli is the command flamingohall: its command line and what the commands print.
package cli

import (
	"io"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
)

// Version is set by the linker for a release.
var Version = "development"

type commandLine struct {
	Version kong.VersionFlag `help:"Print the version."`
}

// Main runs the command line and returns its error.
func Main(args []string, out, errOut io.Writer) error {
	var cli commandLine
	exited := false
	parser, err := kong.New(&cli,
		kong.Name("flamingohall"),
		kong.Vars{"version": Version},
		kong.Writers(out, errOut),
		kong.Exit(func(int) { exited = true }),
	)
	if err != nil {
		return errors.Wrap(err, "command line")
	}
	parsed, err := parser.Parse(args)
	if exited {
		return nil
	}
	if err != nil {
		return fault.New(fault.Malformed, "see flamingohall --help", "%v", err)
	}
	return parsed.Run()
}

// ExitCode returns the exit code that stands for err.
func ExitCode(err error) int {
	if fault.Is(err, fault.Malformed) {
		return 2
	}
	return 1
}
