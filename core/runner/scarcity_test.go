package runner_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// Load pattern: work exceeds the capacity and some tasks are already late. In the order of slack alone the late ones start first
// and make the others late, too.
func TestScarcity_LateTaskStartsAfterThoseThatCanBeInTime(t *testing.T) {
	h := newHarness(t)
	h.run("running.0.0.0", 8000)
	h.core.Take(h.now, session, &work.ToSidecar{Offers: []work.Offer{
		{RunID: work.RunID{Task: "late.0.0.0", Run: 1}, Needs: work.Needs{MilliCores: 8000}, ExpectedMS: 100, StartWithinMS: 400, YieldsWhenLate: true, SpareMS: 20},
		{RunID: work.RunID{Task: "in-time.0.0.0", Run: 1}, Needs: work.Needs{MilliCores: 8000}, ExpectedMS: 100, StartWithinMS: 400, SlackMS: 250, YieldsWhenLate: true, SpareMS: 250},
	}})
	h.step(50 * time.Millisecond)
	h.endRun("running.0.0.0", 1)
	if last := h.starts[len(h.starts)-1].Task; last != "in-time.0.0.0" {
		t.Errorf("%s started, want the task that can still be in time", last)
	}
	h.core.Started(h.now, "w@1", work.RunID{Task: "in-time.0.0.0", Run: 1}, runner.Accepted, h.reading())
	h.endRun("in-time.0.0.0", 2)
	if last := h.starts[len(h.starts)-1].Task; last != "late.0.0.0" {
		t.Errorf("%s started last, want the late task once there is capacity", last)
	}
}

// endRun reports the end of a run.
func (h *harness) endRun(task string, number uint64) {
	h.t.Helper()
	h.step(0)
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{
		{RunID: work.RunID{Task: task, Run: 1}, Number: number, Outcome: work.Done},
	}})
}

// Load pattern: a new entry, or one with few tasks at a worker, must know how fast the worker is before it has run tasks there.
func TestScarcity_LoadTellsTheMeasuredSpeed(t *testing.T) {
	h := newHarness(t)
	for n := range 12 {
		task := fmt.Sprintf("t%d.0.0.0", n)
		h.run(task, 1000)
		h.step(20 * time.Millisecond)
		h.echo()
		h.core.Take(h.now, session, &work.ToSidecar{Backlog: &work.Backlog{MilliCoresPerSecond: 100}})
		h.step(20 * time.Millisecond)
		if known := h.frame.Load.SpeedPercent != 0; known != (n >= 8) {
			t.Errorf("after %d runs: speed %d%%, want it told after eight", n, h.frame.Load.SpeedPercent)
		}
		h.step(360 * time.Millisecond)
		h.endRun(task, uint64(n+1))
	}
	if got := h.frame.Load.SpeedPercent; got != 50 {
		t.Errorf("speed %d%%, want 50%%: tasks of 200 ms took 400 ms", got)
	}
	h.core.Take(h.now, session, &work.ToSidecar{Backlog: &work.Backlog{MilliCoresPerSecond: 100}})
	restarted := announcement(2)
	h.restart(restarted)
	h.step(20 * time.Millisecond)
	if got := h.frame.Load.SpeedPercent; got != 0 {
		t.Errorf("speed %d%% of a worker that has just restarted, want none", got)
	}
}

// An entry that is gone, or that was cut off, must not count towards the backlog, or others refuse jobs for work that nobody offers.
func TestScarcity_LoadTellsTheBacklogOfTheEntriesThatReport(t *testing.T) {
	h := newHarness(t)
	h.core.Open(h.now, session+1, work.Hello{Entry: "other"})
	h.core.Take(h.now, session, &work.ToSidecar{Backlog: &work.Backlog{WaitingMilliCores: 5, MilliCoresPerSecond: 100}})
	h.core.Take(h.now, session+1, &work.ToSidecar{Backlog: &work.Backlog{WaitingMilliCores: 7, MilliCoresPerSecond: 200}})
	h.step(20 * time.Millisecond)
	if got := h.frame.Load.Backlog; got != (work.Backlog{WaitingMilliCores: 12, MilliCoresPerSecond: 300}) {
		t.Errorf("backlog %+v, want the sum of both entries", got)
	}
	h.step(400 * time.Millisecond)
	h.core.Take(h.now, session, &work.ToSidecar{Backlog: &work.Backlog{WaitingMilliCores: 5, MilliCoresPerSecond: 100}})
	h.step(200 * time.Millisecond)
	if got := h.frame.Load.Backlog; got != (work.Backlog{WaitingMilliCores: 5, MilliCoresPerSecond: 100}) {
		t.Errorf("backlog %+v, want that of the entry that still reports", got)
	}
}
