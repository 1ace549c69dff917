package runner

import (
	"cmp"
	"time"

	"flamingohall.example/core/work"
)

const (
	// lostAfterReports is the number of consecutive reports without a run after which it counts as lost.
	lostAfterReports = 2
	// A run may be stopped as stalled once it has taken stallFactor times its expected run time plus stallSlack.
	stallFactor = 3
	stallSlack  = 500 * time.Millisecond
	// stopTime is how long a worker may take to end a run after it has answered the Stop, with a margin.
	stopTime = 60 * time.Millisecond
	// minStall is the least time without progress after which a run counts as stalled.
	minStall = 700 * time.Millisecond
)

// Reported handles the answer to a Hold.
func (r *Runner) Reported(now time.Duration, report *Report) {
	w := &r.worker
	w.openHolds = max(0, w.openHolds-1)
	r.fenceOffUnanswered(now, report.Answer)
	if report.Number <= w.answeredHold {
		// The answer to a later Hold has overtaken this one.
		return
	}
	if report.Number == w.holdNumber {
		w.holdPending, w.nextHold = false, now
	}
	w.failure = cmp.Or(report.Failure, w.failure)
	r.answered(report)
	if report.Answer != Accepted {
		r.notAccepted(now, report)
		return
	}
	r.clearSuspect()
	w.answeredHold, w.failedHolds, w.failure, w.otherIncarnation = report.Number, 0, "", ""
	w.noteForgotten(report.Number)
	r.updateClock(now, report.ClockReading)
	r.applyEnds(now, report)
	r.applyRunning(now, report)
	switch {
	case w.confirmPending:
	case w.unorderedRuns > 0:
		// No task starts before these runs have ended.
		w.nextHold = now + confirmInterval
	case len(r.unconfirmed) > 0:
		// A Hold sent now would return at once, as the worker reports unconfirmed ends again.
		w.nextHold = now + confirmInterval
	case len(r.runs) > 0:
	case r.watches(now):
		// The next Hold waits at the worker, if it keeps to the wait of the last one.
		w.nextHold = max(now, w.holdSentAt+w.holdWait)
	default:
		w.nextHold = now + idleHoldInterval
	}
}

// notAccepted handles a Hold that the worker has not answered, or did not carry out.
func (r *Runner) notAccepted(now time.Duration, report *Report) {
	w := &r.worker
	switch report.Answer {
	case ConnectionRefused:
		r.holdRefused(now)
	case Fenced:
		if report.Number == w.holdNumber {
			r.fenced(w.holdFence)
		}
	case WrongIncarnation:
		r.otherAnswered(now, report)
		r.suspect()
	case Unhealthy, Unreadable:
		r.suspect()
		w.nextHold = now + holdRetryDelay
	case NoAnswer:
		// A single broken connection is retried at once. Without a delay after the second, a worker that breaks every
		// connection would be called in a busy loop. The end of a worker breaks all of its connections at the same moment,
		// so only the last Hold counts: the others must not delay the call that shows the end.
		if report.Number != w.holdNumber {
			return
		}
		if w.failedHolds++; w.failedHolds > 1 {
			w.nextHold = now + holdRetryDelay
		}
	case Accepted, Superseded, LeaseExpired, NoCapacity:
	}
}

// otherAnswered handles the answer of another incarnation than the known one to a Hold. Orders that are on their way must not be carried out
// by it, and no run that it lists is one of this process: it was started by a late order, or by a predecessor of this process.
func (r *Runner) otherAnswered(now time.Duration, report *Report) {
	w := &r.worker
	w.nextHold = now + holdRetryDelay
	note := Note{Kind: OtherIncarnationAnswered, Reason: report.AnsweredBy, Fence: w.holdFence}
	if report.AnsweredBy != w.otherIncarnation {
		w.otherIncarnation, w.nextHold = report.AnsweredBy, now
		r.fenceOff(now)
		for i := range report.Running {
			note.Tasks = append(note.Tasks, report.Running[i].Task)
		}
		r.note(note)
	}
	for i := range report.Running {
		r.effects.Stops = append(r.effects.Stops, Stop{
			Order: Order{Incarnation: report.AnsweredBy, Fence: w.fence}, RunID: report.Running[i].RunID,
		})
	}
}

// suspect stops sending new tasks to a worker that does not answer in time, and refuses the queued offers.
func (r *Runner) suspect() {
	if r.worker.suspect {
		return
	}
	r.worker.suspect = true
	r.refuseQueued()
	r.note(Note{Kind: WorkerChanged, Reason: r.describe()})
}

