package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flamingohall.example/core/dispatch"
)

// TestHistory_NoTwoRunsAtATimeAndEveryJobAnswered injects random faults. A job whose entry has ended is submitted again
// at another entry, as its caller would do, after resendAfter.
func TestHistory_NoTwoRunsAtATimeAndEveryJobAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, problem := range simulateFaults(t, rapid.Uint64().Draw(t, "seed"), defaultLimits) {
			t.Error(problem)
		}
	})
}

// TestHistory_ShorterGrantAtTheEntryLetsRunsOverlap shows that the entry has to wait for the grant to expire.
func TestHistory_ShorterGrantAtTheEntryLetsRunsOverlap(t *testing.T) {
	wrong := defaultLimits
	wrong.entry.Grant = 100 * time.Millisecond
	expectOverlap(t, wrong)
}

// TestHistory_LongerGrantAtTheSidecarLetsRunsOverlap shows that the sidecar has to limit the grant.
func TestHistory_LongerGrantAtTheSidecarLetsRunsOverlap(t *testing.T) {
	wrong := defaultLimits
	wrong.sidecar.Grant = 4 * time.Second
	expectOverlap(t, wrong)
}

// safeguardHistories is the number of random histories in which a disabled safeguard must lead to a violation.
const safeguardHistories = 200

func expectOverlap(t *testing.T, wrong limits) {
	t.Helper()
	for seed := range uint64(safeguardHistories) {
		for _, problem := range simulateFaults(t, seed, wrong) {
			if strings.Contains(problem, "starts on") {
				return
			}
		}
	}
	t.Errorf("no two runs overlapped in %d histories", safeguardHistories)
}

// TestHistory_TasksOfWorkersThatRefuseConnectionsRunOnceAtATime guards against tasks that ran twice: a worker that refused connections
// for over 50 ms and ran on counted as one that had ended.
func TestHistory_TasksOfWorkersThatRefuseConnectionsRunOnceAtATime(t *testing.T) {
	for seed := range uint64(50) {
		sim := newSimulation(t, seed, defaultLimits, 2, 3)
		open := map[string]submittedAt{}
		for n := range 120 {
			sim.after(time.Second+time.Duration(sim.random.Int64N(int64(6*time.Second))), func() { sim.submitWithRetry(jobID(n), open) })
		}
		for range 8 {
			worker, length := sim.workers[sim.random.IntN(3)], time.Duration(sim.random.Int64N(int64(1500*time.Millisecond)))
			sim.after(time.Second+time.Duration(sim.random.Int64N(int64(6*time.Second))), func() { worker.refusesUntil = sim.now + length })
		}
		sim.run(12 * time.Second)
		for _, overlap := range sim.overlaps {
			t.Errorf("seed %d: %s", seed, overlap)
		}
		for job, answers := range sim.answers {
			for _, answer := range answers {
				if answer.Result == dispatch.JobFailed {
					t.Errorf("seed %d: job %s failed, but no worker has ended", seed, job)
				}
			}
		}
	}
}

// TestHistory_RunsWhoseStartLostItsAnswerRunOnceAtATime guards against tasks that ran twice: their starts were carried out, the answers
// were lost, and the offers were refused while workers still stopped the runs.
func TestHistory_RunsWhoseStartLostItsAnswerRunOnceAtATime(t *testing.T) {
	for name, isHidden := range map[string]bool{"listed while stopped": false, "not listed while stopped": true} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				sim := newSimulation(t, seed, defaultLimits, 2, 3)
				sim.lostShare, sim.stopTime, sim.stopsAreHidden = 0.05, 50*time.Millisecond, isHidden
				open := map[string]submittedAt{}
				for n := range 120 {
					sim.after(time.Second+time.Duration(sim.random.Int64N(int64(6*time.Second))), func() { sim.submitWithRetry(jobID(n), open) })
				}
				sim.run(12 * time.Second)
				if len(sim.overlaps) > 0 {
					t.Errorf("seed %d: %d overlaps, the first: %s", seed, len(sim.overlaps), sim.overlaps[0])
				}
			}
		})
	}
}

// TestHistory_GivenUpJobThatIsSubmittedAgainRunsOnceAtATime guards against tasks that ran twice: the runs of a job that was given up counted
// as over 500 ms later, though their worker couldn't be reached and went on with them.
func TestHistory_GivenUpJobThatIsSubmittedAgainRunsOnceAtATime(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, defaultLimits, 1, 3)
		var submit func(job string, left int)
		submit = func(job string, left int) {
			known := len(sim.answers[job])
			sim.submit(0, job, 1, 100*time.Millisecond, 300*time.Millisecond)
			sim.after(350*time.Millisecond, func() {
				if answers := sim.answers[job]; len(answers) > known && answers[known].Result == dispatch.GivenUp && left > 0 {
					submit(job, left-1)
				}
			})
		}
		for n := range 60 {
			sim.after(time.Second+time.Duration(sim.random.Int64N(int64(6*time.Second))), func() { submit(jobID(n), 6) })
		}
		for range 8 {
			worker, length := sim.workers[sim.random.IntN(3)], time.Duration(sim.random.Int64N(int64(1500*time.Millisecond)))
			sim.after(time.Second+time.Duration(sim.random.Int64N(int64(6*time.Second))), func() { worker.refusesUntil = sim.now + length })
		}
		sim.run(12 * time.Second)
		for _, overlap := range sim.overlaps {
			t.Errorf("seed %d: %s", seed, overlap)
		}
	}
}

