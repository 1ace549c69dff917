package dispatch_test

import (
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// shareInterval is the time between two reports of an entry to the other one.
const shareInterval = 250 * time.Millisecond

// simulateCopies submits jobs of 1.5 s, and each of them again at the other entry after resendAfter, as callers do that get no answer in
// that time. With share, the entries tell each other which jobs are in progress, and the answers.
func simulateCopies(t *testing.T, seed uint64, share bool) *simulation {
	t.Helper()
	sim := newSimulation(t, seed, defaultLimits, 2, 3)
	answered := map[int][]dispatch.AnsweredJob{}
	sim.observe = func(entry int, effects *dispatch.Effects) {
		answered[entry] = append(answered[entry], effects.Answered...)
	}
	var report func(from int)
	report = func(from int) {
		keys, answers := sim.entries[from].core.InProgress(sim.now), answered[from]
		answered[from] = nil
		sim.after(sim.delay(), func() {
			sim.entries[1-from].core.AnsweredElsewhere(sim.now, answers)
			sim.entries[1-from].core.InProgressElsewhere(sim.now, string(rune('a'+from)), keys, 2*shareInterval)
		})
		sim.after(shareInterval, func() { report(from) })
	}
	for from := range 2 {
		if share {
			report(from)
		}
	}
	for n := range 8 {
		submit := func(entry int) func() {
			return func() {
				sim.entries[entry].core.Submit(sim.now, dispatch.Submission{
					ID: jobID(n), Timeout: 4 * time.Second, Spec: "1.5s",
					Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond},
					Steps: []dispatch.Step{{Count: 2, Needs: work.Needs{MilliCores: 3000, MemoryMB: 64}, Expected: 1500 * time.Millisecond}},
				})
			}
		}
		at := time.Second + time.Duration(sim.random.Int64N(int64(4*time.Second)))
		sim.after(at, submit(n%2))
		sim.after(at+resendAfter, submit(1-n%2))
	}
	sim.run(12 * time.Second)
	return sim
}

// TestInProgress_CopyAtAnotherEntryGetsTheAnswerOfTheFirst guards against running a job at two entries at the same time.
func TestInProgress_CopyAtAnotherEntryGetsTheAnswerOfTheFirst(t *testing.T) {
	for seed := range uint64(20) {
		sim := simulateCopies(t, seed, true)
		for _, overlap := range sim.overlaps {
			t.Errorf("seed %d: %s", seed, overlap)
		}
		for n := range 8 {
			answers := sim.answers[jobID(n)]
			if len(answers) != 2 || answers[0].Result != dispatch.Completed || answers[1].Result != dispatch.Completed {
				t.Errorf("seed %d: answers to job %d: %+v, want it completed twice", seed, n, answers)
			}
		}
	}
}

// TestInProgress_EntriesThatShareNothingLetRunsOverlap shows that the reports are needed.
func TestInProgress_EntriesThatShareNothingLetRunsOverlap(t *testing.T) {
	if overlaps := simulateCopies(t, 0, false).overlaps; len(overlaps) == 0 {
		t.Error("no two runs overlapped")
	}
}

func TestInProgress_HeldJobStartsOnceItCanNotBeRunning(t *testing.T) {
	first, second := newHarness(t, 2), newHarness(t, 2)
	first.submit("j", 2, 60*time.Millisecond)
	second.core.InProgressElsewhere(second.now, "first", first.core.InProgress(first.now), time.Second)
	second.submit("j", 2, 60*time.Millisecond)
	second.step(dispatch.DefaultLimits.Grant - 10*time.Millisecond)
	if second.total() != 0 || len(second.answers) != 0 {
		t.Fatalf("%d offers, answers %v while the job may be running, want none", second.total(), second.answers)
	}
	// The first entry has ended, and reports nothing more.
	second.step(20 * time.Millisecond)
	if second.total() != 2 {
		t.Errorf("%d offers once the grant has ended, want 2", second.total())
	}
}

func TestInProgress_HeldJobIsNotReportedAndEndsWithItsCallersTime(t *testing.T) {
	h := newHarness(t, 2)
	h.core.InProgressElsewhere(h.now, "first", []uint64{dispatch.JobKey("j")}, 5*time.Second)
	s := submission("j", 2, 60*time.Millisecond)
	s.Timeout = time.Second
	h.core.Submit(h.now, s)
	h.step(0)
	if keys := h.core.InProgress(h.now); len(keys) != 0 {
		t.Errorf("keys %v in progress, want none: two entries would wait for each other", keys)
	}
	h.step(time.Second)
	if got := h.answers["j"]; got.Result != dispatch.GivenUp {
		t.Errorf("answer %+v, want the job given up: that it has not run is unknown here", got)
	}
}

// TestInProgress_GivenUpJobIsHeldUntilItsRunsHaveEnded guards against tasks that ran twice: a caller submits its job again while the runs of
// the first submission go on. They counted as over 500 ms after the stops, though a worker that can't be reached goes on for its lease.
func TestInProgress_GivenUpJobIsHeldUntilItsRunsHaveEnded(t *testing.T) {
	for name, end := range map[string]func(h *harness, worker string, run work.RunID){
		"the sidecar reports the end": func(h *harness, worker string, run work.RunID) { h.ended(worker, run, work.Stopped) },
		"the sidecar reports that it never started": func(h *harness, worker string, run work.RunID) {
			h.core.Take(h.now, worker, &work.ToEntry{Refused: []work.Refused{{RunID: run, Reason: work.Unanswered}}})
			h.step(0)
		},
		"the session ends": func(h *harness, worker string, _ work.RunID) {
			h.core.Closed(h.now, worker)
			h.step(dispatch.DefaultLimits.Grant - 10*time.Millisecond)
			if h.total() != 1 {
				h.t.Errorf("%d offers before the grant has ended, want 1", h.total())
			}
			h.step(10 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			s := submission("j", 1, 60*time.Millisecond)
			s.Timeout = time.Second
			h.core.Submit(h.now, s)
			h.step(0)
			worker, offer := h.lastOffer("j.0.0.0")
			h.step(900 * time.Millisecond)
			h.probe("s0")
			h.probe("s1")
			h.step(100 * time.Millisecond)
			if got := h.answers["j"]; got.Result != dispatch.GivenUp || h.total() != 1 {
				t.Fatalf("answer %+v after %d offers, want the job given up after 1", got, h.total())
			}
			if keys := h.core.InProgress(h.now); len(keys) != 1 {
				t.Errorf("keys %v in progress, want that of the job whose runs have not ended", keys)
			}
			s.Timeout = time.Minute
			h.core.Submit(h.now, s)
			for range 30 {
				h.step(100 * time.Millisecond)
				h.probe("s0")
				h.probe("s1")
			}
			if h.total() != 1 {
				t.Fatalf("%d offers while the first run has not ended, want 1", h.total())
			}
			end(h, worker, offer.RunID)
			h.step(0)
			if h.total() != 2 {
				t.Errorf("%d offers after the end, want 2", h.total())
			}
			if keys := h.core.InProgress(h.now); len(keys) != 1 {
				t.Errorf("keys %v in progress, want that of the job in progress", keys)
			}
		})
	}
}
