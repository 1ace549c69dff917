package dispatch_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/runner"
)

var (
	traceJob  = flag.String("trace.job", "", "print what happens to this job in the history of trace.seed")
	traceSeed = flag.Uint64("trace.seed", 0, "the history to trace")
)

// TestTrace_StoredHistory repeats one random history and prints what happened to a job:
// go test -run Trace -v . -trace.seed 501 -trace.job 000000000000001f
func TestTrace_StoredHistory(t *testing.T) {
	for _, problem := range simulateStored(t, *traceSeed, defaultLimits, holderTimeout) {
		t.Error(problem)
	}
}

func (sim *simulation) trace(task, format string, args ...any) {
	if *traceJob != "" && strings.HasPrefix(task, *traceJob) {
		fmt.Println(sim.now, task, fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) traceEntry(i int, effects *dispatch.Effects) {
	if *traceJob == "" {
		return
	}
	for _, frame := range effects.Frames {
		for _, one := range frame.Offers {
			sim.trace(one.Task, "e%d offers run %d to %s", i, one.Run, frame.Worker)
		}
		for _, one := range frame.Stops {
			sim.trace(one.Task, "e%d stops run %d at %s", i, one.Run, frame.Worker)
		}
		for _, one := range frame.Confirmed {
			sim.trace(one.Task, "e%d confirms run %d to %s", i, one.Run, frame.Worker)
		}
	}
	for _, one := range effects.Records {
		sim.trace(one.Task, "e%d records run %d", i, one.Run)
	}
	for _, one := range effects.ProgressRequests {
		sim.trace(one.Job, "e%d asks", i)
	}
	for _, one := range effects.Notes {
		sim.trace(one.Task, "e%d notes %d of run %d at %s: %s", i, one.Kind, one.Run, one.Worker, one.Reason)
	}
}

func (sim *simulation) traceSidecar(i int, effects *runner.Effects) {
	if *traceJob == "" {
		return
	}
	for _, frame := range effects.Frames {
		for _, one := range frame.Ended {
			sim.trace(one.Task, "s%d reports end of run %d: %v", i, one.Run, one.Outcome)
		}
		for _, one := range frame.Refused {
			sim.trace(one.Task, "s%d rejects run %d: %v", i, one.Run, one.Reason)
		}
	}
	for _, one := range effects.Starts {
		sim.trace(one.Task, "s%d orders run %d", i, one.Run)
	}
	for _, one := range effects.Notes {
		sim.trace(one.Task, "s%d notes %d of run %d: %s", i, one.Kind, one.Run, one.Reason)
	}
}
