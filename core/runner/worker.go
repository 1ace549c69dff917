package runner

import (
	"slices"
	"time"

	"flamingohall.example/core/work"
)

const (
	// clockDriftRatio is how much slower the worker's clock may run than this machine's: 2%, plus a margin for rounding.
	clockDriftRatio = 0.03
	// idleHoldInterval is the time between two holds while nothing runs. They keep the clock reading recent.
	idleHoldInterval = time.Second
	// holdWait is how long the worker may delay the answer to a Hold. It bounds how long an unresponsive worker goes
	// undetected, and is well below the lease, which each Hold renews.
	holdWait = 100 * time.Millisecond
	// holdRepeatAfter is how long a Hold may wait before another one is sent beside it, over a new connection: the answer may
	// be lost, and with it the ends that it reports. Both answers return with the next end.
	holdRepeatAfter = 35 * time.Millisecond
	// suspectAfter is how long, beyond holdWait, the worker may be silent before it gets no more tasks.
	suspectAfter = 200 * time.Millisecond
	// holdRetryDelay is the delay after a failed Hold, refusedHoldDelay that after one whose connection was refused.
	holdRetryDelay   = 50 * time.Millisecond
	refusedHoldDelay = 25 * time.Millisecond
	// fenceStep is added when the worker has seen a higher fence. Fences start at a Unix time in milliseconds; the step
	// is larger than any clock error.
	fenceStep = 1 << 33
	// unhealthyBackoff is how long a worker gets no new tasks after it has answered that it is unhealthy.
	unhealthyBackoff = 500 * time.Millisecond
)

// worker is the known state of the worker.
type worker struct {
	work.Worker
	known   bool
	leaving bool
	// suspicion is that the worker has ended.
	suspicion suspicion
	// openHolds is the number of Holds without an answer.
	openHolds int
	sequence  uint64
	startedAt int64
	fence     uint64
	// clockMS is the worker's clock as read at clockAt; clockAt is 0 before the first reading.
	clockMS int64
	clockAt time.Duration
	// leaseEnd is the latest end of a lease that was sent to the worker, on this machine's clock.
	leaseEnd time.Duration
	// confirmed is the number of the last end that the worker may forget, reportedEnd that of the last end handled.
	confirmed   uint64
	reportedEnd uint64
	// forgotten is the number of the last end that the worker has forgotten, by its answers. sentConfirmed is the number that Holds carry for
	// it to forget, 0 for none; sentSince is the first Hold that carries it.
	forgotten     uint64
	sentConfirmed uint64
	sentSince     uint64
	// holdNumber is the number of the last Hold; holdPending is true while its answer is awaited.
	holdNumber  uint64
	holdPending bool
	holdSentAt  time.Duration
	// holdFence is the fence of the last Hold.
	holdFence uint64
	holdWait  time.Duration
	nextHold  time.Duration
	// answeredHold is the number of the last Hold whose answer was handled.
	answeredHold uint64
	// failure is the error of the last Hold without an answer since the worker last answered one.
	failure string
	// unansweredSince is the sending time of the first Hold since the worker last answered any call; 0 if there is none.
	unansweredSince time.Duration
	// suspect is true while an answer is overdue.
	suspect bool
	// otherIncarnation is the last one that answered in place of this one.
	otherIncarnation string
	// confirmPending is true while a new value of confirmed has not been sent to the worker.
	confirmPending bool
	// failedHolds counts consecutive holds without an answer.
	failedHolds int
	// backoffUntil is when an unhealthy worker gets new tasks again.
	backoffUntil time.Duration
	// lapsedRuns are those that ended with the lease of a worker that had not answered. It ended under them if it does not answer again.
	lapsedRuns []work.CrashedRun
	// unorderedRuns is the number of runs in the last report that this process did not order. Their resources are unknown.
	unorderedRuns int
	// heardAt is when the worker last answered; silence is the time since then at the last Advance.
	heardAt time.Duration
	silence time.Duration
}