// submittedAt says which entry process has a job; incarnation is 0 if none accepted it.
type submittedAt struct {
	entry       int
	incarnation int
	at          time.Duration
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 2500 * time.Millisecond

// resendAfter is how long a caller waits before it resubmits a job that got no answer.
const resendAfter = 1300 * time.Millisecond

// simulateFaults runs a random history and returns the violations found.
func simulateFaults(t rapid.TB, seed uint64, limits limits) []string {
	sim := newSimulation(t, seed, limits, 2, 3)
	sim.lateShare = 0.1 * sim.random.Float64()
	const length = 12 * time.Second
	open := map[string]submittedAt{}
	for n := range 120 {
		at := time.Second + time.Duration(sim.random.Int64N(int64(length-5*time.Second)))
		sim.after(at, func() { sim.submitWithRetry(jobID(n), open) })
	}
	for range 6 {
		at := time.Second + time.Duration(sim.random.Int64N(int64(length-4*time.Second)))
		sim.after(at, sim.injectFault)
	}
	sim.run(length)
	var problems []string
	for _, overlap := range sim.overlaps {
		problems = append(problems, fmt.Sprintf("seed %d: %s", seed, overlap))
	}
	for job, at := range open {
		n := sim.entries[at.entry]
		isDue := at.at+callerTimeout+100*time.Millisecond < length
		if at.incarnation != 0 && isDue && len(sim.answers[job]) == 0 && n.alive && n.incarnation == at.incarnation {
			problems = append(problems, fmt.Sprintf("seed %d: job %s has no answer", seed, job))
		}
	}
	return problems
}

// submitWithRetry submits a job at an entry that is alive, and again if that entry dies before it has answered.
func (sim *simulation) submitWithRetry(job string, open map[string]submittedAt) {
	entry := sim.random.IntN(len(sim.entries))
	n := sim.entries[entry]
	if !n.alive || sim.now < n.frozenUntil {
		open[job] = submittedAt{}
		return
	}
	open[job] = submittedAt{entry: entry, incarnation: n.incarnation, at: sim.now}
	incarnation := n.incarnation
	sim.submit(entry, job, 1+sim.random.IntN(4), 300*time.Millisecond, callerTimeout)
	var watch func()
	watch = func() {
		if len(sim.answers[job]) > 0 {
			return
		}
		if n.incarnation == incarnation && n.alive {
			sim.after(10*time.Millisecond, watch)
			return
		}
		sim.after(resendAfter, func() { sim.submitWithRetry(job, open) })
	}
	sim.after(10*time.Millisecond, watch)
}

// injectFault injects one random fault.
func (sim *simulation) injectFault() {
	entry, sidecar := sim.random.IntN(len(sim.entries)), sim.random.IntN(len(sim.sidecars))
	length := time.Duration(sim.random.Int64N(int64(3 * time.Second)))
	switch sim.random.IntN(6) {
	case 0:
		sim.endEntry(entry, length)
	case 1:
		sim.endSidecar(sidecar, length)
	case 2:
		sim.workers[sidecar].crash(length)
	case 3:
		sim.entries[entry].frozenUntil = sim.now + length
	case 4:
		sim.sidecars[sidecar].frozenUntil = sim.now + length
	case 5:
		if l := sim.linkOf(entry, sidecar); l != nil {
			sim.cut(l, length)
		}
	}
}

// cut delays the messages of a link. The entry closes the session once its grant must have expired; the sidecar closes
// it by its own rules, and learns of the entry's decision after the cut.
func (sim *simulation) cut(l *link, length time.Duration) {
	l.cutUntil = sim.now + length
	sim.cuts[[2]int{l.entry, l.sidecar}] = l.cutUntil
	sim.after(sim.limits.entry.Grant, func() {
		if sim.now < l.cutUntil {
			sim.endedAtEntry(l)
		}
	})
	sim.after(length+sim.delay(), func() {
		if !l.isOpen {
			sim.endedAtSidecar(l)
		}
	})
}

func (sim *simulation) endEntry(i int, length time.Duration) {
	n := sim.entries[i]
	if !n.alive {
		return
	}
	n.alive = false
	for _, s := range sim.sidecars {
		for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
			if l := s.sessions[id]; l.entry == i {
				sim.after(sim.delay(), func() { sim.broken(l) })
			}
		}
	}
	sim.after(length+10*time.Millisecond, func() { sim.startEntry(i) })
}

func (sim *simulation) endSidecar(i int, length time.Duration) {
	n := sim.sidecars[i]
	if !n.alive {
		return
	}
	n.alive = false
	for _, id := range slices.Sorted(maps.Keys(n.sessions)) {
		l := n.sessions[id]
		sim.after(sim.delay(), func() { sim.broken(l) })
	}
	sim.after(length+10*time.Millisecond, func() { sim.startSidecar(i) })
}
