package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"flamingohall.example/core/work"
)

// CheckAdmission returns the refusal of a submission that cannot be served in time now, and reports whether there is one.
// During bursts, the rules of Submit apply. Stored jobs are checked before they are stored, since a stored job has to be
// run. During long outages of control, they are refused once the job lease has expired, as nothing can be stored.
func (d *Dispatcher) CheckAdmission(now time.Duration, s Submission) (Answer, bool) {
	s.Timeout = 0
	j, refusal := d.admit(now, s)
	if refusal == nil && d.isCutOff {
		refusal = &Answer{Result: Refused, Cause: ControlUnavailable, RetryAfter: minRetryAfter}
	}
	if refusal == nil {
		return Answer{}, false
	}
	return j.fill(now, *refusal), true
}

// Release drops a stored job that has ended or that another entry holds.
func (d *Dispatcher) Release(now time.Duration, id string) {
	j := d.jobs[id]
	if j == nil || !j.IsStored {
		return
	}
	d.stopTasks(j)
	d.forget(j)
	d.recentlyEnded.add(now, j, StoredUnknown)
	d.note(Note{Kind: JobReleased, RunID: work.RunID{Task: id}})
}

// ReleaseAll drops all stored jobs and the job lease: control has assigned the jobs to other entries.
func (d *Dispatcher) ReleaseAll(now time.Duration) {
	for _, j := range d.sortedJobs() {
		d.Release(now, j.ID)
	}
	d.jobLeaseUntil, d.holdsJobLease = 0, false
}

// JobLeaseRenewed handles an answer of control to a call that was sent at sentAt: this entry may run its stored jobs
// until Limits.JobLease after that time. Once the lease has expired, the call must have checked all stored jobs of this entry: some
// may have been cancelled, or assigned to others, while it was out of contact.
func (d *Dispatcher) JobLeaseRenewed(now, sentAt time.Duration) {
	d.checkJobLease(now)
	d.jobLeaseUntil = max(d.jobLeaseUntil, sentAt+d.limits.JobLease)
	if !d.holdsJobLease && now < d.jobLeaseUntil {
		d.holdsJobLease, d.isCutOff = true, false
		d.note(Note{Kind: JobLeaseAcquired, Age: now - sentAt})
	}
}

// HoldsJobLease reports whether this entry may run its stored jobs.
func (d *Dispatcher) HoldsJobLease(now time.Duration) bool {
	return d.holdsJobLease && now < d.jobLeaseUntil
}

// checkJobLease stops stored jobs once control may have assigned them to other entries.
func (d *Dispatcher) checkJobLease(now time.Duration) {
	if !d.holdsJobLease || now < d.jobLeaseUntil {
		return
	}
	d.holdsJobLease, d.isCutOff = false, true
	d.note(Note{Kind: JobLeaseLost, Age: now - d.jobLeaseUntil + d.limits.JobLease})
	for _, j := range d.sortedJobs() {
		if !j.IsStored {
			continue
		}
		d.stopTasks(j)
		for _, t := range j.tasks {
			if t.state == offered || t.state == started {
				// The sidecar may need long to stop it, and keeps its lease meanwhile.
				t.state = uncertain
				d.waiting = append(d.waiting, t)
			}
		}
	}
}

// isOutstanding reports whether the task's current run may be at a worker, or its end may still be reported.
func (t *task) isOutstanding() bool {
	return t.state == offered || t.state == started || t.state == uncertain && t.job.IsStored
}

// record asks control to record an end, for a worker that keeps the end until that is confirmed.
func (d *Dispatcher) record(w *worker, ended *work.Ended) {
	waiting, known := d.records[ended.RunID]
	if !slices.Contains(waiting, w.id) {
		d.records[ended.RunID] = append(waiting, w.id)
	}
	if !known {
		d.effects.Records = append(d.effects.Records, Record{RunID: ended.RunID, IsFailure: ended.Outcome == work.Failed})
	}
}

// Recorded handles the answer that an end was recorded, and the resulting state of its job. The ends of a job that
// control does not store need no record.
func (d *Dispatcher) Recorded(now time.Duration, runID work.RunID, state StoredState) {
	for _, id := range d.records[runID] {
		if w := d.workers[id]; w != nil && w.isUp {
			confirmed := work.Confirmed{RunID: runID, IsRecorded: state != StoredUnknown}
			w.frame.Confirmed = append(w.frame.Confirmed, confirmed)
		}
	}
	delete(d.records, runID)
	job, _, _ := strings.Cut(runID.Task, ".")
	d.applyStoredState(now, job, state)
}

// RecordRejected handles that control did not record an end: the next report of the end requests the record again.
func (d *Dispatcher) RecordRejected(runID work.RunID) {
	delete(d.records, runID)
}

