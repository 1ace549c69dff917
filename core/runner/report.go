package runner

import (
	"time"

	"flamingohall.example/core/work"
)

const (
	// lostAfter is how many reports in a row must lack a run before it counts as gone.
	lostAfter = 2
	// stallFactor and stallSlack bound how long a run without progress may take beyond what is expected of it.
	stallFactor = 3
	stallSlack  = 500 * time.Millisecond
	// stallPause is how long the progress must have stood still.
	stallPause = 700 * time.Millisecond
)

// Reported takes the answer to a Hold in.
func (r *Runner) Reported(now time.Duration, report *Report) {
	w := &r.worker
	if report.Number <= w.reported {
		// A later one was faster.
		return
	}
	if report.Number == w.holdNumber {
		w.holding, w.nextHold = false, now
	}
	switch report.Answer {
	case Accepted:
		r.trust()
	case ConnectionRefused:
		w.nextHold = now + holdPause
		r.leave(now)
		return
	case Fenced:
		r.raiseFence()
		return
	case Unhealthy, WrongIncarnation, Unreadable:
		r.suspect()
		w.nextHold = now + holdPause
		return
	case NoAnswer:
		// One broken connection may be chance; a worker that breaks each of them would be called without end.
		if w.failedHolds++; w.failedHolds > 1 && report.Number == w.holdNumber {
			w.nextHold = now + holdPause
		}
		return
	case Outrun, LeaseExpired, NoCapacity:
		return
	}
	w.reported, w.gone, w.failedHolds = report.Number, false, 0
	r.read(now, report.ClockReading)
	r.takeEnds(now, report)
	r.takeRunning(now, report)
	switch {
	case w.hasNews:
	case len(r.unconfirmed) > 0:
		// The worker lists these ends again at once.
		w.nextHold = now + confirmPause
	case len(r.runs) == 0:
		w.nextHold = now + idleHold
	}
}

// suspect keeps new tasks from a worker that does not answer in time, and gives back what has not started.
func (r *Runner) suspect() {
	if r.worker.suspect {
		return
	}
	r.worker.suspect = true
	r.refuseQueued()
	r.note(Note{Kind: WorkerChanged, Reason: r.describe()})
}

func (r *Runner) trust() {
	if r.worker.suspect {
		r.worker.suspect = false
		r.note(Note{Kind: WorkerChanged, Reason: r.describe()})
	}
}

func (r *Runner) takeEnds(now time.Duration, report *Report) {
	w := &r.worker
	for i := range report.Ended {
		listed := &report.Ended[i]
		if listed.Number <= w.listed {
			continue
		}
		w.listed = listed.Number
		one := r.runs[listed.Task]
		if one == nil || one.Run != listed.Run || one.state == queued {
			r.awaitConfirmation(now, listed, nil)
			continue
		}
		if one.IsStored {
			r.awaitConfirmation(now, listed, one)
		}
		if listed.Checkpoint != "" {
			one.checkpoint = listed.Checkpoint
		}
		outcome := listed.Outcome
		if outcome == work.Stopped && one.outcome != 0 {
			outcome = one.outcome
		}
		if !one.wasStarted {
			one.wasStarted, one.startedAt = true, one.changedAt
		}
		r.end(now, one, outcome)
	}
	r.advanceConfirmed()
}

func (r *Runner) takeRunning(now time.Duration, report *Report) {
	listed := make(map[work.RunID]bool, len(report.Running))
	for i := range report.Running {
		found := &report.Running[i]
		listed[found.RunID] = true
		r.takeProgress(now, found)
	}
	for _, one := range r.sorted() {
		if listed[one.RunID] {
			one.absences = 0
			continue
		}
		r.missing(now, one, report)
	}
}

func (r *Runner) takeProgress(now time.Duration, found *ReportedRun) {
	one := r.runs[found.Task]
	if one == nil || one.Run != found.Run {
		r.note(Note{Kind: RunUnknown, RunID: found.RunID})
		r.effects.Stops = append(r.effects.Stops, Stop{
			Order: Order{Incarnation: r.worker.Incarnation, Fence: r.worker.fence}, RunID: found.RunID,
		})
		return
	}
	if found.Checkpoint != "" {
		one.checkpoint = found.Checkpoint
	}
	if found.Percent != one.percent {
		one.percent, one.progressAt = found.Percent, now
	}
	one.reportedAt = now
	if one.state == ordered {
		r.confirmStart(now, one)
	}
}

// missing handles a run that the report does not list as running. Ends are taken in before.
func (r *Runner) missing(now time.Duration, one *run, report *Report) {
	switch one.state {
	case queued, stopping:
	case ordered:
		// The order is on its way or lost. It is voided, as it could still be carried out when the task runs elsewhere.
		if one.doubtedBy != 0 && report.Number >= one.doubtedBy {
			r.revoke(now, one)
		}
	case running:
		if report.Number < one.confirmedBy {
			return
		}
		one.absences++
		if one.absences >= lostAfter {
			r.lose(now, one)
		}
	case stopped:
		if report.Number < one.confirmedBy {
			return
		}
		if one.wasStarted {
			r.end(now, one, one.outcome)
			return
		}
		// The order was never carried out, and the stop keeps it from being so later.
		r.turnDown(one, work.Unanswered)
	}
}

// stopStalled stops runs whose progress stands still well beyond what is expected of them.
func (r *Runner) stopStalled(now time.Duration, one *run) {
	expected := time.Duration(one.ExpectedMS) * time.Millisecond
	if one.state != running || one.ExpectedMS == 0 || now-one.startedAt < stallFactor*expected+stallSlack {
		return
	}
	if now-one.progressAt < stallPause || r.worker.silence > stallPause {
		return
	}
	r.note(Note{Kind: RunStalled, RunID: one.RunID, Session: one.session})
	r.stop(now, one, work.Stalled)
}
