package dispatch

import (
	"time"

	"flamingohall.example/core/work"
)

// StoreAnswer is control's answer to a call that stores a job, if it names the caller as the job's holder and the job is open.
type StoreAnswer struct {
	// IsNew means that this call has stored the job. Otherwise control had it before.
	IsNew bool
	// SentAt is when the call was sent.
	SentAt time.Duration
}

// StoreAnswered takes a job that this entry holds according to the answer to a call that stores it. It reports whether the job is not
// taken, and has to be requested from control with its epoch and progress.
//
// Only the call that has stored a job tells its epoch, the first, and its progress, none. A job that control had before may have been
// assigned to this entry since, after an earlier holder had run part of it. If the call was sent longer ago than a job lease lasts, this
// process was suspended, and the job may have been cancelled since.
func (d *Dispatcher) StoreAnswered(now time.Duration, s Submission, answer StoreAnswer) (needsAssignment bool) {
	if !answer.IsNew || now-answer.SentAt >= d.limits.JobLease {
		return true
	}
	s.Epoch = 1
	d.Accept(now, s)
	return false
}

// Accept takes a stored job that control has assigned to this entry, with the epoch and the progress that control names.
//
// A job that is known is left as it is. Control raises a job's epoch only when it retires the holder, which drops all its jobs before it
// takes a new name, so that an answer that still finds the job here has the same epoch, or was overtaken.
func (d *Dispatcher) Accept(now time.Duration, s Submission) {
	if known := d.jobs[s.ID]; known != nil && known.Epoch != s.Epoch {
		d.note(Note{Kind: AssignmentIgnored, RunID: work.RunID{Task: s.ID, Run: known.Epoch}, Count: int(s.Epoch)})
	}
	if d.jobs[s.ID] != nil || d.recentlyEnded.covers(s.ID, s.Epoch) {
		// The answer was delayed, and the job is already known or has ended here.
		return
	}
	s.IsStored, s.Timeout = true, 0
	j := newJob(now, s)
	d.estimate(j)
	j.objective = j.arrivedAt + j.span()
	if s.Epoch > 1 {
		d.note(Note{Kind: JobTakenOver, RunID: work.RunID{Task: s.ID, Run: s.Epoch}})
	}
	d.learnCrashes(now, j, s.Progress)
	d.add(j)
}