// applyStoredState ends a stored job that has ended according to control.
func (d *Dispatcher) applyStoredState(now time.Duration, id string, state StoredState) {
	j := d.jobs[id]
	if j == nil || !j.IsStored {
		return
	}
	switch state {
	case StoredCompleted:
		d.stopTasks(j)
		d.answer(now, j, Answer{Result: Completed})
	case StoredFailed:
		d.abandon(now, j, JobFailed, TaskFailed)
	case StoredCancelled:
		d.abandon(now, j, JobCancelled, Requested)
	case StoredUnknown, StoredOpen:
	}
}

// requestProgress asks control whether the end of a task's run is recorded, once for each run, with one request for all
// tasks of the job whose runs must have ended.
func (d *Dispatcher) requestProgress(t *task) {
	if t.run.progressRequest != 0 {
		return
	}
	d.progressRequestNumber++
	d.effects.ProgressRequests = append(d.effects.ProgressRequests, ProgressRequest{Job: t.job.ID, Number: d.progressRequestNumber})
	for _, other := range t.job.tasks {
		if other.state == uncertain && other.run.progressRequest == 0 && other.run.endsBy != 0 && other.run.endsBy <= t.run.endsBy {
			other.run.progressRequest = d.progressRequestNumber
		}
	}
}

// ProgressReported applies what control has recorded of a job. Tasks that are not recorded as done wait for a worker
// again.
func (d *Dispatcher) ProgressReported(now time.Duration, request ProgressRequest, state StoredState, progress []TaskProgress) {
	j := d.jobs[request.Job]
	if j == nil {
		return
	}
	d.applyStoredState(now, request.Job, state)
	recorded := j.progressByTask(progress)
	d.learnCrashes(now, j, progress)
	for _, t := range j.tasks {
		if t.state != uncertain || t.run.progressRequest != request.Number {
			continue
		}
		j.stepOf(t).perWorker[t.run.worker]--
		t.learnFailures(recorded[t])
		switch {
		case recorded[t].IsDone:
			d.finish(t)
		case t.hasAttempts():
			d.requeue(t, now)
		default:
			// The job fails once control has recorded the last failure.
			t.state = exhausted
		}
	}
}

// finish marks a stored task as done.
func (d *Dispatcher) finish(t *task) {
	t.state = finished
	t.job.stepOf(t).left--
	d.waiting = append(d.waiting, t.job.unblock()...)
}

// earlierRunEnded handles the end of an earlier run of a stored job's task, which a sidecar kept while it could not be
// delivered.
func (d *Dispatcher) earlierRunEnded(ended *work.Ended) {
	t := d.tasks[ended.Task]
	if t == nil || !t.job.IsStored || t.state == finished || !ended.AwaitsConfirmation {
		return
	}
	j := t.job
	if ended.Outcome == work.Failed {
		t.addFailure(ended.Run)
		if t.state == waiting && !t.hasAttempts() {
			t.state = exhausted
		}
		return
	}
	if t.state == offered || t.state == started {
		w := d.workers[t.run.worker]
		w.frame.Stops = append(w.frame.Stops, t.id())
	}
	if t.isOutstanding() {
		j.stepOf(t).perWorker[t.run.worker]--
	}
	if t.state != blocked {
		d.finish(t)
	}
}

// Progress returns the state of a stored job that is, or was recently, in progress here. For an open job it also reports
// whether any task has begun.
func (d *Dispatcher) Progress(id string) (state StoredState, hasBegun bool) {
	if j := d.jobs[id]; j != nil && j.IsStored {
		return StoredOpen, j.hasBegun()
	}
	return d.recentlyEnded.jobs[id].state, false
}

// HasStored reports whether a stored job is, or was recently, in progress here.
func (d *Dispatcher) HasStored(id string) bool {
	if j := d.jobs[id]; j != nil {
		return j.IsStored
	}
	_, hasEnded := d.recentlyEnded.jobs[id]
	return hasEnded
}

func (j *job) hasBegun() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state >= started }) || len(j.Progress) > 0
}

// StoredBefore returns the IDs of the stored jobs that arrived before the given time, sorted.
func (d *Dispatcher) StoredBefore(before time.Duration) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		if j := d.jobs[id]; j.IsStored && j.arrivedAt < before {
			ids = append(ids, id)
		}
	}
	return ids
}

// WaitingStored returns the number of stored jobs that have not begun, by queue.
func (d *Dispatcher) WaitingStored() map[string]uint32 {
	waiting := map[string]uint32{}
	for _, j := range d.jobs {
		if j.IsStored && !j.hasBegun() {
			waiting[j.Queue.Name]++
		}
	}
	return waiting
}
