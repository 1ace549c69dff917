package dispatch

import (
	"time"

	"flamingohall.example/core/health"
	"flamingohall.example/core/work"
)

// ended takes the end of a run in.
func (d *Dispatcher) ended(now time.Duration, w *worker, ended *work.Ended) {
	if ended.AwaitsConfirmation {
		d.record(w, ended)
	}
	t := d.taskAt(w.id, ended.RunID)
	if t == nil || !t.isOut() {
		d.endedBefore(ended)
		return
	}
	j := t.job
	progress := j.stepOf(t)
	progress.perWorker[w.id]--
	if ended.Checkpoint != "" {
		t.checkpoint = ended.Checkpoint
	}
	j.trace.Worker = w.id
	d.observe(now, w, t, ended)
	if ended.Outcome == work.Done {
		t.state = finished
		progress.left--
		d.waiting = append(d.waiting, j.ready()...)
		d.finishIfDone(now, j)
		return
	}
	d.note(Note{
		Kind: RunUnsuccessful, RunID: ended.RunID, Worker: w.id, Reason: ended.Outcome.String(), Age: t.loadAge,
	})
	if ended.Outcome == work.Failed {
		t.failures, t.countedRun = t.failures+1, ended.Run
		j.trace.Failures++
		switch {
		case t.failures < max(1, j.Queue.Attempts):
		case j.IsStored:
			// The job fails once that is recorded.
			t.state = exhausted
			return
		default:
			d.abandon(now, j, JobFailed, TaskFailed)
			return
		}
	}
	t.avoid = w.id
	d.again(t, now)
}

// again makes a task wait for a worker.
func (d *Dispatcher) again(t *task, at time.Duration) {
	t.state, t.retryAt = waiting, at
	d.waiting = append(d.waiting, t)
}

// observe learns from the end of a run how long such work takes, and how well the worker does it.
func (d *Dispatcher) observe(now time.Duration, w *worker, t *task, ended *work.Ended) {
	switch ended.Outcome {
	case work.Done:
		d.learn(w, t, time.Duration(ended.RanMS)*time.Millisecond)
	case work.Failed, work.Stalled:
	case work.Stopped, work.Lost:
		return
	}
	isBad := ended.Outcome != work.Done
	if change, changed := d.judge.Observe(d.epoch.Add(now), w.Pool, w.id, t.job.Queue.Name, isBad); changed {
		d.judged(change)
	}
}

// judged sets a worker aside, tries it again or trusts it.
func (d *Dispatcher) judged(change health.Change) {
	w := d.workers[change.Target]
	if w == nil {
		return
	}
	w.aside, w.onTrial = change.State != health.Good, change.State == health.Trial
	kind := WorkerReadmitted
	switch change.State {
	case health.Ejected:
		kind = WorkerEjected
	case health.Trial:
		kind = WorkerOnProbation
	case health.Good:
	}
	d.note(Note{Kind: kind, Worker: w.id})
}

// refused takes in that an offer was turned down: it has not run and won't.
func (d *Dispatcher) refused(now time.Duration, w *worker, refused work.Refused) {
	t := d.taskAt(w.id, refused.RunID)
	if t == nil || !t.isOut() || t.state == started {
		return
	}
	t.job.stepOf(t).perWorker[w.id]--
	d.note(Note{
		Kind: OfferRejected, RunID: refused.RunID, Worker: w.id, Reason: refused.Reason.String(), Age: t.loadAge,
	})
	switch refused.Reason {
	case work.Malformed:
		d.abandon(now, t.job, JobFailed, TaskFailed)
		return
	case work.Superseded:
		t.run += runStep
	case work.Unanswered, work.Unavailable, work.Busy:
		t.avoid = w.id
	case work.Expired, work.TooLarge, work.Cancelled:
	}
	d.again(t, now+refusalPause)
}
