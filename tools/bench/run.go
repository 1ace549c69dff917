package bench

import (
	"context"
	"runtime"
	"strconv"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/client"
)

// Options of a run. Addresses are host:port or URLs on this machine.
type Options struct {
	Scenario *Scenario
	// Entries are the callers' addresses of entries.
	Entries []string
	// Targets are the stand-in targets in the order that the scenario's faults count them.
	Targets []string
	// Nodes are the internal addresses of the processes whose counters are read.
	Nodes []string
	// Processes are NAME=PID pairs, or folders that hold NAME.pid files.
	Processes []string
	// Ledgers are the files of the stand-in targets' starts.
	Ledgers []string
	// Disk is a folder in which synced writes are timed beside the run; empty for none.
	Disk string
	// Slots is the number of slots of each target, for Direct.
	Slots int
	// Command is the command line, for the result.
	Command []string
	// Run makes the keys of this run differ from those of others.
	Run string
}

// ways of a result.
const (
	wayEntries = "entries"
	wayDirect  = "direct"
)

// Run sends the scenario to entries.
func Run(ctx context.Context, options Options) (*Result, error) {
	urls, err := loopbackURLs(options.Entries)
	if err != nil {
		return nil, err
	}
	entries, err := client.NewEntries(urls)
	if err != nil {
		return nil, err
	}
	return measureRun(ctx, options, wayEntries, entrySender{entries: entries})
}

// Direct sends the scenario's tasks straight to targets with a free slot: the baseline.
func Direct(ctx context.Context, options Options) (*Result, error) {
	urls, err := loopbackURLs(options.Targets)
	if err != nil {
		return nil, err
	}
	if len(urls) == 0 || options.Slots < 1 {
		return nil, fault.New(fault.Malformed, "give --targets and --slots", "no target is named")
	}
	return measureRun(ctx, options, wayDirect, newDirectSender(urls, options.Slots))
}

// experiment is a run with what it reads beside the answers.
type experiment struct {
	options   Options
	plan      *Plan
	targets   *standIns
	processes []observed
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

func measureRun(ctx context.Context, options Options, way string, to sender) (*Result, error) {
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
	result := e.newResult(way)
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

func (e *experiment) newResult(way string) *Result {
	return &Result{
		Scenario: e.options.Scenario.Name, Digest: e.options.Scenario.Digest(), Seed: e.options.Scenario.Seed,
		Command: e.options.Command, Mode: way, StartedUnixMS: time.Now().UnixMilli(),
		Machine: Machine{Cores: runtime.NumCPU(), LoadBefore: readLoad()},
	}
}

// drive sends the plan while the faults come at their times.
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

// NewRunName returns a name that makes the keys of a run started at that time its own.
func NewRunName(now time.Time) string {
	return "bench-" + strconv.FormatInt(now.UnixNano(), 36)
}
