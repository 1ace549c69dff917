package runner

import (
	"time"

	"flamingohall.example/core/work"
)

// proof says how a run is known to be over whose end the worker has not listed. It takes the place of the worker's word, and the task
// may be started elsewhere at once. That a worker seems to have ended is no proof, see suspicion.
type proof uint8

const (
	// notReported means that the worker's reports, which are whole, do not list the run.
	notReported proof = iota + 1
	// workerReplaced means that a later incarnation has answered at the worker's address.
	workerReplaced
	// leaseOver means that the lease of the run has expired on the worker's clock.
	leaseOver
)

// String returns the text in logs.
func (p proof) String() string {
	names := [...]string{"none", "not reported", "worker restarted", "lease expired"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// lose ends a run that is over.
func (r *Runner) lose(now time.Duration, run *taskRun, by proof) {
	if run.state == queued {
		r.refuseRun(run, work.Unavailable)
		return
	}
	note := Note{Kind: RunLost, RunID: run.RunID, Session: run.session, Reason: by.String()}
	if run.wasStarted {
		note.Ran = now - run.startedAt
	}
	r.note(note)
	run.lostBy = by
	r.end(now, run, work.Lost)
}

// loseLapsed ends every run that the worker may have been running. It is called once the lease has expired.
func (r *Runner) loseLapsed(now time.Duration) {
	if r.worker.suspicion.stands {
		r.reportCrash(now, leaseOver)
	} else {
		r.worker.lapsedRuns = r.crashedRuns(now)
	}
	for _, run := range r.sorted() {
		if run.usesCapacity() {
			r.lose(now, run, leaseOver)
		}
	}
}
