package runner

import (
	"slices"
	"time"

	"flamingohall.example/core/work"
)

const (
	// confirmInterval is the time between two holds while ends await confirmation: about as long as a confirmation takes.
	confirmInterval = 10 * time.Millisecond
	// resendAfter is how long an end may await its confirmation before it is sent again.
	resendAfter = 500 * time.Millisecond
)

// unconfirmedEnd is an end that the worker must not forget yet, because it has to be recorded by control first.
//
// An entry that receives nothing about a run assumes, after its grant has ended, that the run did not complete, unless
// control has a record of the end. An end recorded later than that must not count. The worker therefore forgets such an
// end only after its lease has expired: an end that is unconfirmed by then was certainly not recorded in time.
type unconfirmedEnd struct {
	number uint64
	work.Ended
	// offeredBy is the session that offered the run, nil for a run that a predecessor of this process ordered.
	offeredBy *session
	session   Session
	// reportedAt is when the worker reported the end, sentAt when it was last sent to entries.
	reportedAt time.Duration
	sentAt     time.Duration
	// sentToAll is true once the end was sent to every entry.
	sentToAll bool
	// isLate means that the end was recorded too late to count.
	isLate bool
}

// awaitConfirmation keeps an end until an entry confirms it. Only the outcomes Done and Failed are results of the task
// itself and matter to others. run is nil for a run that a predecessor of this process ordered: whether its end has to
// be recorded is unknown here, so it is kept as well.
func (r *Runner) awaitConfirmation(now time.Duration, reportedEnd *ReportedEnd, run *taskRun) {
	if reportedEnd.Outcome != work.Done && reportedEnd.Outcome != work.Failed {
		return
	}
	pending := unconfirmedEnd{number: reportedEnd.Number, reportedAt: now, Ended: work.Ended{
		RunID: reportedEnd.RunID, Outcome: reportedEnd.Outcome, Checkpoint: reportedEnd.Checkpoint, AwaitsConfirmation: true,
	}}
	if run != nil {
		// The session that offered the run receives the end through Runner.end.
		pending.offeredBy, pending.session, pending.sentAt = run.offeredBy, run.session, now
	}
	r.unconfirmed = append(r.unconfirmed, pending)
}

// confirm handles the message that an end is recorded or need not be. An end recorded too late is kept and marked late.
func (r *Runner) confirm(now time.Duration, confirmed work.Confirmed) {
	r.unconfirmed = slices.DeleteFunc(r.unconfirmed, func(pending unconfirmedEnd) bool {
		return pending.RunID == confirmed.RunID && (!confirmed.IsRecorded || now < r.confirmDeadline(&pending))
	})
	for i := range r.unconfirmed {
		if r.unconfirmed[i].RunID == confirmed.RunID {
			r.unconfirmed[i].isLate = true
		}
	}
	r.advanceConfirmed()
}

// confirmDeadline returns the time before which an end must be confirmed to count. After it another entry may have
// started the task again. It is 0 for a run that a predecessor of this process ordered, whose end is always late.
func (r *Runner) confirmDeadline(pending *unconfirmedEnd) time.Duration {
	if pending.offeredBy == nil {
		return 0
	}
	until := pending.reportedAt + r.limits.Grant
	if r.sessions[pending.session] == nil {
		until = min(until, pending.offeredBy.answeredAt+r.limits.Grant)
	}
	return until
}

// leaseMustExpire reports whether a late end requires the lease to expire. Until it has, the worker gets no new tasks,
// and no lease renewal once nothing is running.
func (r *Runner) leaseMustExpire() bool {
	return slices.ContainsFunc(r.unconfirmed, func(pending unconfirmedEnd) bool { return pending.isLate })
}

// dropLate lets the worker forget late ends after its lease has expired.
func (r *Runner) dropLate(now time.Duration) {
	if !r.leaseMustExpire() || !r.leaseExpired(now) {
		return
	}
	r.unconfirmed = slices.DeleteFunc(r.unconfirmed, func(pending unconfirmedEnd) bool { return pending.isLate })
	r.advanceConfirmed()
}

// advanceConfirmed lets the worker forget all ends before the first unconfirmed one.
func (r *Runner) advanceConfirmed() {
	w := &r.worker
	through := w.reportedEnd
	for i := range r.unconfirmed {
		through = min(through, r.unconfirmed[i].number-1)
	}
	if through > w.confirmed {
		w.confirmed, w.confirmPending, w.nextHold = through, true, 0
	}
}

// sendUnconfirmed sends ends whose session is over, or that were not confirmed in time, to every entry: any entry can
// have them recorded, and some may be unable to reach control.
func (r *Runner) sendUnconfirmed(now time.Duration) {
	for i := range r.unconfirmed {
		pending := &r.unconfirmed[i]
		sent := pending.sentToAll || r.sessions[pending.session] != nil
		if pending.isLate || sent && now < pending.sentAt+resendAfter {
			continue
		}
		for _, s := range r.sessionsInOrder() {
			if s.hasAnswered {
				pending.sentToAll, pending.sentAt = true, now
				s.frame.Ended = append(s.frame.Ended, pending.Ended)
			}
		}
	}
}

// confirmNow returns the number that the Hold being sent carries. The ends of an incarnation are numbered from 1: to one that has taken the
// worker's place unnoticed, the number would confirm ends that it has yet to report. So it is sent until a Hold with it is answered, and not
// while the worker may have ended.
func (w *worker) confirmNow() uint64 {
	if w.confirmed <= w.forgotten || w.failedHolds > 0 || w.suspicion.stands || w.otherIncarnation != "" {
		w.sentConfirmed = 0
		return 0
	}
	if w.sentConfirmed != w.confirmed {
		w.sentConfirmed, w.sentSince = w.confirmed, w.holdNumber
	}
	return w.confirmed
}

// noteForgotten handles that the worker has answered the Hold with a number.
func (w *worker) noteForgotten(hold uint64) {
	if w.sentConfirmed != 0 && hold >= w.sentSince {
		w.forgotten = w.sentConfirmed
	}
	if w.confirmed > max(w.forgotten, w.sentConfirmed) {
		w.confirmPending = true
	}
}
