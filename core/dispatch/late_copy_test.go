package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/work"
)

// chain returns a stored job of a step with two tasks, and a step with one task after it.
func chain(id string) dispatch.Submission {
	s := submission(id, 2, 60*time.Millisecond)
	s.IsStored = true
	s.Steps = append(s.Steps, dispatch.Step{Count: 1, Needs: work.Needs{MilliCores: 1000}, Expected: time.Minute, After: []int{0}})
	return s
}

// storeAt stores the job of chain for an entry under a holder name, and passes the answer to the entry. It reports whether the entry has to
// request the job.
func storeAt(h *harness, table *jobstore.Table, holder string, index uint64) bool {
	answer := table.Store(jobstore.Store{Job: "j", Queue: "q", Holder: holder, Steps: []uint32{2, 1}, Attempts: 2}, index)
	needsAssignment := false
	if answer.Holder == holder && answer.State == jobstore.Open {
		needsAssignment = h.core.StoreAnswered(h.now, chain("j"), dispatch.StoreAnswer{IsNew: answer.Result == jobstore.Stored, SentAt: h.now})
	}
	h.step(0)
	return needsAssignment
}

// TestStored_LateCopyOfARequestStartsNoFinishedTask guards against tasks of a stored job that are started again after their ends were
// recorded: a copy of the job's request reached the next holder before the assignment did, and was taken for a new job.
func TestStored_LateCopyOfARequestStartsNoFinishedTask(t *testing.T) {
	const assign = "assignment"
	for _, successor := range []string{"b", "restarted"} {
		for _, copies := range []string{"b", "c", "restarted"} {
			for _, order := range [][]string{{"copy", assign}, {assign, "copy"}, {"copy"}, {"copy", "copy", assign, "copy"}} {
				t.Run(fmt.Sprintf("copy at %s, successor %s, %v", copies, successor, order), func(t *testing.T) {
					table := jobstore.NewTable(jobstore.DefaultLimits)
					first := newStoredHarness(t, 1)
					storeAt(first, table, "a", 1)
					for _, offer := range first.offers["s0"] {
						first.finish("s0", offer.RunID, dispatch.StoredOpen)
						table.Record(jobstore.RunEnd{Task: offer.Task, Run: offer.Run}, 0)
					}
					table.Retire(jobstore.Retire{Holder: "a", Successors: []string{successor}}, 2)
					entries := map[string]*harness{"b": newStoredHarness(t, 1), "c": newStoredHarness(t, 1), "restarted": newStoredHarness(t, 1)}
					assigned := 0
					for _, what := range order {
						if what == assign {
							for _, j := range table.HeldBy(successor, 1) {
								s := chain(j.ID)
								s.Epoch, s.Progress = j.Epoch, progressOf(j)
								entries[successor].core.Accept(entries[successor].now, s)
							}
							entries[successor].step(0)
							assigned = 1
						} else if requests := storeAt(entries[copies], table, copies, 3); requests != (copies == successor) {
							t.Errorf("the entry requests the job: %v, want it requested by its holder alone", requests)
						}
					}
					for name, h := range entries {
						want := 0
						if name == successor {
							want = assigned
						}
						if h.total() != want {
							t.Errorf("%d offers of entry %s, want %d: %v", h.total(), name, want, h.offers)
						}
						for _, offer := range h.offers["s0"] {
							if offer.Task != "j.0.1.0" || offer.Run != 10_001 {
								t.Errorf("offer of %s, run %d", offer.Task, offer.Run)
							}
						}
					}
				})
			}
		}
	}
}

// TestStoredHistory_LateCopiesOfRequestsRunNothingTwice guards against the same failure in random histories: entries are killed or frozen while
// copies of the requests of their jobs arrive, some seconds after the answers.
func TestStoredHistory_LateCopiesOfRequestsRunNothingTwice(t *testing.T) {
	broken := 0
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, defaultLimits, 0, 6)
		sim.control = newFakeControl(sim, holderTimeout)
		for i := range 3 {
			sim.entries = append(sim.entries, &entryNode{})
			sim.startEntry(i)
		}
		store := func(job string) {
			entry := sim.random.IntN(3)
			if n := sim.entries[entry]; !n.alive || sim.now < n.frozenUntil {
				return
			}
			steps := make([]dispatch.Step, 16)
			for i := range steps {
				steps[i] = dispatch.Step{Count: 1, Needs: work.Needs{MilliCores: 1000}, Expected: 400 * time.Millisecond}
				if i > 0 {
					steps[i].After = []int{i - 1}
				}
			}
			sim.control.store(entry, dispatch.Submission{
				ID: job, Spec: "400ms", IsStored: true, Steps: steps,
				Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond},
			})
		}
		for i, at := range []time.Duration{2500 * time.Millisecond, 5 * time.Second, 7500 * time.Millisecond} {
			for n := range 20 {
				sim.after(at-500*time.Millisecond-time.Duration(sim.random.Int64N(int64(700*time.Millisecond))), func() { store(jobID(100*i + n)) })
				// The jobs of the entry are assigned to others 3.1 to 3.5 s after the fault.
				for range 3 {
					sim.after(at+3*time.Second+time.Duration(sim.random.Int64N(int64(time.Second))), func() { store(jobID(100*i + n)) })
				}
			}
			if (int(seed)+i)%2 == 0 {
				sim.after(at, func() { sim.endEntry(i, 500*time.Millisecond) })
			} else {
				sim.after(at, func() { sim.entries[i].frozenUntil = sim.now + 4500*time.Millisecond })
			}
		}
		var ignored []string
		sim.observe = func(entry int, effects *dispatch.Effects) {
			for _, note := range effects.Notes {
				if note.Kind == dispatch.AssignmentIgnored {
					ignored = append(ignored, fmt.Sprintf("e%d ignores the assignment of job %s under epoch %d", entry, note.Task, note.Count))
				}
			}
		}
		sim.run(14 * time.Second)
		problems := slices.Concat(sim.overlaps, sim.repeatedRuns(), ignored)
		if broken += len(problems); len(problems) > 0 && broken < 8 {
			t.Errorf("seed %d: %s", seed, problems[0])
		}
	}
	if broken > 0 {
		t.Errorf("%d tasks ran twice or assignments were ignored", broken)
	}
}