// accepts reports whether new tasks may be offered.
func (w *worker) accepts() bool {
	return w.known && !w.leaving && !w.suspicion.stands && !w.suspect && w.clockAt != 0
}

// Announced handles an announcement of the worker.
func (r *Runner) Announced(now time.Duration, announced Announcement) {
	w := &r.worker
	if w.known && w.Incarnation != announced.Incarnation {
		r.announcedOther(now, announced)
		return
	}
	if w.known && announced.Sequence < w.sequence {
		return
	}
	r.apply(now, announced)
}

// apply makes an announcement that comes from the worker the description of the worker.
func (r *Runner) apply(now time.Duration, announced Announcement) {
	w := &r.worker
	isNew := !w.known || w.Incarnation != announced.Incarnation
	changed := isNew || w.leaving != announced.Leaving
	if isNew {
		r.reset(now, announced)
	} else if !w.isDescribedBy(&announced.Worker) {
		changed = true
		r.describeAnew(announced.Worker)
	}
	w.sequence, w.leaving = announced.Sequence, announced.Leaving
	r.setCold(now, &announced)
	if w.leaving {
		r.refuseQueued()
	}
	if changed {
		r.note(Note{Kind: WorkerChanged, Reason: r.describe()})
		record := announced
		record.Sequence, record.ColdMS = 0, 0
		r.effects.Record = &record
	}
}

// isDescribedBy reports whether a description of the same incarnation changes nothing.
func (w *worker) isDescribedBy(described *work.Worker) bool {
	return w.Pool == described.Pool && w.Capacity == described.Capacity && slices.Equal(w.Labels, described.Labels)
}

// describeAnew applies a change within an incarnation: a worker's capacity may shrink and grow while it runs tasks. Running
// tasks keep their resources; nothing starts until they fit again. Queued offers that no longer fit at all are refused.
func (r *Runner) describeAnew(described work.Worker) {
	r.worker.Worker = described
	for _, s := range r.sessions {
		s.workerSent = false
	}
	for _, run := range r.sorted() {
		if run.state == queued && !run.Needs.FitsIn(described.Capacity) {
			r.refuseRun(run, work.TooLarge)
		}
	}
}

// Recover restores the worker's last announcement to a predecessor of this process. It has no effect once the worker has
// announced itself, and the worker gets tasks only after it has answered a call that names its incarnation. Without it,
// workers would be idle after a restart of many sidecars until their next announcements.
func (r *Runner) Recover(now time.Duration, announced Announcement) {
	if r.worker.known {
		return
	}
	r.reset(now, announced)
	r.worker.leaving = announced.Leaving
	// What the predecessor has given up isn't known here.
	r.lateUntil = now + lateOrderAge
	r.note(Note{Kind: WorkerChanged, Reason: "recalled"})
}

func (r *Runner) describe() string {
	switch {
	case r.worker.suspicion.stands:
		return "gone"
	case r.worker.leaving:
		return "leaving"
	case r.worker.suspect:
		return "silent"
	}
	return "ready"
}

// reset starts a new incarnation of the worker. All runs of the previous one are lost. A Start that has no answer yet may be carried
// out by the new one, if it has the ID of the old one, and is revoked there.
func (r *Runner) reset(now time.Duration, announced Announcement) {
	r.reportCrash(now, workerReplaced)
	var leaseEnd time.Duration
	for _, run := range r.sorted() {
		if run.usesCapacity() && !run.wasStarted {
			r.revokeAgain(now, run)
			leaseEnd = now + r.limits.Lease
		} else {
			r.lose(now, run, workerReplaced)
		}
	}
	fence := r.worker.fence
	if r.worker.known {
		fence++
	}
	r.worker = worker{
		Worker: announced.Worker, known: true, startedAt: announced.StartedAt, fence: fence, heardAt: now, leaseEnd: leaseEnd,
		holdNumber: r.worker.holdNumber, answeredHold: r.worker.holdNumber, openHolds: r.worker.openHolds,
	}
	r.runTimeRatio, r.speed, r.unconfirmed = runTimeRatio{}, measuredSpeed{}, nil
	for _, s := range r.sessions {
		s.workerSent = false
	}
}

