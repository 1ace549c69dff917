// Package cli implements the command line flamingohall: its commands, their output and exit codes.
package cli

import (
	"context"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"github.com/willabides/kongplete"

	"flamingohall.example/core/fault"
)

// Version is the version of the program. The linker sets it for a release.
var Version = "development"

// commandLine declares all commands and flags.
type commandLine struct {
	Globals

	Submit      submitCommand      `cmd:"" group:"callers" help:"Send a submission and print its answer."`
	Status      statusCommand      `cmd:"" group:"callers" help:"Print the state of a submission."`
	Cancel      cancelCommand      `cmd:"" group:"callers" help:"Cancel a submission."`
	Catalogue   catalogueCommand   `cmd:"" group:"operators" help:"Apply and read the catalogue of owners and entries."`
	Targets     targetsCommand     `cmd:"" group:"operators" help:"List the targets that control knows."`
	Drain       drainCommand       `cmd:"" group:"operators" help:"Send a target no new work, or send it work again."`
	Evacuate    evacuateCommand    `cmd:"" group:"operators" help:"Send the workers of a data centre no new tasks, or send them tasks again."`
	Evacuations evacuationsCommand `cmd:"" group:"operators" help:"List the evacuated data centres."`
	Owners      ownersCommand      `cmd:"" group:"operators" help:"List the owners with their shares and quotas."`
	Members     membersCommand     `cmd:"" group:"operators" help:"List and change the control VMs."`
	Job         jobCommand         `cmd:"" group:"operators" help:"Show or cancel a stored job."`
	Explain     explainCommand     `cmd:"" group:"operators" help:"Show from logs how one request ended, and why."`
	Report      reportCommand      `cmd:"" group:"operators" help:"Report on the service."`
	StandIn     standInCommand     `cmd:"" group:"experiments" help:"Run a stand-in target until SIGTERM or SIGINT."`
	Bench       benchCommand       `cmd:"" group:"experiments" help:"Measure a running system under load and faults."`
	Completion  completionCommand  `cmd:"" group:"shell" help:"Print the line that makes a shell complete this command."`
	Docs        docsCommand        `cmd:"" hidden:"" help:"Print docs/CLI.md."`

	Version kong.VersionFlag `help:"Print the version."`
}

const description = `Callers, operators and experiments talk to flamingohall with this command.

Examples:
  flamingohall submit examples/savinja/jobs/charge-return.json
  flamingohall submit --owner levy-queries --entry levy/validate --key q-17 '{"run_ms":60}' '{"run_ms":90}'
  flamingohall status levy-queries q-17
  flamingohall catalogue apply examples/savinja/catalogue.jsonc
  flamingohall catalogue status --wait
  flamingohall drain worker-3
  flamingohall evacuate celje-a
  flamingohall report burn --html burn.html
  flamingohall explain 687208deef085a49 < logs
  flamingohall bench run examples/bench/smoke.jsonc --out result.json

Exit codes:
  0  done
  1  failed
  2  the command line or a file it names is wrong
  3  conflict: the object to change has changed meanwhile, or the key was used with another body
  4  a job failed or has no complete answer
  5  unavailable: no process answered, or it refused for now

Control VMs and entries are named by --control and --entries or by the environment.`

// newParser returns the parser of the command line.
func newParser(cli *commandLine, out, errOut io.Writer, exit func(int)) (*kong.Kong, error) {
	return kong.New(cli,
		kong.Name("flamingohall"),
		kong.Description(description),
		kong.Vars{"version": Version},
		kong.Writers(out, errOut),
		kong.Exit(exit),
		kong.BindTo(out, (*io.Writer)(nil)),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.ExplicitGroups([]kong.Group{
			{Key: "callers", Title: "For callers:"},
			{Key: "operators", Title: "For operators:"},
			{Key: "experiments", Title: "For experiments:"},
			{Key: "shell", Title: "For the shell:"},
		}),
	)
}

// Main parses args, runs the command and returns its error.
func Main(args []string, out, errOut io.Writer) error {
	var cli commandLine
	exited := false
	exit := func(int) { exited = true }
	parser, err := newParser(&cli, out, errOut, exit)
	if err != nil {
		return errors.Wrap(err, "command line")
	}
	if kongplete.Complete(parser, kongplete.WithExitFunc(exit)); exited {
		return nil
	}
	parsed, err := parser.Parse(args)
	if exited {
		return nil
	}
	if err != nil {
		return fault.New(fault.Malformed, "see flamingohall --help", "%s", strings.TrimSpace(err.Error()))
	}
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	parsed.BindTo(ctx, (*context.Context)(nil))
	return parsed.Run(&cli.Globals)
}
