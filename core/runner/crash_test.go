package runner_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// crashesOf advances the runner and returns the crashes sent to a session.
func (h *harness) crashesOf(id runner.Session) []work.Crash {
	h.core.Advance(h.now)
	effects := h.core.Effects()
	h.starts = append(h.starts, effects.Starts...)
	if effects.Hold != nil {
		h.hold = effects.Hold
	}
	var crashes []work.Crash
	for _, frame := range effects.Frames {
		if frame.Session == id {
			crashes = append(crashes, frame.Crashes...)
		}
	}
	return crashes
}

// end lets the worker's process end.
func (h *harness) end() {
	h.core.Reported(h.now, &runner.Report{Answer: runner.ConnectionRefused, Number: h.hold.Number})
}

// afterLease returns the crashes that sessions are told of until the lease of a worker that has ended has expired.
func (h *harness) afterLease() map[runner.Session][]work.Crash {
	told := map[runner.Session][]work.Crash{}
	for until := h.now + runner.DefaultLimits.Lease + 100*time.Millisecond; h.now < until; h.now += 10 * time.Millisecond {
		h.core.Advance(h.now)
		effects := h.core.Effects()
		for _, frame := range effects.Frames {
			told[frame.Session] = append(told[frame.Session], frame.Crashes...)
			if frame.Probe != 0 {
				h.core.Take(h.now, frame.Session, &work.ToSidecar{Echo: frame.Probe})
			}
		}
		if effects.Hold != nil {
			h.core.Reported(h.now, &runner.Report{Answer: runner.ConnectionRefused, Number: effects.Hold.Number})
		}
	}
	return told
}

func TestCrash_EveryEntryLearnsUnderWhichTasksTheWorkerEnded(t *testing.T) {
	h := newHarness(t)
	other := h.openAnother()
	h.run("a.0.0.0", 1000)
	h.now += 30 * time.Millisecond
	h.run("b.0.0.0", 1000)
	h.now += 8 * time.Millisecond
	h.end()
	told := h.afterLease()
	later := runner.Session(99)
	h.core.Open(h.now, later, work.Hello{Entry: "restarted"})
	told[later] = h.crashesOf(later)
	for _, id := range []runner.Session{session, other, later} {
		if len(told[id]) != 1 {
			t.Fatalf("session %d: crashes %+v, want one", id, told[id])
		}
		got := told[id][0]
		if got.Incarnation != "w@1" || len(got.Runs) != 2 || got.Runs[0].RanMS+got.Runs[1].RanMS != 38+8 || got.Runs[0].Crashes != 1 {
			t.Errorf("session %d: crash %+v, want both runs with their run times", id, got)
		}
	}
}

func TestCrash_EndOfALeavingWorkerIsNoCrash(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 1000)
	leaving := announcement(1)
	leaving.Leaving, leaving.Sequence = true, 2
	h.core.Announced(h.now, leaving)
	h.end()
	if crashes := h.afterLease()[session]; len(crashes) != 0 {
		t.Errorf("crashes %+v, want none", crashes)
	}
}

// TestCrash_WorkerThatOnlyRefusedConnectionsHasNotCrashed guards against tasks that are given up for crashes that were none.
func TestCrash_WorkerThatOnlyRefusedConnectionsHasNotCrashed(t *testing.T) {
	h := newHarness(t)
	id := h.run("a.0.0.0", 1000)
	h.end()
	h.now += 100 * time.Millisecond
	crashes := h.crashesOf(session)
	h.answerHold(runner.ReportedRun{RunID: id})
	if crashes = append(crashes, h.crashesOf(session)...); len(crashes) != 0 {
		t.Errorf("crashes %+v, want none", crashes)
	}
}

