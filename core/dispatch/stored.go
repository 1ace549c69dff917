package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"flamingohall.example/core/work"
)

// CheckAdmission returns the refusal of a submission that can't be served in time now. It answers bursts, as Submit does; a
// stored job has to be judged before it is stored, since what is stored is owed. It answers long absences of control, too:
// nothing can be stored then.
func (d *Dispatcher) CheckAdmission(now time.Duration, s Submission) (Answer, bool) {
	s.Timeout = 0
	j, refusal := d.consider(now, s)
	if refusal == nil && d.isCutOff {
		refusal = &Answer{Result: Refused, Cause: ControlUnavailable, RetryAfter: minRetryAfter}
	}
	if refusal == nil {
		return Answer{}, false
	}
	return j.fill(now, *refusal), true
}

// Accept takes a stored job that this entry owns.
func (d *Dispatcher) Accept(now time.Duration, s Submission) {
	if d.jobs[s.ID] != nil || d.past.knows(s.ID, s.Epoch) {
		// The answer that brought it was held up on its way.
		return
	}
	s.IsStored, s.Timeout = true, 0
	j := newJob(now, s)
	d.estimate(j)
	j.objective = j.arrivedAt + j.span()
	if s.Epoch > 1 {
		d.note(Note{Kind: JobTakenOver, RunID: work.RunID{Task: s.ID, Run: s.Epoch}})
	}
	d.take(j)
}

// Release drops a stored job that is another holder's, or over.
func (d *Dispatcher) Release(now time.Duration, id string) {
	j := d.jobs[id]
	if j == nil || !j.IsStored {
		return
	}
	d.stopTasks(j)
	d.forget(j)
	d.past.add(now, j, StoredUnknown)
	d.note(Note{Kind: JobReleased, RunID: work.RunID{Task: id}})
}

// ReleaseAll drops all stored jobs: control has given them to others.
func (d *Dispatcher) ReleaseAll(now time.Duration) {
	for _, j := range d.sortedJobs() {
		d.Release(now, j.ID)
	}
	d.rightUntil, d.hasRight = 0, false
}

// JobLeaseRenewed takes in that control has answered a call that was sent at a time: this entry may run its stored jobs for
// Limits.Right from then on.
func (d *Dispatcher) JobLeaseRenewed(now, sentAt time.Duration) {
	d.rightUntil = max(d.rightUntil, sentAt+d.limits.JobLease)
	if !d.hasRight && now < d.rightUntil {
		d.hasRight, d.isCutOff = true, false
		d.note(Note{Kind: JobLeaseAcquired, Age: now - sentAt})
	}
}

// checkRight stops stored jobs once control may have given them to others.
func (d *Dispatcher) checkRight(now time.Duration) {
	if !d.hasRight || now < d.rightUntil {
		return
	}
	d.hasRight, d.isCutOff = false, true
	d.note(Note{Kind: JobLeaseLost, Age: now - d.rightUntil + d.limits.JobLease})
	for _, j := range d.sortedJobs() {
		if !j.IsStored {
			continue
		}
		d.stopTasks(j)
		for _, t := range j.tasks {
			if t.state == offered || t.state == started {
				t.state, t.overAt = uncertain, now+d.limits.Grant
				d.waiting = append(d.waiting, t)
			}
		}
	}
}

// isOut reports whether the task's present run may be at a worker, or its end may still be told.
func (t *task) isOut() bool {
	return t.state == offered || t.state == started || t.state == uncertain && t.job.IsStored
}

// record asks control to record an end, for the worker that waits to forget it.
func (d *Dispatcher) record(w *worker, ended *work.Ended) {
	waiting, known := d.records[ended.RunID]
	if !slices.Contains(waiting, w.id) {
		d.records[ended.RunID] = append(waiting, w.id)
	}
	if !known {
		d.effects.Records = append(d.effects.Records, Record{RunID: ended.RunID, IsFailure: ended.Outcome == work.Failed})
	}
}

