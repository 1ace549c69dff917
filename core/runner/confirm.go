package runner

import (
	"slices"
	"time"

	"flamingohall.example/core/work"
)

const (
	// confirmPause is the time between two holds while ends wait to be confirmed: about as long as that takes.
	confirmPause = 10 * time.Millisecond
	// retellAfter is how long an end may wait for its confirmation before it is told again.
	retellAfter = 500 * time.Millisecond
)

// unconfirmedEnd is an end that the worker must not forget yet: it is to be recorded first.
//
// An entry that hears nothing of a run takes it, when the grant is over, for one that did not end, unless control has a
// record of the end. So an end that is recorded later than that must never count: the worker forgets it only once its
// lease has lapsed, which tells for certain that the end was not taken note of in time.
type unconfirmedEnd struct {
	number uint64
	work.Ended
	// offeredBy is the session that offered the run, nil for a run of a predecessor.
	offeredBy *session
	session   Session
	// listedAt is when the worker told the end, toldAt when it was last told to entries.
	listedAt time.Duration
	toldAt   time.Duration
	// toldAll is true once it was told to every entry.
	toldAll bool
	// isLate means that the end was recorded too late to count.
	isLate bool
}

// awaitConfirmation keeps an end until an entry confirms it. Only ends that tell of the task itself matter to others. Of a
// run that is not known here, one that a predecessor ordered, nobody can tell whether it has to be recorded.
func (r *Runner) awaitConfirmation(now time.Duration, listed *ReportedEnd, one *run) {
	if listed.Outcome != work.Done && listed.Outcome != work.Failed {
		return
	}
	kept := unconfirmedEnd{number: listed.Number, listedAt: now, Ended: work.Ended{
		RunID: listed.RunID, Outcome: listed.Outcome, Checkpoint: listed.Checkpoint, AwaitsConfirmation: true,
	}}
	if one != nil {
		// The end of the run tells its own session.
		kept.offeredBy, kept.session, kept.toldAt = one.offeredBy, one.session, now
	}
	r.unconfirmed = append(r.unconfirmed, kept)
}

// confirm takes in that an end is recorded, or that nobody needs it.
func (r *Runner) confirm(now time.Duration, confirmed work.Confirmed) {
	r.unconfirmed = slices.DeleteFunc(r.unconfirmed, func(kept unconfirmedEnd) bool {
		return kept.RunID == confirmed.RunID && (!confirmed.IsRecorded || now < r.countsUntil(&kept))
	})
	for i := range r.unconfirmed {
		if r.unconfirmed[i].RunID == confirmed.RunID {
			r.unconfirmed[i].isLate = true
		}
	}
	r.advanceConfirmed()
}

// countsUntil returns until when an end has to be confirmed for nobody to have started the task again.
func (r *Runner) countsUntil(kept *unconfirmedEnd) time.Duration {
	if kept.offeredBy == nil {
		return 0
	}
	until := kept.listedAt + r.limits.Grant
	if r.sessions[kept.session] == nil {
		until = min(until, kept.offeredBy.answeredAt+r.limits.Grant)
	}
	return until
}

// needsLapse reports whether the lease has to lapse: the worker gets no new tasks then, and no lease once nothing runs.
func (r *Runner) needsLapse() bool {
	return slices.ContainsFunc(r.unconfirmed, func(kept unconfirmedEnd) bool { return kept.isLate })
}

// dropLate lets the worker forget late ends after its lease has lapsed.
func (r *Runner) dropLate(now time.Duration) {
	if !r.needsLapse() || !r.lapsed(now) {
		return
	}
	r.unconfirmed = slices.DeleteFunc(r.unconfirmed, func(kept unconfirmedEnd) bool { return kept.isLate })
	r.advanceConfirmed()
}

// advanceConfirmed lets the worker forget the ends before the first one that is not confirmed.
func (r *Runner) advanceConfirmed() {
	w := &r.worker
	through := w.listed
	for i := range r.unconfirmed {
		through = min(through, r.unconfirmed[i].number-1)
	}
	if through > w.confirmed {
		w.confirmed, w.hasNews, w.nextHold = through, true, 0
	}
}

// tellUnconfirmed tells ends whose session is over, or that nobody has confirmed in time, to every entry: any of them can
// have them recorded, and some may not reach control.
func (r *Runner) tellUnconfirmed(now time.Duration) {
	for i := range r.unconfirmed {
		kept := &r.unconfirmed[i]
		isTold := kept.toldAll || r.sessions[kept.session] != nil
		if kept.isLate || isTold && now < kept.toldAt+retellAfter {
			continue
		}
		for _, s := range r.inOrder() {
			if s.hasAnswered {
				kept.toldAll, kept.toldAt = true, now
				s.frame.Ended = append(s.frame.Ended, kept.Ended)
			}
		}
	}
}
