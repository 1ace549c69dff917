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

// TestStoredHistory_EveryStoredJobEndsAndNoTaskIsDoneTwice plays random faults, control's own absence among them. After the
// last of them every job that was stored ends.
func TestStoredHistory_EveryStoredJobEndsAndNoTaskIsDoneTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, problem := range playStored(t, rapid.Uint64().Draw(t, "seed"), defaultLimits, holderPatience) {
			t.Error(problem)
		}
	})
}

// TestStoredHistory_SoonerRetirementLetsRunsOverlap shows that control's patience is needed.
func TestStoredHistory_SoonerRetirementLetsRunsOverlap(t *testing.T) {
	expectStoredProblem(t, defaultLimits, 300*time.Millisecond)
}

// TestStoredHistory_LongerRightLetsRunsOverlap shows that the bound of an entry's right is needed.
func TestStoredHistory_LongerRightLetsRunsOverlap(t *testing.T) {
	wrong := defaultLimits
	wrong.entry.JobLease = time.Minute
	expectStoredProblem(t, wrong, holderPatience)
}

func expectStoredProblem(t *testing.T, wrong limits, patience time.Duration) {
	t.Helper()
	for seed := range uint64(safeguardHistories) {
		if len(playStored(t, seed, wrong, patience)) > 0 {
			return
		}
	}
	t.Errorf("nothing went wrong in %d histories", safeguardHistories)
}

// playStored returns what broke a rule.
func playStored(t rapid.TB, seed uint64, limits limits, patience time.Duration) []string {
	w := newWorld(t, seed, limits, 0, 3)
	w.late = 0.1 * w.random.Float64()
	w.control = storedWorld(w, patience)
	for i := range 3 {
		w.entries = append(w.entries, &entryNode{})
		w.startEntry(i)
	}
	const trouble, length = 10 * time.Second, 24 * time.Second
	for n := range 60 {
		w.after(time.Second+time.Duration(w.random.Int64N(int64(trouble))), func() { w.handInStored(jobID(n), 0) })
	}
	for range 6 {
		w.after(time.Second+time.Duration(w.random.Int64N(int64(trouble))), w.storedTrouble)
	}
	w.run(length)
	var problems []string
	for _, what := range append(w.overlaps, w.doubled()...) {
		problems = append(problems, fmt.Sprintf("seed %d: %s", seed, what))
	}
	for n := range 60 {
		if j := w.control.table.Find(jobID(n)); j != nil && j.State == jobstore.Open {
			problems = append(problems, fmt.Sprintf("seed %d: job %s of %s has not ended", seed, j.ID, j.Holder))
		}
	}
	return problems
}

// handInStored submits a stored job at an entry, and once more at another one, as a caller does that got no answer.
func (w *world) handInStored(job string, tries int) {
	entry := w.random.IntN(len(w.entries))
	n := w.entries[entry]
	if n.alive && w.now >= n.frozenUntil {
		w.control.store(entry, dispatch.Submission{
			ID: job, IsStored: true,
			Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond},
			Steps: []dispatch.Step{
				{Count: 1 + int(job[len(job)-1])%3, Needs: work.Needs{MilliCores: 3000}, Expected: 300 * time.Millisecond},
				{Count: 1, Needs: work.Needs{MilliCores: 3000}, Expected: 300 * time.Millisecond, After: []int{0}},
			},
		})
	}
	if tries == 0 && w.random.IntN(3) == 0 {
		w.after(time.Duration(w.random.Int64N(int64(500*time.Millisecond))), func() { w.handInStored(job, 1) })
	}
}

// storedTrouble does one random harm: those of trouble, and such that concern control.
func (w *world) storedTrouble() {
	length := time.Duration(w.random.Int64N(int64(5 * time.Second)))
	switch w.random.IntN(8) {
	case 0:
		w.control.awayUntil = max(w.control.awayUntil, w.now+length)
	case 1:
		n := w.entries[w.random.IntN(len(w.entries))]
		n.cutOffUntil = w.now + length
	default:
		w.trouble()
	}
}
