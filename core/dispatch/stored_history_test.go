package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/work"
)

// TestStoredHistory_EveryStoredJobEndsAndNoTaskIsDoneTwice injects random faults, including outages of control. After
// the last fault, every stored job must end.
func TestStoredHistory_EveryStoredJobEndsAndNoTaskIsDoneTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, problem := range simulateStored(t, rapid.Uint64().Draw(t, "seed"), defaultLimits, holderTimeout) {
			t.Error(problem)
		}
	})
}

// TestStoredHistory_SoonerRetirementLetsRunsOverlap shows that control has to wait before it retires a holder.
func TestStoredHistory_SoonerRetirementLetsRunsOverlap(t *testing.T) {
	expectStoredProblem(t, defaultLimits, 300*time.Millisecond)
}

// TestStoredHistory_LongerJobLeaseLetsRunsOverlap shows that an entry's job lease has to expire before control reassigns
// its jobs.
func TestStoredHistory_LongerJobLeaseLetsRunsOverlap(t *testing.T) {
	wrong := defaultLimits
	wrong.entry.JobLease = time.Minute
	expectStoredProblem(t, wrong, holderTimeout)
}

func expectStoredProblem(t *testing.T, wrong limits, silenceTimeout time.Duration) {
	t.Helper()
	for seed := range uint64(safeguardHistories) {
		if len(simulateStored(t, seed, wrong, silenceTimeout)) > 0 {
			return
		}
	}
	t.Errorf("nothing went wrong in %d histories", safeguardHistories)
}

// simulateStored runs a random history with stored jobs and returns the violations found.
func simulateStored(t rapid.TB, seed uint64, limits limits, silenceTimeout time.Duration) []string {
	sim := newSimulation(t, seed, limits, 0, 3)
	sim.lateShare = 0.1 * sim.random.Float64()
	sim.control = newFakeControl(sim, silenceTimeout)
	for i := range 3 {
		sim.entries = append(sim.entries, &entryNode{})
		sim.startEntry(i)
	}
	const faultPeriod, length = 10 * time.Second, 24 * time.Second
	for n := range 60 {
		sim.after(time.Second+time.Duration(sim.random.Int64N(int64(faultPeriod))), func() { sim.submitStored(jobID(n), 0) })
	}
	for range 6 {
		sim.after(time.Second+time.Duration(sim.random.Int64N(int64(faultPeriod))), sim.injectStoredFault)
	}
	sim.run(length)
	var problems []string
	for _, what := range append(sim.overlaps, sim.repeatedRuns()...) {
		problems = append(problems, fmt.Sprintf("seed %d: %s", seed, what))
	}
	for n := range 60 {
		if j := sim.control.table.Find(jobID(n)); j != nil && j.State == jobstore.Open {
			problems = append(problems, fmt.Sprintf("seed %d: job %s of %s has not ended", seed, j.ID, j.Holder))
		}
	}
	return problems
}

// submitStored submits a stored job at an entry, and sometimes once more at another one, as a caller does that got no
// answer.
func (sim *simulation) submitStored(job string, tries int) {
	entry := sim.random.IntN(len(sim.entries))
	n := sim.entries[entry]
	if n.alive && sim.now >= n.frozenUntil {
		sim.control.store(entry, dispatch.Submission{
			ID: job, IsStored: true,
			Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond},
			Steps: []dispatch.Step{
				{Count: 1 + int(job[len(job)-1])%3, Needs: work.Needs{MilliCores: 3000}, Expected: 300 * time.Millisecond},
				{Count: 1, Needs: work.Needs{MilliCores: 3000}, Expected: 300 * time.Millisecond, After: []int{0}},
			},
		})
	}
	if tries == 0 && sim.random.IntN(3) == 0 {
		sim.after(time.Duration(sim.random.Int64N(int64(500*time.Millisecond))), func() { sim.submitStored(job, 1) })
	}
}

// injectStoredFault injects one random fault: one of injectFault, an outage of control, or the loss of an entry's
// connection to control.
func (sim *simulation) injectStoredFault() {
	length := time.Duration(sim.random.Int64N(int64(5 * time.Second)))
	switch sim.random.IntN(8) {
	case 0:
		sim.control.unavailableUntil = max(sim.control.unavailableUntil, sim.now+length)
	case 1:
		n := sim.entries[sim.random.IntN(len(sim.entries))]
		n.cutOffUntil = sim.now + length
	default:
		sim.injectFault()
	}
}

