package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/bench"
	"flamingohall.example/tools/page"
)

type benchCommand struct {
	Run     benchRunCommand     `cmd:"" help:"Send a scenario to entries and measure what callers see."`
	Direct  benchDirectCommand  `cmd:"" help:"Send a scenario's tasks straight to targets with a free slot: the baseline."`
	Compare benchCompareCommand `cmd:"" help:"Compare two results."`
	Page    benchPageCommand    `cmd:"" help:"Write the page of a result."`
}

// Help returns the long help: what the bench needs, with examples.
func (benchCommand) Help() string {
	return `The bench starts no process: scripts/cluster.sh does. It sends to loopback addresses only.

Examples:
  flamingohall bench run examples/bench/smoke.jsonc --out path.json
  flamingohall bench direct examples/bench/smoke.jsonc --out direct.json
  flamingohall bench compare direct.json path.json
  flamingohall bench page path.json --html path.html`
}

// benchInputs are the flags that bench run and bench direct share.
type benchInputs struct {
	Scenario  string   `arg:"" help:"Scenario: JSON with comments." type:"existingfile"`
	Seed      *uint64  `help:"Seed; the scenario's by default."`
	Load      float64  `help:"Multiply all rates." default:"1"`
	NoFaults  bool     `help:"Omit the scenario's faults."`
	Targets   []string `help:"Stand-in targets, in the order that the scenario counts them." env:"FLAMINGOHALL_TARGETS" placeholder:"ADDRESS"`
	Nodes     []string `help:"Internal addresses of the processes whose counters are read." env:"FLAMINGOHALL_NODES" placeholder:"ADDRESS"`
	Processes []string `name:"pids" help:"Processes whose cost is read: NAME=PID, or a folder of .pid files." placeholder:"NAME=PID"`
	Disk      string   `help:"Time synced writes in this folder during the run." type:"existingdir" placeholder:"FOLDER"`
	Out       string   `help:"Write the result as JSON to this file." type:"path" placeholder:"FILE"`
}

// options returns the options that bench run and bench direct share.
func (b *benchInputs) options() (bench.Options, error) {
	text, err := readFile(b.Scenario)
	if err != nil {
		return bench.Options{}, err
	}
	scenario, err := bench.Parse(b.Scenario, text)
	if err != nil {
		return bench.Options{}, err
	}
	if b.Seed != nil {
		scenario.Seed = *b.Seed
	}
	if b.Load <= 0 {
		return bench.Options{}, fault.New(fault.Malformed, "give a factor above 0", "--load is %g", b.Load)
	}
	if b.Load != 1 {
		scenario.Scale(b.Load)
	}
	if b.NoFaults {
		scenario.Faults = nil
	}
	return bench.Options{
		Scenario: scenario, Targets: b.Targets, Nodes: b.Nodes, Processes: b.Processes,
		Disk: b.Disk, Command: os.Args, Run: bench.NewRunName(time.Now()),
	}, nil
}

// finish writes the result to the output file, if one is set, and prints it.
func (b *benchInputs) finish(globals *Globals, out io.Writer, result *bench.Result) error {
	if b.Out != "" {
		if err := writePage(b.Out, func(file io.Writer) error { return printJSON(file, result) }); err != nil {
			return err
		}
	}
	if globals.JSON {
		return printJSON(out, result)
	}
	return printResult(out, result)
}

type benchRunCommand struct {
	benchInputs
	Ledgers []string `help:"Ledgers of the stand-in targets, to check that nothing started twice." type:"existingfile" placeholder:"FILE"`
}

// Run sends the scenario to the entries. It fails if an answer was wrong or a start violated a guarantee.
func (c *benchRunCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	options.Entries = globals.Entries
	options.Ledgers = c.Ledgers
	result, err := bench.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := c.finish(globals, out, result); err != nil {
		return err
	}
	return checkViolations(result)
}

// checkViolations returns an error if an answer was wrong or the ledgers contradict an answer or the catalogue.
func checkViolations(result *bench.Result) error {
	violations := int(result.Callers.WrongAnswers)
	if ledger := result.Ledger; ledger != nil {
		violations += ledger.NeverRepeatedTwice + ledger.NotRunButStarted + ledger.DoneWithoutStart
	}
	if violations == 0 {
		return nil
	}
	return fault.New(fault.Internal, "see endings and ledger of the result", "%d answers or starts violated a guarantee", violations)
}

type benchDirectCommand struct {
	benchInputs
	Slots int `help:"Slots of each target." default:"8"`
}

// Run sends the scenario's tasks straight to the targets.
func (c *benchDirectCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	options.Slots = c.Slots
	result, err := bench.Direct(ctx, options)
	if err != nil {
		return err
	}
	return c.finish(globals, out, result)
}