// Recorded takes in that an end is recorded, and how far its job is now. What control does not keep needs no record.
func (d *Dispatcher) Recorded(now time.Duration, which work.RunID, state StoredState) {
	for _, id := range d.records[which] {
		if w := d.workers[id]; w != nil && w.isUp {
			confirmed := work.Confirmed{RunID: which, IsRecorded: state != StoredUnknown}
			w.frame.Confirmed = append(w.frame.Confirmed, confirmed)
		}
	}
	delete(d.records, which)
	job, _, _ := strings.Cut(which.Task, ".")
	d.stateTold(now, job, state)
}

// stateTold ends a stored job that control tells has ended.
func (d *Dispatcher) stateTold(now time.Duration, id string, state StoredState) {
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

// ask asks control whether the end of a task's run is recorded, once for each run and for all tasks of its job together.
func (d *Dispatcher) ask(t *task) {
	if t.askedBy != 0 {
		return
	}
	d.askNumber++
	d.effects.ProgressRequests = append(d.effects.ProgressRequests, ProgressRequest{Job: t.job.ID, Number: d.askNumber})
	for _, other := range t.job.tasks {
		if other.state == uncertain && other.askedBy == 0 && other.overAt <= t.overAt {
			other.askedBy = d.askNumber
		}
	}
}

// ProgressReported takes in what control has recorded of a job: what is not done there waits for a worker again.
func (d *Dispatcher) ProgressReported(now time.Duration, ask ProgressRequest, state StoredState, progress []TaskProgress) {
	j := d.jobs[ask.Job]
	if j == nil {
		return
	}
	d.stateTold(now, ask.Job, state)
	recorded := j.locate(progress)
	for _, t := range j.tasks {
		if t.state != uncertain || t.askedBy != ask.Number {
			continue
		}
		t.askedBy = 0
		j.stepOf(t).perWorker[t.worker]--
		t.failures = max(t.failures, recorded[t].Failures)
		if recorded[t].IsDone {
			d.finish(t)
			continue
		}
		d.again(t, now)
	}
}

// finish marks a stored task as done.
func (d *Dispatcher) finish(t *task) {
	t.state = finished
	t.job.stepOf(t).left--
	d.waiting = append(d.waiting, t.job.ready()...)
}

// endedBefore takes in the end of an earlier run of a stored job's task, which a sidecar kept while it could not be told.
func (d *Dispatcher) endedBefore(ended *work.Ended) {
	t := d.tasks[ended.Task]
	if t == nil || !t.job.IsStored || t.state == finished || !ended.AwaitsConfirmation {
		return
	}
	j := t.job
	if ended.Outcome == work.Failed {
		if ended.Run > t.countedRun {
			t.failures, t.countedRun = t.failures+1, ended.Run
		}
		return
	}
	if t.state == offered || t.state == started {
		w := d.workers[t.worker]
		w.frame.Stops = append(w.frame.Stops, t.id())
		j.stepOf(t).perWorker[t.worker]--
	}
	if t.state != blocked {
		d.finish(t)
	}
}

// Progress tells how far a stored job is that is, or was, under way here. Of one that is open it tells whether any task
// has begun.
func (d *Dispatcher) Progress(id string) (state StoredState, hasBegun bool) {
	if j := d.jobs[id]; j != nil && j.IsStored {
		return StoredOpen, j.hasBegun()
	}
	return d.past.jobs[id].state, false
}

func (j *job) hasBegun() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state >= started }) || len(j.Progress) > 0
}

// StoredBefore returns the stored jobs that came before a time, in order.
func (d *Dispatcher) StoredBefore(before time.Duration) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		if j := d.jobs[id]; j.IsStored && j.arrivedAt < before {
			ids = append(ids, id)
		}
	}
	return ids
}

// WaitingStored returns how many stored jobs have not begun, by queue.
func (d *Dispatcher) WaitingStored() map[string]uint32 {
	waiting := map[string]uint32{}
	for _, j := range d.jobs {
		if j.IsStored && !j.hasBegun() {
			waiting[j.Queue.Name]++
		}
	}
	return waiting
}
