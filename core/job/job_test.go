package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// lossHeardRound is the round of drain by which entries hear of every replaced target.
const lossHeardRound = 20

// drain runs the simulation to its end: calls in flight arrive or time out, and the deadline passes.
func (w *simulation) drain() {
	for round := range 60 {
		if round == lossHeardRound {
			w.reportLosses()
		}
		for _, c := range slices.Clone(w.calls) {
			if c.dropped || c.ended {
				continue
			}
			if rapid.IntRange(0, 3).Draw(w.t, "drain") == 0 {
				w.timeOutCall(c)
				continue
			}
			w.deliverCall(c)
			w.replyCall(c)
		}
		w.finishTask()
		w.advance(60)
	}
	for _, c := range slices.Clone(w.calls) {
		if !c.dropped {
			w.deliverCall(c)
		}
	}
}

// check returns an error if the history has broken an invariant.
func (w *simulation) check() error {
	for i := range w.tasks {
		if !w.repeatable && w.starts[i] > 1 {
			return fmt.Errorf("task %d was started %d times", i, w.starts[i])
		}
	}
	for at, e := range w.entries {
		if e.alive && e.answers != 1 {
			return fmt.Errorf("entry %d answered %d times", at, e.answers)
		}
		if e.answers == 0 {
			continue
		}
		for i := range w.tasks {
			if err := w.checkTask(e.job.Task(i), i); err != nil {
				return fmt.Errorf("entry %d: %w", at, err)
			}
		}
	}
	return nil
}

func (w *simulation) checkTask(task TaskState, i int) error {
	// Entries run repeatable work independently of each other.
	isAlone := !w.repeatable || len(w.entries) == 1
	neverRan := task.Outcome == NotRun || (task.Outcome == Cancelled && !w.repeatable)
	switch {
	case !task.Outcome.Final():
		return fmt.Errorf("task %d is answered as %s", i, task.Outcome)
	case neverRan && w.starts[i] > 0 && isAlone:
		return fmt.Errorf("task %d is answered as %s and was started", i, task.Outcome)
	case task.Outcome == Done && w.starts[i] == 0:
		return fmt.Errorf("task %d is answered as done and was not started", i)
	case task.Outcome == Done && string(task.Result) != fmt.Sprint("result ", i):
		return fmt.Errorf("task %d got result %q", i, task.Result)
	case task.Outcome != Done && task.Cause == CauseNone:
		return fmt.Errorf("task %d is %s without a cause", i, task.Outcome)
	}
	return nil
}

func runHistory(t *rapid.T, repeatable bool, disabled safeguards) *simulation {
	w := newSimulation(t, repeatable)
	w.disabled = disabled
	for range rapid.IntRange(10, 120).Draw(t, "acts") {
		w.randomAction()
	}
	w.drain()
	return w
}

