package runner

import (
	"slices"
	"time"

	"flamingohall.example/core/work"
)

const (
	// maxCrashes is the most crashes that are kept for sessions that open later, crashRetention how long they are kept: at
	// least as long as a caller may resubmit a job whose entry has ended.
	maxCrashes     = 32
	crashRetention = 2 * time.Minute
)

// crash is one end of the worker.
type crash struct {
	work.Crash
	at time.Duration
}

// crashedRuns returns the runs that the worker may be running.
func (r *Runner) crashedRuns(now time.Duration) []work.CrashedRun {
	var runs []work.CrashedRun
	for _, run := range r.sorted() {
		if !run.usesCapacity() {
			continue
		}
		began := run.changedAt
		if run.wasStarted {
			began = run.startedAt
		}
		runs = append(runs, work.CrashedRun{
			Task: run.Task, Queue: run.Queue, Crashes: run.Crashes + 1, WasStarted: run.wasStarted, RanMS: (now - began).Milliseconds(),
			ExpectedMS: run.ExpectedMS,
		})
	}
	return runs
}

// reportCrash informs all entries if the worker has ended under runs: those that it had when it was suspected or when its lease
// expired, or else those that it has now. All of them must know: a caller whose entry has ended submits its job to another one. The end
// of a worker that has said that it leaves is no crash.
func (r *Runner) reportCrash(now time.Duration, by proof) {
	w := &r.worker
	runs := w.suspicion.runs
	if len(runs) == 0 {
		runs = w.lapsedRuns
	}
	if len(runs) == 0 {
		runs = r.crashedRuns(now)
	}
	if len(runs) == 0 || w.leaving || r.confirmCrash(by) {
		return
	}
	ended := crash{Crash: work.Crash{Incarnation: w.Incarnation, Runs: runs, IsUnconfirmed: by != workerReplaced}, at: now}
	r.crashes = append(r.crashes, ended)
	r.crashes = slices.Delete(r.crashes, 0, max(0, len(r.crashes)-maxCrashes))
	for _, s := range r.sessions {
		s.frame.Crashes = append(s.frame.Crashes, ended.Crash)
	}
	r.note(Note{Kind: WorkerEnded, Reason: by.String(), Tasks: namesOf(runs)})
}

// confirmCrash reports whether the crash of this incarnation was reported before. It tells entries if a later one shows it now.
func (r *Runner) confirmCrash(by proof) bool {
	for i := range r.crashes {
		c := &r.crashes[i]
		if c.Incarnation != r.worker.Incarnation {
			continue
		}
		if c.IsUnconfirmed && by == workerReplaced {
			c.IsUnconfirmed = false
			for _, s := range r.sessions {
				s.frame.Crashes = append(s.frame.Crashes, c.Crash)
			}
		}
		return true
	}
	return false
}

// withdrawCrash forgets the crash of an incarnation that has answered after its lease had expired, and reports whether there was one.
func (r *Runner) withdrawCrash(incarnation string) bool {
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return c.Incarnation == incarnation })
	return len(r.crashes) < before
}

// sendRecentCrashes informs a new session, whose entry may have restarted.
func (r *Runner) sendRecentCrashes(now time.Duration, s *session) {
	for i := range r.crashes {
		if age := now - r.crashes[i].at; age < crashRetention {
			past := r.crashes[i].Crash
			past.AgeMS = age.Milliseconds()
			s.frame.Crashes = append(s.frame.Crashes, past)
		}
	}
}

// mayShare reports whether a run may start beside those that use the worker's capacity: an exclusive run shares the worker
// with runs of its own job only.
func (r *Runner) mayShare(run *taskRun) bool {
	for _, other := range r.runs {
		if other.usesCapacity() && (run.IsExclusive || other.IsExclusive) && work.JobOf(other.Task) != work.JobOf(run.Task) {
			return false
		}
	}
	return true
}

func (r *Runner) hasExclusive() bool {
	for _, run := range r.runs {
		if run.IsExclusive {
			return true
		}
	}
	return false
}

// shareOfRun returns the share of the worker that a run takes. The exclusive runs of a job take all of it together.
func (r *Runner) shareOfRun(run *taskRun) float64 {
	if !run.IsExclusive {
		return run.Needs.ShareOf(r.worker.Capacity)
	}
	return 1 / float64(r.exclusiveRunsOf(work.JobOf(run.Task)))
}

// shareOfOffer returns the share of the worker that has to become free for an offer.
func (r *Runner) shareOfOffer(offer *work.Offer) float64 {
	switch {
	case !offer.IsExclusive:
		return offer.Needs.ShareOf(r.worker.Capacity)
	case r.exclusiveRunsOf(work.JobOf(offer.Task)) > 0:
		return 0
	}
	return 1
}

func (r *Runner) exclusiveRunsOf(job string) int {
	count := 0
	for _, run := range r.runs {
		if run.IsExclusive && work.JobOf(run.Task) == job {
			count++
		}
	}
	return count
}
