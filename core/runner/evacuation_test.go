package runner_test

import (
	"testing"
	"time"

	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// Without the refusal, a queued task of an evacuated worker would wait there until its offer expires.
func TestEvacuation_DrainedWorkerRefusesQueuedAndNewOffersAndKeepsItsRuns(t *testing.T) {
	h := newHarness(t)
	h.run("running.0.0.0", 8000)
	queued := h.offer("queued.0.0.0", 1000)
	h.core.SetDrained(true)
	offered := h.offer("new.0.0.0", 1000)
	want := []work.Refused{{RunID: queued, Reason: work.Unavailable}, {RunID: offered, Reason: work.Unavailable}}
	if len(h.frame.Refused) != 2 || h.frame.Refused[0] != want[0] || h.frame.Refused[1] != want[1] {
		t.Fatalf("refused %+v, want %+v", h.frame.Refused, want)
	}
	if h.frame.Load == nil || h.frame.Load.Accepts {
		t.Fatalf("load %+v, want one that accepts nothing", h.frame.Load)
	}
	if len(h.stops) != 0 || h.core.Idle() {
		t.Fatalf("stops %+v: the running task was ended", h.stops)
	}
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{
		{RunID: work.RunID{Task: "running.0.0.0", Run: 1}, Number: 1, Outcome: work.Done},
	}})
	if len(h.frame.Ended) != 1 || h.frame.Ended[0].Outcome != work.Done {
		t.Fatalf("ends %+v, want the running task done", h.frame.Ended)
	}
	h.core.SetDrained(false)
	h.step(20 * time.Millisecond)
	if !h.frame.Load.Accepts {
		t.Fatal("the worker accepts nothing after the end of the evacuation")
	}
	h.run("after.0.0.0", 1000)
}

// A start that the worker rejects for lack of capacity returns the task to the queue, where it would wait for its expiry.
func TestEvacuation_TaskWhoseStartIsRejectedWhileDrainedIsRefused(t *testing.T) {
	h := newHarness(t)
	id := h.offer("a.0.0.0", 1000)
	h.core.SetDrained(true)
	h.core.Started(h.now, "w@1", id, runner.NoCapacity, h.reading())
	h.step(0)
	if len(h.frame.Refused) != 1 || h.frame.Refused[0].RunID != id || h.frame.Refused[0].Reason != work.Unavailable {
		t.Fatalf("refused %+v", h.frame.Refused)
	}
}

// The drain is the operator's order for the worker, so neither a restart of the worker nor its announcements end it.
func TestEvacuation_DrainOutlastsARestartOfTheWorker(t *testing.T) {
	h := newHarness(t)
	h.core.SetDrained(true)
	h.restart(announcement(2))
	h.answerHold()
	id := h.offer("a.0.0.0", 1000)
	if len(h.starts) != 0 || len(h.frame.Refused) != 1 || h.frame.Refused[0].RunID != id {
		t.Fatalf("starts %+v, refused %+v", h.starts, h.frame.Refused)
	}
}

func TestCold_RemainingTimeIsReportedInSteps(t *testing.T) {
	h := newHarness(t)
	cold := announcement(1)
	cold.Sequence, cold.ColdMS = 2, 600
	h.core.Announced(h.now, cold)
	h.step(0)
	h.step(20 * time.Millisecond)
	if h.frame.Load == nil || h.frame.Load.ColdMS != 750 {
		t.Fatalf("load %+v, want 750 ms", h.frame.Load)
	}
	h.step(350 * time.Millisecond)
	if h.frame.Load.ColdMS != 250 {
		t.Fatalf("load %+v, want 250 ms", h.frame.Load)
	}
	h.step(300 * time.Millisecond)
	if h.frame.Load.ColdMS != 0 {
		t.Fatalf("load %+v, want a warm worker", h.frame.Load)
	}
}

// The remaining time would be outdated when a successor of the sidecar reads it from control.
func TestCold_RemainingTimeIsNotStoredAtControl(t *testing.T) {
	core := runner.New(runner.DefaultLimits, 10)
	cold := announcement(1)
	cold.ColdMS = 600
	core.Announced(time.Minute, cold)
	core.Advance(time.Minute)
	if record := core.Effects().Record; record == nil || record.ColdMS != 0 {
		t.Fatalf("record %+v", record)
	}
}