func TestJob_AnyHistory(t *testing.T) {
	for name, repeatable := range map[string]bool{"never repeated": false, "repeatable": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if err := runHistory(t, repeatable, safeguards{}).check(); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// The check of TestJob_AnyHistory must detect a missing safeguard.
func TestJob_AnyHistoryFailsWithoutSafeguards(t *testing.T) {
	const histories = 3000
	for name, disabled := range map[string]safeguards{
		"seal after silence":          {seal: true},
		"seal before takeover":        {takeover: true},
		"unknown after a replacement": {replaced: true},
	} {
		t.Run(name, func(t *testing.T) {
			generator := rapid.Custom(func(t *rapid.T) error { return runHistory(t, false, disabled).check() })
			for seed := range histories {
				if generator.Example(seed) != nil {
					return
				}
			}
			t.Fatalf("none of %d histories breaks an invariant", histories)
		})
	}
}

func TestJob_RetriesWithinAttempts(t *testing.T) {
	j := New(Spec{ID: "j", Repeatable: true, Attempts: 2, Deadline: time.Unix(10, 0), Tasks: make([]TaskSpec, 1)})
	target := Target{ID: "a", Incarnation: "1"}
	failed := func(attempt int) []Effect {
		ref := Ref{0, attempt}
		return j.Step(time.Unix(0, 0), RunAnswered{Target: target, Asked: []Ref{ref}, Reports: []Report{
			{Ref: ref, Outcome: Failed, Cause: CauseTarget, Reason: "broken"},
		}})
	}
	j.Step(time.Unix(0, 0), Begin{})
	j.Step(time.Unix(0, 0), Place{Target: target, Indexes: []int{0}})
	failed(1)
	if !j.IsWaiting() {
		t.Fatal("a repeatable task with attempts left does not wait for another target")
	}
	j.Step(time.Unix(0, 0), Place{Target: target, Indexes: []int{0}})
	failed(2)
	if !j.IsAnswered() || j.Task(0).Outcome != Failed {
		t.Fatalf("task is %+v", j.Task(0))
	}
}

// An attempt that a takeover adopted had started: a process that replaced its target can't tell that it had not.
func TestJob_AdoptedAttemptMeetsAReplacedTarget(t *testing.T) {
	j := New(Spec{ID: "j", Attempts: 2, Deadline: time.Unix(10, 0), Tasks: make([]TaskSpec, 1)})
	target := Target{ID: "a", Incarnation: "1"}
	ref := Ref{Index: 0, Attempt: 1}
	j.Step(time.Unix(0, 0), Begin{})
	j.Step(time.Unix(0, 0), ClaimGranted{Epoch: 2, Earlier: []Target{target}})
	j.Step(time.Unix(0, 0), SealAnswered{Target: target, Asked: []Ref{{}}, Reports: []Report{{Ref: ref, Outcome: Running}}})
	j.Step(time.Unix(0, 0), RunAnswered{Target: target, Asked: []Ref{ref}, Reports: []Report{
		{Ref: ref, Outcome: Unknown, Cause: CauseIncarnation, Reason: "meant for an earlier process"},
	}})
	if got := j.Task(0); got.Outcome != Unknown || j.IsWaiting() {
		t.Errorf("task is %+v, waits %v, want unknown", got, j.IsWaiting())
	}
}

// A repeatable task may have started in a process that was replaced: its successor's refusal of a second Run does not
// show that nothing ran. Found by TestJob_AnyHistory with -rapid.seed=2476426.
func TestJob_ReplacedTargetRefusesTheSecondRun(t *testing.T) {
	j := New(Spec{ID: "j", Repeatable: true, Attempts: 1, Deadline: time.Unix(10, 0), Tasks: make([]TaskSpec, 1)})
	target := Target{ID: "a", Incarnation: "1"}
	ref := Ref{Index: 0, Attempt: 1}
	j.Step(time.Unix(0, 0), Begin{})
	j.Step(time.Unix(0, 0), Place{Target: target, Indexes: []int{0}})
	j.Step(time.Unix(0, 0), RunUnanswered{Target: target, Asked: []Ref{ref}})
	j.Step(time.Unix(0, 0), StatusAnswered{Target: target, Asked: []Ref{ref}})
	j.Step(time.Unix(0, 0), RunAnswered{Target: target, Incarnation: "2", Asked: []Ref{ref}, Reports: []Report{
		{Ref: ref, Outcome: NotRun, Cause: CauseDeadline, Reason: "the deadline passed"},
	}})
	if got := j.Task(0); !j.IsAnswered() || got.Outcome != Failed {
		t.Errorf("task is %+v, want failed", got)
	}
}

// A task that ran once is never reported as not run, whatever the outcome of its later attempts.
func TestJob_RefusedRetryOfAStartedTaskIsNotReportedAsNotRun(t *testing.T) {
	for _, cause := range []Cause{CauseDeadline, CauseTarget} {
		j := New(Spec{ID: "j", Repeatable: true, Attempts: 9, Deadline: time.Unix(10, 0), Tasks: make([]TaskSpec, 1)})
		target := Target{ID: "a", Incarnation: "1"}
		answer := func(attempt int, outcome Outcome, cause Cause) {
			ref := Ref{0, attempt}
			j.Step(time.Unix(0, 0), Place{Target: target, Indexes: []int{0}})
			j.Step(time.Unix(0, 0), RunAnswered{Target: target, Asked: []Ref{ref}, Reports: []Report{
				{Ref: ref, Outcome: outcome, Cause: cause, Reason: "reason"},
			}})
		}
		j.Step(time.Unix(0, 0), Begin{})
		answer(1, Failed, CauseTarget)
		for attempt := 2; !j.IsAnswered(); attempt++ {
			answer(attempt, NotRun, cause)
		}
		if j.Task(0).Outcome != Failed {
			t.Errorf("refused for %s: task is %+v", cause, j.Task(0))
		}
	}
}