func printResult(out io.Writer, result *bench.Result) error {
	_, _ = fmt.Fprintf(out, "%s to %s, seed %d, %.1f s measured, load %.1f to %.1f on %d cores\n",
		result.Scenario, result.Mode, result.Seed, time.Duration(result.MeasuredMS*int64(time.Millisecond)).Seconds(),
		result.Machine.LoadBefore, result.Machine.LoadAfter, result.Machine.Cores)
	rows := newTable(out, "CLASS\tSENT\tTASKS/S\tMS P50\tP99\tP99.9\tSLOWDOWN P50\tP99\tP99.9\tENDINGS")
	for _, class := range append([]bench.ClassResult{result.All}, result.Classes...) {
		rows.row("%s\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\t%s", class.Class, class.Sent, class.TasksPerSecond,
			milliseconds(int64(class.ResponseUS.P50)), milliseconds(int64(class.ResponseUS.P99)),
			milliseconds(int64(class.ResponseUS.P999)), class.Slowdown.P50, class.Slowdown.P99, class.Slowdown.P999,
			page.EndingsText(class.Endings))
	}
	if err := rows.flush(); err != nil {
		return err
	}
	printSamples(out, result)
	printCosts(out, result)
	return nil
}

func printSamples(out io.Writer, result *bench.Result) {
	for _, class := range result.Classes {
		for _, sample := range class.Samples {
			_, _ = fmt.Fprintf(out, "  %s %s\n", class.Class, sample)
		}
	}
}

func printCosts(out io.Writer, result *bench.Result) {
	callers := result.Callers
	_, _ = fmt.Fprintf(out, "callers: %d submissions, %d resubmissions, %d cancellations, %d not sent, bench late by p99 %.2f ms\n",
		callers.Submissions, callers.Resubmissions, callers.Cancellations, callers.NotSent,
		milliseconds(int64(callers.SendDelayUS.P99)))
	if messages := result.Messages; messages.TasksStarted > 0 {
		_, _ = fmt.Fprintf(out, "messages: %d tasks started, %.4f runs sent and %.4f wasted a task %+v\n",
			messages.TasksStarted, messages.RunsPerTask(), messages.WastedPerTask(), messages.Wasted)
	}
	for _, process := range result.Processes {
		const bytesPerMB = 1 << 20
		_, _ = fmt.Fprintf(out, "process %s: %.1f%% of a core, %.1f MB resident\n", process.Name, 100*process.Core,
			float64(process.ResidentBytes)/bytesPerMB)
	}
	if synced := result.Machine.SyncUS; synced.Count > 0 {
		_, _ = fmt.Fprintf(out, "disk: synced write p50 %.2f ms, p99 %.2f ms, longest %.2f ms\n",
			milliseconds(int64(synced.P50)), milliseconds(int64(synced.P99)), milliseconds(int64(synced.Max)))
	}
	if ledger := result.Ledger; ledger != nil {
		_, _ = fmt.Fprintf(out, "ledger: %d starts, %d never-repeated twice, %d not run but started, %d done without start, %d repeated\n",
			ledger.Starts, ledger.NeverRepeatedTwice, ledger.NotRunButStarted, ledger.DoneWithoutStart, ledger.RepeatedStarts)
	}
}

type benchCompareCommand struct {
	A string `arg:"" help:"Result of bench run or bench direct." type:"existingfile"`
	B string `arg:"" help:"Result to compare it with." type:"existingfile"`
}

// Run prints the figures of both results and their ratios.
func (c *benchCompareCommand) Run(globals *Globals, out io.Writer) error {
	a, err := readResult(c.A)
	if err != nil {
		return err
	}
	b, err := readResult(c.B)
	if err != nil {
		return err
	}
	comparison, err := bench.Compare(a, b)
	if err != nil {
		return err
	}
	if globals.JSON {
		return printJSON(out, comparison)
	}
	if !comparison.SameScenario {
		_, _ = fmt.Fprintln(out, "the results come from different scenarios or seeds")
	}
	rows := newTable(out, "CLASS\tFIGURE\tA\tB\tB/A")
	for _, row := range comparison.Rows {
		rows.row("%s\t%s\t%.4g\t%.4g\t%.3f", row.Class, row.Figure, row.A, row.B, row.Ratio)
	}
	return rows.flush()
}

func readResult(path string) (*bench.Result, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	result := new(bench.Result)
	if err := json.Unmarshal(text, result); err != nil {
		return nil, fault.New(fault.Malformed, "name a file that bench run --out wrote", "%s: %v", path, err)
	}
	return result, nil
}

type benchPageCommand struct {
	Result string `arg:"" help:"Result of bench run or bench direct." type:"existingfile"`
	HTML   string `help:"Write the page to this file." type:"path" required:"" placeholder:"FILE"`
}

// Run writes the HTML page of the result.
func (c *benchPageCommand) Run() error {
	result, err := readResult(c.Result)
	if err != nil {
		return err
	}
	return writePage(c.HTML, func(file io.Writer) error { return page.Bench(file, result) })
}