// TestCrash_SilentWorkerHasCrashedOnlyIfItIsReplaced covers a worker that answers nothing until its lease has expired.
func TestCrash_SilentWorkerHasCrashedOnlyIfItIsReplaced(t *testing.T) {
	for name, isReplaced := range map[string]bool{"answers again": false, "is replaced": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.run("a.0.0.0", 1000)
			for range 30 {
				h.step(50 * time.Millisecond)
				h.echo()
			}
			if len(h.frame.Ended) != 1 || h.frame.Ended[0].Outcome != work.Lost {
				t.Fatalf("ended %v, want the run lost with its lease", h.frame.Ended)
			}
			if !isReplaced {
				h.report(&runner.Report{Answer: runner.Accepted})
			}
			h.core.Announced(h.now, announcement(2))
			if crashes := h.crashesOf(session); len(crashes) != 0 {
				t.Errorf("crashes %+v before the new incarnation is confirmed", crashes)
			}
			h.core.Verified(h.now, "w@2", runner.Accepted)
			if crashes := h.crashesOf(session); (len(crashes) == 1) != isReplaced {
				t.Errorf("crashes %+v", crashes)
			}
		})
	}
}

func (h *harness) offerExclusive(task string, needs int64) {
	h.core.Take(h.now, session, &work.ToSidecar{Offers: []work.Offer{{
		RunID: work.RunID{Task: task, Run: 1}, Needs: work.Needs{MilliCores: needs}, ExpectedMS: 200, StartWithinMS: 400, SlackMS: 100,
		IsExclusive: true,
	}}})
	h.step(0)
}

func TestCrash_ExclusiveRunSharesTheWorkerWithItsOwnJobOnly(t *testing.T) {
	h := newHarness(t)
	first := h.run("a.0.0.0", 1000)
	h.offerExclusive("b.0.0.0", 1000)
	h.offerExclusive("b.0.0.1", 1000)
	h.offer("c.0.0.0", 1000)
	if h.hasStarted("b.0.0.0") || h.hasStarted("c.0.0.0") {
		t.Fatal("started beside a run of another job, or ahead of the exclusive one")
	}
	h.step(20 * time.Millisecond)
	if h.frame.Load == nil || h.frame.Load.Committed.MilliCores < 8000 {
		t.Errorf("load %+v, want the worker committed whole", h.frame.Load)
	}
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: first, Number: 1, Outcome: work.Done}}})
	if !h.hasStarted("b.0.0.0") || !h.hasStarted("b.0.0.1") || h.hasStarted("c.0.0.0") {
		t.Errorf("starts %+v, want the tasks of job b alone", h.starts)
	}
}

// TestCrash_IsNoticedAtOnceWhileSeveralHoldsAreOpen covers a worker that ends while an earlier Hold is still open: both Holds
// break at the same moment. Counted as two failures in a row, they delayed the next call by 50 ms, and the crash was reported
// with run times that were too long by as much, so that no queue was found to have caused it.
func TestCrash_IsNoticedAtOnceWhileSeveralHoldsAreOpen(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 1000)
	startedAt := h.now
	first := h.hold
	// A Hold is repeated after a second.
	for h.hold == first {
		h.step(10 * time.Millisecond)
		h.echo()
	}
	last := h.hold
	h.hold = nil
	for _, hold := range []*runner.Hold{first, last} {
		h.core.Reported(h.now, &runner.Report{Answer: runner.NoAnswer, Number: hold.Number})
	}
	h.step(0)
	if h.hold == nil {
		t.Fatal("no Hold follows at once")
	}
	ran := h.now - startedAt
	h.end()
	if crashes := h.afterLease()[session]; len(crashes) != 1 || crashes[0].Runs[0].RanMS != ran.Milliseconds() {
		t.Errorf("crashes %+v, want one, with the run time until the worker was found gone (%v)", crashes, ran)
	}
}

// toldOf gathers what a session is told of the worker's end while its address refuses connections for the given time.
func (h *harness) toldOf(id runner.Session, during time.Duration) (suspicions []work.Suspicion, crashes []work.Crash) {
	for until := h.now + during; h.now < until; h.now, h.clockMS = h.now+10*time.Millisecond, h.clockMS+10 {
		h.core.Advance(h.now)
		effects := h.core.Effects()
		for _, frame := range effects.Frames {
			if frame.Session == id {
				suspicions, crashes = append(suspicions, frame.Suspicions...), append(crashes, frame.Crashes...)
			}
			if frame.Probe != 0 {
				h.core.Take(h.now, frame.Session, &work.ToSidecar{Echo: frame.Probe})
			}
		}
		if h.hold = effects.Hold; h.hold != nil {
			h.end()
		}
	}
	return suspicions, crashes
}