func (r *Runner) clearSuspect() {
	if r.worker.suspect {
		r.worker.suspect = false
		r.note(Note{Kind: WorkerChanged, Reason: r.describe()})
	}
}

func (r *Runner) applyEnds(now time.Duration, report *Report) {
	w := &r.worker
	for i := range report.Ended {
		reportedEnd := &report.Ended[i]
		if reportedEnd.Number <= w.reportedEnd {
			continue
		}
		w.reportedEnd = reportedEnd.Number
		run := r.runs[reportedEnd.Task]
		if run == nil || run.Run != reportedEnd.Run || run.state == queued {
			r.awaitConfirmation(now, reportedEnd, nil)
			continue
		}
		if run.IsStored {
			r.awaitConfirmation(now, reportedEnd, run)
		}
		if reportedEnd.Checkpoint != "" {
			run.checkpoint = reportedEnd.Checkpoint
		}
		outcome := reportedEnd.Outcome
		if outcome == work.Stopped && run.outcome != 0 {
			outcome = run.outcome
		}
		if !run.wasStarted {
			run.wasStarted, run.startedAt = true, run.changedAt
		}
		r.end(now, run, outcome)
	}
	r.advanceConfirmed()
}

func (r *Runner) applyRunning(now time.Duration, report *Report) {
	r.worker.unorderedRuns = 0
	reported := make(map[work.RunID]bool, len(report.Running))
	for i := range report.Running {
		reportedRun := &report.Running[i]
		reported[reportedRun.RunID] = true
		r.applyProgress(now, reportedRun)
	}
	for _, run := range r.sorted() {
		switch {
		case reported[run.RunID]:
			run.missedReports = 0
		case !report.IsPartial:
			r.handleMissing(now, run, report)
		}
	}
}

func (r *Runner) applyProgress(now time.Duration, reported *ReportedRun) {
	run := r.runs[reported.Task]
	if run == nil || run.Run != reported.Run {
		r.worker.unorderedRuns++
		r.note(Note{Kind: RunUnknown, RunID: reported.RunID})
		r.effects.Stops = append(r.effects.Stops, Stop{
			Order: Order{Incarnation: r.worker.Incarnation, Fence: r.worker.fence}, RunID: reported.RunID,
		})
		return
	}
	if reported.Checkpoint != "" {
		run.checkpoint = reported.Checkpoint
	}
	if reported.Percent != run.percent {
		run.percent, run.progressAt = reported.Percent, now
	}
	run.reportedAt = now
	if run.state == ordered {
		r.confirmStart(now, run)
	}
}

// handleMissing handles a run that the report does not list as running. It is called after the ends were applied.
func (r *Runner) handleMissing(now time.Duration, run *taskRun, report *Report) {
	switch run.state {
	case queued, stopping:
	case ordered:
		// The Start is delayed or lost. It is revoked, because it could still be carried out while the task runs
		// elsewhere.
		if run.startOverdueHold != 0 && report.Number >= run.startOverdueHold {
			r.revoke(now, run)
		}
	case running:
		if report.Number < run.confirmingHold {
			return
		}
		run.missedReports++
		if run.missedReports >= lostAfterReports {
			r.lose(now, run, notReported)
		}
	case stopped:
		// The worker may list a run that it stops neither as running nor as ended until it has ended. That holds for a run whose start
		// has no answer, too: it may have been carried out.
		if w := &r.worker; report.Number != w.holdNumber || w.holdSentAt < run.changedAt+stopTime {
			return
		}
		if run.wasStarted {
			r.end(now, run, run.outcome)
			return
		}
		// Whether the Start was carried out or not, nothing of it is left, and the Stop prevents it from being carried out later.
		r.refuseRun(run, work.Unanswered)
	}
}

// stopStalled stops a run that has far exceeded its expected run time and makes no progress.
func (r *Runner) stopStalled(now time.Duration, run *taskRun) {
	expected := time.Duration(run.ExpectedMS) * time.Millisecond
	if run.state != running || run.ExpectedMS == 0 || now-run.startedAt < stallFactor*expected+stallSlack {
		return
	}
	if now-run.progressAt < minStall || r.worker.silence > minStall {
		return
	}
	r.note(Note{Kind: RunStalled, RunID: run.RunID, Session: run.session})
	r.stop(now, run, work.Stalled)
}
