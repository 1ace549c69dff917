package dispatch

import (
	"time"

	"flamingohall.example/core/health"
	"flamingohall.example/core/work"
)

// ended handles the reported end of a run.
func (d *Dispatcher) ended(now time.Duration, w *worker, ended *work.Ended) {
	if ended.AwaitsConfirmation {
		d.record(w, ended)
	}
	d.inProgress.runOver(w.id, ended.RunID)
	t := d.taskAt(w.id, ended.RunID)
	if t == nil || !t.isOutstanding() {
		d.earlierRunEnded(ended)
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
		j.trace.Slowest = t.stages(now)
		d.waiting = append(d.waiting, j.unblock()...)
		d.finishIfDone(now, j)
		return
	}
	d.note(Note{
		Kind: RunUnsuccessful, RunID: ended.RunID, Worker: w.id, Reason: ended.Outcome.String(), Cause: ended.Cause, Age: t.run.loadAge,
	})
	if ended.Outcome == work.Failed {
		t.addFailure(ended.Run)
		j.trace.Failures++
		switch {
		case t.hasAttempts():
		case j.IsStored:
			// The job fails once control has recorded this failure.
			t.state = exhausted
			return
		default:
			d.abandon(now, j, JobFailed, TaskFailed)
			return
		}
	}
	t.avoid = w.id
	if ended.Outcome == work.Lost && d.endAfterLoss(now, t) {
		return
	}
	d.requeue(t, now)
}

// stages returns where a task that ends now has spent its time.
func (t *task) stages(now time.Duration) Stages {
	return Stages{
		Offered: t.firstOfferedAt - t.job.arrivedAt, Reoffered: t.run.offeredAt - t.firstOfferedAt,
		Queued: t.run.startedAt - t.run.offeredAt, Run: now - t.run.startedAt,
	}
}

// requeue makes a task wait for a worker again.
func (d *Dispatcher) requeue(t *task, at time.Duration) {
	t.state, t.retryAt = waiting, at
	d.waiting = append(d.waiting, t)
}

// observe updates the run time estimates and the outlier detector from the end of a run.
func (d *Dispatcher) observe(now time.Duration, w *worker, t *task, ended *work.Ended) {
	switch ended.Outcome {
	case work.Done:
		if !w.startedCold(t) {
			d.learn(w, t, time.Duration(ended.RanMS)*time.Millisecond)
		}
	case work.Failed, work.Stalled:
	case work.Stopped, work.Lost:
		return
	}
	if !d.limits.Policy.Faults.Ejection {
		return
	}
	isBad := ended.Outcome != work.Done
	if change, changed := d.detector.Observe(d.epoch.Add(now), w.Pool, w.id, t.job.Queue.Name, isBad); changed {
		d.healthChanged(change)
	}
}

// healthChanged ejects a worker, puts it on probation or readmits it.
func (d *Dispatcher) healthChanged(change health.Change) {
	w := d.workers[change.Target]
	if w == nil {
		return
	}
	w.ejected, w.onProbation = change.State != health.Healthy, change.State == health.Probation
	kind := WorkerReadmitted
	switch change.State {
	case health.Ejected:
		kind = WorkerEjected
	case health.Probation:
		kind = WorkerOnProbation
	case health.Healthy:
	}
	d.note(Note{Kind: kind, Worker: w.id})
}

// refused handles the rejection of an offer: the run has not started and never will.
func (d *Dispatcher) refused(now time.Duration, w *worker, refused work.Refused) {
	d.inProgress.runOver(w.id, refused.RunID)
	t := d.taskAt(w.id, refused.RunID)
	if t == nil || !t.isOutstanding() || t.state == started {
		return
	}
	t.job.stepOf(t).perWorker[w.id]--
	d.note(Note{
		Kind: OfferRejected, RunID: refused.RunID, Worker: w.id, Reason: refused.Reason.String(), Age: t.run.loadAge,
	})
	retryAt := now + refusalBackoff
	switch refused.Reason {
	case work.Malformed:
		d.abandon(now, t.job, JobFailed, TaskFailed)
		return
	case work.Superseded:
		t.run.number += supersededRunStep
	case work.Unavailable, work.Busy:
		t.avoid, retryAt = w.id, w.retryAfterRefusal(now, retryAt)
	case work.Unanswered:
		t.avoid, retryAt = w.id, now
	case work.Full:
		// The refusal carries the worker's current load, so the next choice is a better one.
		if t.fullOffers++; t.fullOffers%maxFullOffers != 0 {
			retryAt = now
		}
	case work.Expired, work.TooLarge, work.Cancelled:
	}
	d.requeue(t, retryAt)
}