// Left handles the worker's notice that it is leaving. What it is still running is learned from its reports.
func (r *Runner) Left(now time.Duration) {
	if r.worker.known && r.worker.leaving {
		r.refuseQueued()
		r.worker.nextHold = now
	}
}

// updateClock stores a reading of the worker's clock, which also shows that the worker has answered.
func (r *Runner) updateClock(now time.Duration, reading ClockReading) {
	if reading.ClockMS == 0 {
		return
	}
	r.worker.clockMS, r.worker.clockAt = reading.ClockMS, now
	r.worker.heardAt, r.worker.unansweredSince = now, 0
}

// lease returns the end of the next lease, on this machine's clock: no later than the grant of any entry that has a run or may
// get one. Entries without runs count because a lease never shortens, and a task of theirs may start while it lasts.
func (r *Runner) lease(now time.Duration) time.Duration {
	end := now + r.limits.Lease
	for _, s := range r.sessions {
		end = min(end, s.answeredAt+r.limits.Grant)
	}
	for _, run := range r.runs {
		if run.usesCapacity() {
			end = min(end, run.offeredBy.answeredAt+r.limits.Grant)
		}
	}
	if r.hasOverdueStop(now) {
		end = min(end, r.worker.leaseEnd)
	}
	return end
}

// hasOverdueStop reports whether the worker has not answered the Stop of a stored job's run in time. The lease is not renewed then, so that the run is
// over within the entry's grant from the time at which it was to be stopped: control transfers a stored job after that time.
func (r *Runner) hasOverdueStop(now time.Duration) bool {
	for _, run := range r.runs {
		if run.IsStored && run.state == stopping && now-run.changedAt > StopTimeout {
			return true
		}
	}
	return false
}

// order returns the common fields of a call and records the lease that it grants.
func (r *Runner) order(now time.Duration) Order {
	w := &r.worker
	order := Order{Incarnation: w.Incarnation, Fence: w.fence}
	end := r.lease(now)
	if w.clockAt == 0 || end <= now || w.suspect || w.suspicion.stands || (r.leaseMustExpire() || w.unorderedRuns > 0) && !r.isBusy() {
		// The runs of a worker that does not answer, and those that a predecessor of this process ordered, must end at a known
		// time, so their lease is not renewed.
		return order
	}
	order.LeaseUntilMS = w.clockMS + (end - w.clockAt).Milliseconds()
	w.leaseEnd = max(w.leaseEnd, end)
	return order
}

// leaseExpired reports whether the lease of all runs at the worker has certainly ended.
func (r *Runner) leaseExpired(now time.Duration) bool {
	return now > r.worker.leaseEnd+r.drift()
}

// drift returns how much later than by this machine's clock a lease may end. The worker's clock was read at most idleHoldInterval
// before the lease was granted.
func (r *Runner) drift() time.Duration {
	return time.Duration(clockDriftRatio * float64(r.limits.Lease+idleHoldInterval))
}

// Started handles the answer to a Start that was sent to the named incarnation. One that was sent to an earlier incarnation says nothing
// of the clock and the health of the worker; that it was accepted shows that the run was started.
func (r *Runner) Started(now time.Duration, incarnation string, id work.RunID, answer Answer, reading ClockReading) {
	isCurrent := incarnation == r.worker.Incarnation
	if isCurrent {
		r.updateClock(now, reading)
	}
	r.fenceOffUnanswered(now, answer)
	run := r.runs[id.Task]
	if run == nil || run.Run != id.Run {
		return
	}
	if run.state != ordered || !isCurrent {
		r.noteLateStart(now, run, answer)
		return
	}
	switch answer {
	case Accepted:
		r.confirmStart(now, run)
	case NoAnswer:
		r.revoke(now, run)
	case NoCapacity, LeaseExpired, Fenced:
		if answer == Fenced {
			r.fenced(run.orderFence)
		}
		run.state, run.retryAt = queued, now+holdRetryDelay/10
		r.worker.nextHold = now
	case Unhealthy:
		r.worker.backoffUntil = now + unhealthyBackoff
		r.refuseRun(run, work.Unavailable)
	case ConnectionRefused:
		// Nothing was sent. Whether the worker has ended is decided by a Hold, which may find an open connection.
		r.refuseRun(run, work.Unavailable)
		r.worker.backoffUntil, r.worker.nextHold = now+refusedHoldDelay, now
	case WrongIncarnation:
		r.refuseRun(run, work.Unavailable)
	case Superseded:
		r.refuseRun(run, work.Superseded)
	case Unreadable:
		r.refuseRun(run, work.Malformed)
	}
}