// TestCrash_SuspicionIsReportedAtOnceAndWithdrawnIfTheWorkerAnswers covers a worker that refuses connections and answers again, before
// or after its lease has expired: it has not crashed, and entries must not count it against its tasks.
func TestCrash_SuspicionIsReportedAtOnceAndWithdrawnIfTheWorkerAnswers(t *testing.T) {
	for name, refused := range map[string]time.Duration{"before": 300 * time.Millisecond, "after": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.run("a.0.0.0", 1000)
			h.end()
			suspicions, crashes := h.toldOf(session, 100*time.Millisecond)
			if len(suspicions) != 1 || len(suspicions[0].Runs) != 1 || suspicions[0].OverInMS < 800 || len(crashes) != 0 {
				t.Fatalf("suspicions %+v, crashes %+v; want one suspicion with the run and the rest of the lease", suspicions, crashes)
			}
			h.toldOf(session, refused)
			for h.hold == nil {
				h.now += 10 * time.Millisecond
				h.core.Advance(h.now)
				h.hold = h.core.Effects().Hold
			}
			h.core.Reported(h.now, &runner.Report{Answer: runner.Accepted, Number: h.hold.Number, ClockReading: h.reading()})
			suspicions, crashes = h.toldOf(session, 10*time.Millisecond)
			if len(suspicions) != 1 || !suspicions[0].IsWithdrawn || len(crashes) != 0 {
				t.Errorf("suspicions %+v, crashes %+v; want the suspicion withdrawn", suspicions, crashes)
			}
			later := h.openAnother()
			if crashes := h.crashesOf(later); len(crashes) != 0 {
				t.Errorf("a later session is told of %+v", crashes)
			}
		})
	}
}

// TestCrash_IsConfirmedByTheNextIncarnation covers a worker that refuses connections until its lease has expired: that it has crashed is known
// once another incarnation has answered.
func TestCrash_IsConfirmedByTheNextIncarnation(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 1000)
	h.end()
	if _, crashes := h.toldOf(session, 1200*time.Millisecond); len(crashes) != 1 || !crashes[0].IsUnconfirmed {
		t.Fatalf("crashes %+v, want one that is not confirmed", crashes)
	}
	h.core.Announced(h.now, announcement(2))
	h.core.Verified(h.now, "w@2", runner.Accepted)
	if crashes := h.crashesOf(session); len(crashes) != 1 || crashes[0].IsUnconfirmed || crashes[0].Incarnation != "w@1" {
		t.Errorf("crashes %+v, want that of the first incarnation confirmed", crashes)
	}
}

// TestCrash_AnyAnswerOfTheIncarnationEndsTheSuspicion guards against tasks that are given up for the crash of a worker that answers, but
// carries nothing out: it is unhealthy, or has seen a higher fence.
func TestCrash_AnyAnswerOfTheIncarnationEndsTheSuspicion(t *testing.T) {
	for answer, lives := range map[runner.Answer]bool{runner.Unhealthy: true, runner.Fenced: true, runner.WrongIncarnation: false} {
		t.Run(fmt.Sprint(answer), func(t *testing.T) {
			h := newHarness(t)
			h.run("a.0.0.0", 1000)
			h.end()
			if suspicions, _ := h.toldOf(session, 100*time.Millisecond); len(suspicions) != 1 {
				t.Fatalf("suspicions %+v, want one", suspicions)
			}
			withdrawn, crashes := 0, 0
			for until := h.now + 1500*time.Millisecond; h.now < until; h.now, h.clockMS = h.now+10*time.Millisecond, h.clockMS+10 {
				h.core.Advance(h.now)
				effects := h.core.Effects()
				for _, frame := range effects.Frames {
					crashes += len(frame.Crashes)
					if len(frame.Suspicions) > 0 && frame.Suspicions[0].IsWithdrawn {
						withdrawn++
					}
					if frame.Probe != 0 {
						h.core.Take(h.now, frame.Session, &work.ToSidecar{Echo: frame.Probe})
					}
				}
				if effects.Hold != nil {
					h.core.Reported(h.now, &runner.Report{Answer: answer, Number: effects.Hold.Number, ClockReading: h.reading()})
				}
			}
			if (withdrawn == 1) != lives || (crashes == 0) != lives {
				t.Errorf("%d withdrawals, %d crashes", withdrawn, crashes)
			}
		})
	}
}
