package bench

import (
	"context"
	"runtime"
	"strconv"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/client"
)

// Options are the inputs of a run. Addresses are host:port or URLs, loopback only.
type Options struct {
	Scenario *Scenario
	// Entries are the addresses at which entries serve callers.
	Entries []string
	// Targets are the stand-in targets; the scenario refers to them by their position in this list.
	Targets []string
	// Nodes are the internal addresses of the processes whose counters are read.
	Nodes []string
	// Processes are the processes whose resource use is read: NAME=PID pairs, or folders that hold NAME.pid files.
	Processes []string
	// Ledgers are the files in which the stand-in targets record starts.
	Ledgers []string
	// Disk is a folder in which synced writes are timed during the run; empty for none.
	Disk string
	// Slots is the number of slots of each target, for Direct.
	Slots int
	// Command is the command line, which is recorded in the result.
	Command []string
	// Run is a unique name that makes the keys of this run differ from those of other runs.
	Run string
}

// Modes of a run, as its result names them.
const (
	modeEntries = "entries"
	modeDirect  = "direct"
)

// Run sends the scenario to entries and measures it.
func Run(ctx context.Context, options Options) (*Result, error) {
	urls, err := loopbackURLs(options.Entries)
	if err != nil {
		return nil, err
	}
	entries, err := client.NewEntries(urls)
	if err != nil {
		return nil, err
	}
	return measureRun(ctx, options, modeEntries, entrySender{entries: entries})
}

// Direct sends the scenario's tasks straight to targets with a free slot and measures them, as a baseline.
func Direct(ctx context.Context, options Options) (*Result, error) {
	urls, err := loopbackURLs(options.Targets)
	if err != nil {
		return nil, err
	}
	if len(urls) == 0 || options.Slots < 1 {
		return nil, fault.New(fault.Malformed, "give --targets and --slots", "no target is named")
	}
	return measureRun(ctx, options, modeDirect, newDirectSender(urls, options.Slots))
}

// experiment is a run with the sources of its measurements.
type experiment struct {
	options   Options
	plan      *Plan
	targets   *standIns
	processes []observedProcess
	nodes     *client.Processes
}

func newExperiment(options Options) (*experiment, error) {
	plan, err := NewPlan(options.Scenario, options.Run)
	if err != nil {
		return nil, err
	}
	targets, err := loopbackURLs(options.Targets)
	if err != nil {
		return nil, err
	}
	nodes, err := loopbackURLs(options.Nodes)
	if err != nil {
		return nil, err
	}
	processes, err := findProcesses(options.Processes)
	if err != nil {
		return nil, err
	}
	return &experiment{
		options: options, plan: plan, processes: processes,
		targets: newStandIns(targets), nodes: client.NewProcesses(nodes),
	}, nil
}

func measureRun(ctx context.Context, options Options, mode string, to sender) (*Result, error) {
	e, err := newExperiment(options)
	if err != nil {
		return nil, err
	}
	if err := e.targets.prepare(ctx, options.Scenario); err != nil {
		return nil, err
	}
	countersBefore, err := e.nodes.Read(ctx)
	if err != nil {
		return nil, err
	}
	probe, err := startDiskProbe(ctx, options.Disk)
	if err != nil {
		return nil, err
	}
	result := e.newResult(mode)
	usedBefore := readUsage(e.processes)
	start := time.Now()
	observations := e.drive(ctx, to, result)
	elapsed := time.Since(start)
	usedAfter := readUsage(e.processes)
	result.Machine.SyncUS = probe.finish()
	countersAfter, err := e.nodes.Read(ctx)
	if err != nil {
		return nil, err
	}
	if err := e.targets.restore(ctx); err != nil {
		return nil, err
	}
	result.measure(options.Scenario, observations)
	result.Processes = costs(e.processes, usedBefore, usedAfter)
	result.Messages = client.MessagesOf(countersAfter).Since(client.MessagesOf(countersBefore))
	result.Nodes = newNodeControls(countersBefore, countersAfter, elapsed)
	result.Machine.LoadAfter = readLoad()
	return result, e.checkLedgers(result, observations)
}

func (e *experiment) newResult(mode string) *Result {
	return &Result{
		Scenario: e.options.Scenario.Name, Digest: e.options.Scenario.Digest(), Seed: e.options.Scenario.Seed,
		Command: e.options.Command, Mode: mode, StartedUnixMS: time.Now().UnixMilli(),
		Machine: Machine{Cores: runtime.NumCPU(), LoadBefore: readLoad()},
	}
}

// drive sends the plan while the scenario's faults are applied at their times.
func (e *experiment) drive(ctx context.Context, to sender, result *Result) []observation {
	scenario := e.options.Scenario
	r := &runner{sender: to}
	faults := make(chan []FaultResult, 1)
	go func() { faults <- e.targets.apply(ctx, time.Now(), scenario.Faults) }()
	observations := r.drive(ctx, e.plan)
	result.Faults = <-faults
	result.Callers.Resubmissions = r.resent.Load()
	result.Callers.Cancellations = r.cancelled.Load()
	result.Callers.NotSent = r.notSent.Load()
	return observations
}

func (e *experiment) checkLedgers(result *Result, observations []observation) error {
	if len(e.options.Ledgers) == 0 {
		return nil
	}
	starts, err := readLedgers(e.options.Ledgers)
	if err != nil {
		return err
	}
	result.Ledger = checkLedgers(e.options.Scenario, starts, observations)
	return nil
}

// NewRunName returns a run name that is unique to a run started at that time.
func NewRunName(now time.Time) string {
	return "bench-" + strconv.FormatInt(now.UnixNano(), 36)
}