// noteLateStart handles an answer to a Start that arrives after the run's Stop was sent: the Stop may have to end a run, and not
// only to prevent one.
func (r *Runner) noteLateStart(now time.Duration, run *taskRun, answer Answer) {
	if answer == Accepted && !run.wasStarted && (run.state == stopping || run.state == stopped) {
		run.wasStarted, run.startedAt, run.progressAt = true, now, now
	}
}

// revokeAgain stops a run whose start was not confirmed at the incarnation that the worker has now.
func (r *Runner) revokeAgain(now time.Duration, run *taskRun) {
	if run.state == ordered {
		r.revoke(now, run)
		return
	}
	run.state, run.changedAt, run.retryAt = stopping, now, now
}

// revoke stops a run whose start was not confirmed.
func (r *Runner) revoke(now time.Duration, run *taskRun) {
	r.note(Note{Kind: RunRevoked, RunID: run.RunID, Session: run.session})
	r.stop(now, run, work.Lost)
}

func (r *Runner) refuseRun(run *taskRun, reason work.Reason) {
	r.drop(run)
	r.refuse(r.sessions[run.session], run.session, run.RunID, reason)
}

func (r *Runner) confirmStart(now time.Duration, run *taskRun) {
	run.state, run.changedAt = running, now
	if !run.wasStarted {
		run.wasStarted, run.startedAt, run.progressAt = true, now, now
		if s := r.sessions[run.session]; s != nil {
			s.frame.Started = append(s.frame.Started, run.RunID)
		}
	}
	run.confirmingHold = r.worker.holdNumber + 1
}

// stop ends a run in any state. A queued one is refused at once.
func (r *Runner) stop(now time.Duration, run *taskRun, outcome work.Outcome) {
	switch run.state {
	case queued:
		r.refuseRun(run, work.Cancelled)
		return
	case stopping, stopped:
		return
	case ordered:
		r.fenceOff(now)
	case running:
	}
	run.state, run.changedAt, run.retryAt, run.outcome = stopping, now, now, outcome
}

// Stopped handles the answer to a Stop that was sent to the named incarnation. One that was sent to an earlier incarnation doesn't prevent
// a start at this one.
func (r *Runner) Stopped(now time.Duration, incarnation string, id work.RunID, answer Answer, reading ClockReading) {
	r.fenceOffUnanswered(now, answer)
	if incarnation != r.worker.Incarnation {
		return
	}
	r.updateClock(now, reading)
	run := r.runs[id.Task]
	if run == nil || run.Run != id.Run || run.state != stopping {
		return
	}
	switch answer {
	case Accepted, Superseded:
		run.state, run.changedAt = stopped, now
		run.confirmingHold = r.worker.holdNumber + 1
		// A pending Hold returns with the end that the Stop caused. For a run that was not started there is no end, so
		// another Hold is sent.
		r.worker.nextHold = now
		if !run.wasStarted {
			r.worker.holdPending = false
		}
	case Fenced:
		r.fenced(run.orderFence)
		run.retryAt = now
	case ConnectionRefused:
		run.retryAt, r.worker.nextHold = now+holdRetryDelay, now
	case NoAnswer, LeaseExpired, NoCapacity, Unreadable, Unhealthy, WrongIncarnation:
		run.retryAt = now + holdRetryDelay
	}
}
