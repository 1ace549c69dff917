// Package daemon implements the command flamingohalld: its command line, and the lifecycle of a process with one or more
// roles.
package daemon

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/policy"
	"flamingohall.example/node/events"
	"flamingohall.example/node/settings"
)

// Version is set by the linker for a release.
var Version = "development"

// Exit codes of flamingohalld.
const (
	exitFailure  = 1
	exitSettings = 2
)

// commandLine declares the commands and flags.
type commandLine struct {
	Run      runCommand       `cmd:"" help:"Run the roles that FILE names until SIGTERM or SIGINT."`
	Platform platformCommand  `cmd:"" help:"Run the roles that the platform's settings file asks for until SIGTERM."`
	Policy   policyCommand    `cmd:"" help:"Print the default policy: the switches and weights of all decisions."`
	Check    checkCommand     `cmd:"" help:"Check FILE and report all its faults with line and remedy."`
	Events   eventsCommand    `cmd:"" help:"Print the catalogue of log events as Markdown."`
	Version  kong.VersionFlag `help:"Print the version."`
}

type runCommand struct {
	File string `arg:"" help:"Settings file: JSON with comments." type:"path"`
}

type platformCommand struct {
	Policy string `help:"What differs from the policy that the command policy prints: a file of JSON with comments, or the JSON itself."`
}

type policyCommand struct{}

type checkCommand struct {
	File string `arg:"" help:"Settings file: JSON with comments." type:"path"`
}

type eventsCommand struct{}

const examples = `
Examples:
  flamingohalld run examples/dev.jsonc      one process with all roles and a stand-in target
  flamingohalld check examples/dev.jsonc    report every fault of a settings file

Exit codes: 0 stopped as planned, 1 a role failed, 2 the settings or the command line are wrong.`

// Main parses the command line, runs the command and returns its error.
func Main(args []string, out, errOut io.Writer) error {
	var cli commandLine
	exited := false
	parser, err := kong.New(&cli,
		kong.Name("flamingohalld"),
		kong.Description("Runs the processes of flamingohall."+"\n"+examples),
		kong.Vars{"version": Version},
		kong.Writers(out, errOut),
		kong.Exit(func(int) { exited = true }),
		kong.BindTo(out, (*io.Writer)(nil)),
	)
	if err != nil {
		return errors.Wrap(err, "command line")
	}
	parsed, err := parser.Parse(args)
	if exited {
		return nil
	}
	if err != nil {
		return fault.New(fault.Malformed, "see flamingohalld --help", "%v", err)
	}
	return parsed.Run()
}

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	var problems *settings.Problems
	if errors.As(err, &problems) || fault.Is(err, fault.Malformed) || fault.Is(err, fault.NotFound) {
		return exitSettings
	}
	return exitFailure
}

// Run checks the settings file and returns its faults as an error.
func (c *checkCommand) Run(out io.Writer) error {
	if _, err := settings.Read(c.File); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s: good\n", c.File)
	return err
}

// Run prints the default policy.
func (c *policyCommand) Run(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(policy.Default())
}

// Run prints the event catalogue.
func (c *eventsCommand) Run(out io.Writer) error {
	return events.WriteMarkdown(out)
}
