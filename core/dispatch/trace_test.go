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

// TestTrace_StoredHistory plays one history again and prints what happened to a job:
// go test -run Trace -v . -trace.seed 501 -trace.job 000000000000001f
func TestTrace_StoredHistory(t *testing.T) {
	for _, problem := range playStored(t, *traceSeed, defaultLimits, holderPatience) {
		t.Error(problem)
	}
}

func (w *world) trace(task, format string, args ...any) {
	if *traceJob != "" && strings.HasPrefix(task, *traceJob) {
		fmt.Println(w.now, task, fmt.Sprintf(format, args...))
	}
}

func (w *world) traceEntry(i int, effects *dispatch.Effects) {
	if *traceJob == "" {
		return
	}
	for _, frame := range effects.Frames {
		for _, one := range frame.Offers {
			w.trace(one.Task, "e%d offers run %d to %s", i, one.Run, frame.Worker)
		}
		for _, one := range frame.Stops {
			w.trace(one.Task, "e%d stops run %d at %s", i, one.Run, frame.Worker)
		}
		for _, one := range frame.Confirmed {
			w.trace(one.Task, "e%d confirms run %d to %s", i, one.Run, frame.Worker)
		}
	}
	for _, one := range effects.Records {
		w.trace(one.Task, "e%d records run %d", i, one.Run)
	}
	for _, one := range effects.ProgressRequests {
		w.trace(one.Job, "e%d asks", i)
	}
	for _, one := range effects.Notes {
		w.trace(one.Task, "e%d notes %d of run %d at %s: %s", i, one.Kind, one.Run, one.Worker, one.Reason)
	}
}

func (w *world) traceSidecar(i int, effects *runner.Effects) {
	if *traceJob == "" {
		return
	}
	for _, frame := range effects.Frames {
		for _, one := range frame.Ended {
			w.trace(one.Task, "s%d tells end of run %d: %v", i, one.Run, one.Outcome)
		}
		for _, one := range frame.Refused {
			w.trace(one.Task, "s%d refuses run %d: %v", i, one.Run, one.Reason)
		}
	}
	for _, one := range effects.Starts {
		w.trace(one.Task, "s%d orders run %d", i, one.Run)
	}
	for _, one := range effects.Notes {
		w.trace(one.Task, "s%d notes %d of run %d: %s", i, one.Kind, one.Run, one.Reason)
	}
}
