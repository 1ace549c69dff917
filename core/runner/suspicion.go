package runner

import (
	"time"

	"flamingohall.example/core/work"
)

// suspicionDelay is how long the worker's address refuses connections before entries are told that the worker seems to have ended. A
// worker that listens again sooner is not worth a message to all of them.
const suspicionDelay = 50 * time.Millisecond

// suspicion is that the worker has ended, because its address refuses connections. The worker may also have lost its listener and go
// on, so nothing that could start a task twice depends on it: its runs count until there is a proof. It keeps new tasks away, lets the
// lease expire, and tells entries which tasks the worker may have ended under.
type suspicion struct {
	// stands is true from the first refusal until the worker answers.
	stands bool
	since  time.Duration
	// runs are those that the worker had at the first refusal.
	runs []work.CrashedRun
	// isReported is true once entries were told.
	isReported bool
}

// holdRefused handles a Hold whose connection was refused.
func (r *Runner) holdRefused(now time.Duration) {
	w := &r.worker
	if !w.suspicion.stands {
		w.suspicion = suspicion{stands: true, since: now, runs: r.crashedRuns(now)}
		r.refuseQueued()
		r.note(Note{Kind: ConnectionsRefused})
		r.note(Note{Kind: WorkerChanged, Reason: r.describe()})
	}
	w.nextHold = now + r.refusedDelay(now)
	r.reportSuspicion(now)
}

// reportSuspicion tells all entries that the worker seems to have ended under runs. A worker that answers an earlier call late has not
// ended, and the end of one that leaves is no crash.
func (r *Runner) reportSuspicion(now time.Duration) {
	w := &r.worker
	s := &w.suspicion
	if s.isReported || now-s.since < suspicionDelay || w.openHolds > 0 || len(s.runs) == 0 || w.leaving {
		return
	}
	s.isReported = true
	for _, entry := range r.sessions {
		entry.frame.Suspicions = append(entry.frame.Suspicions, r.suspicionReport(now))
	}
	r.note(Note{Kind: WorkerSuspected, Tasks: namesOf(s.runs)})
}

// suspicionReport returns the message of the suspicion that stands.
func (r *Runner) suspicionReport(now time.Duration) work.Suspicion {
	w := &r.worker
	return work.Suspicion{
		Incarnation: w.Incarnation, Runs: w.suspicion.runs, AgeMS: (now - w.suspicion.since).Milliseconds(),
		OverInMS: max(0, (w.leaseEnd + r.drift() - now).Milliseconds()),
	}
}

// answered ends the suspicion if the worker has answered under the incarnation that seemed to have ended: it has not crashed, whatever it
// said. The worker of another incarnation answers that the call is not for it.
func (r *Runner) answered(report *Report) {
	w := &r.worker
	if report.Answer != Accepted && report.Answer != Fenced && report.Answer != Unhealthy {
		return
	}
	w.lapsedRuns = nil
	if !w.suspicion.stands {
		return
	}
	r.note(Note{Kind: ConnectionsAccepted, Evidence: r.evidence(len(report.Running))})
	if r.withdrawCrash(w.Incarnation) || w.suspicion.isReported {
		for _, entry := range r.sessions {
			entry.frame.Suspicions = append(entry.frame.Suspicions, work.Suspicion{Incarnation: w.Incarnation, IsWithdrawn: true})
		}
	}
	w.suspicion = suspicion{}
}

// sendSuspicion tells a new session of the suspicion that stands.
func (r *Runner) sendSuspicion(now time.Duration, s *session) {
	if r.worker.suspicion.isReported {
		s.frame.Suspicions = append(s.frame.Suspicions, r.suspicionReport(now))
	}
}

func namesOf(runs []work.CrashedRun) []string {
	tasks := make([]string, len(runs))
	for i := range runs {
		tasks[i] = runs[i].Task
	}
	return tasks
}