// TestStoredHistory_JobOfACutOffEntryWhoseStopsGetNoAnswersRunsOnceAtATime guards against a stored job whose tasks run twice: its entry
// loses control and keeps its sidecars, while workers answer holds but no stops.
func TestStoredHistory_JobOfACutOffEntryWhoseStopsGetNoAnswersRunsOnceAtATime(t *testing.T) {
	for name, fault := range map[string][2]time.Duration{
		"stops are answered":          {},
		"connections refused for 3 s": {0, 3 * time.Second},
		"stops unanswered for 0.8 s, then connections refused for 3 s": {800 * time.Millisecond, 3 * time.Second},
		"stops unanswered for 2.5 s":                                   {2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			lost, refused := fault[0], fault[1]
			overlaps := 0
			for seed := range uint64(5) {
				sim := newSimulation(t, seed, defaultLimits, 0, 3)
				sim.control = newFakeControl(sim, holderTimeout)
				for i := range 3 {
					sim.entries = append(sim.entries, &entryNode{})
					sim.startEntry(i)
				}
				for n := range 60 {
					sim.after(time.Second+time.Duration(sim.random.Int64N(int64(4*time.Second))), func() {
						sim.control.store(sim.random.IntN(3), dispatch.Submission{
							ID: jobID(n), Spec: "4s", IsStored: true,
							Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond},
							Steps: []dispatch.Step{{Count: 1, Needs: work.Needs{MilliCores: 1000}, Expected: 4 * time.Second}},
						})
					})
				}
				sim.after(3*time.Second, func() { sim.entries[0].cutOffUntil = sim.now + 5*time.Second })
				// The job lease ends at about 5 s.
				sim.after(4800*time.Millisecond, func() { sim.stopsLostUntil = sim.now + lost })
				for _, w := range sim.workers {
					sim.after(4800*time.Millisecond+lost, func() { w.refusesUntil = sim.now + refused })
				}
				sim.run(16 * time.Second)
				overlaps += len(sim.overlaps)
				if len(sim.overlaps) > 0 && overlaps < 8 {
					t.Errorf("seed %d: %s", seed, sim.overlaps[0])
				}
			}
			if overlaps > 0 {
				t.Errorf("%d overlaps", overlaps)
			}
		})
	}
}

// TestStoredHistory_LateStartsAtWorkersThatRestartUnderTheirIDsRunNothingTwice guards against tasks that ran twice: a start without an answer
// was revoked and its task started elsewhere, and the worker, which had restarted under its ID since, carried the start out. Nothing
// prevents that before the first call to the new incarnation; such a run is ended at once.
func TestStoredHistory_LateStartsAtWorkersThatRestartUnderTheirIDsRunNothingTwice(t *testing.T) {
	uncalled := 0
	for seed := range uint64(30) {
		sim := newSimulation(t, seed, defaultLimits, 0, 5)
		sim.keepsIDs, sim.firstBeat, sim.lateShare = true, 1500*time.Millisecond, 0.3
		sim.control = newFakeControl(sim, holderTimeout)
		for i := range 2 {
			sim.entries = append(sim.entries, &entryNode{})
			sim.startEntry(i)
		}
		for n := range 40 {
			sim.after(time.Second+time.Duration(sim.random.Int64N(int64(6*time.Second))), func() {
				sim.control.store(sim.random.IntN(2), dispatch.Submission{
					ID: jobID(n), Spec: "6s", IsStored: true,
					Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond},
					Steps: []dispatch.Step{{Count: 1, Needs: work.Needs{MilliCores: 1000}, Expected: 6 * time.Second}},
				})
			})
		}
		for range 10 {
			worker, down := sim.workers[sim.random.IntN(5)], time.Duration(sim.random.Int64N(int64(1500*time.Millisecond)))
			sim.after(2*time.Second+time.Duration(sim.random.Int64N(int64(8*time.Second))), func() { worker.crash(down) })
		}
		sim.run(16 * time.Second)
		if len(sim.overlaps) > 0 {
			t.Errorf("seed %d: %d overlaps, the first: %s", seed, len(sim.overlaps), sim.overlaps[0])
		}
		if sim.longUncalled > 0 {
			t.Errorf("seed %d: %d runs of late starts weren't ended within %v", seed, sim.longUncalled, uncalledLimit)
		}
		if sim.strangeConfirms > 0 {
			t.Errorf("seed %d: %d holds confirmed ends that weren't reported", seed, sim.strangeConfirms)
		}
		uncalled += sim.uncalledStarts
	}
	t.Logf("%d late starts came before the first call to an incarnation", uncalled)
}
