package runner

import (
	"time"

	"flamingohall.example/core/work"
)

const (
	// clockSlack is the part by which the worker's clock may be slower than this machine's: 2%, and room for rounding.
	clockSlack = 0.03
	// idleHold is the time between two holds while nothing runs: it keeps the clock reading fresh.
	idleHold = time.Second
	// holdWait is how long the worker may hold an answer. It bounds how long a worker that has gone silent is taken for
	// a sound one, and is well below the lease, which each answer renews.
	holdWait = 100 * time.Millisecond
	// repeatAfter is how much later than expected an answer may be before the hold is sent again, over another
	// connection: the answer may be lost, and with it the ends that it lists.
	repeatAfter = 50 * time.Millisecond
	// suspectAfter is how long the worker may be silent, beyond the wait of a hold, before it gets no more tasks.
	suspectAfter = 200 * time.Millisecond
	// holdPause is the wait after a hold that failed.
	holdPause = 50 * time.Millisecond
	// fenceStep is added when the worker has seen a higher fence: more than any clock error in milliseconds.
	fenceStep = 1 << 33
	// unhealthyPause is how long a worker gets no orders after it has answered that it is unhealthy.
	unhealthyPause = 500 * time.Millisecond
)

// worker is what is known of the worker.
type worker struct {
	work.Worker
	known   bool
	leaving bool
	// gone is true once nothing listens at the worker's address.
	gone     bool
	sequence uint64
	born     int64
	fence    uint64
	// clockMS was read at clockAt; clockAt is 0 before the first reading.
	clockMS int64
	clockAt time.Duration
	// leaseEnd is the latest time up to which the worker may have been told to keep what runs.
	leaseEnd time.Duration
	// confirmed is the last end that the worker may forget, listed the last one taken in.
	confirmed uint64
	listed    uint64
	// holdNumber is that of the last Hold; holding is true while its answer is awaited.
	holdNumber uint64
	holding    bool
	holdSentAt time.Duration
	holdWait   time.Duration
	nextHold   time.Duration
	// reported is the number of the last Hold whose answer was taken in.
	reported uint64
	// askedAt is when the first Hold was sent of which, or of a later one, no answer has come; 0 for none.
	askedAt time.Duration
	// suspect is true while an answer is overdue.
	suspect bool
	// hasNews is true while an end waits to be confirmed to the worker.
	hasNews bool
	// failedHolds counts holds in a row without an answer.
	failedHolds int
	// restUntil is when an unhealthy worker gets orders again.
	restUntil time.Duration
	// heardAt is when the worker last answered; silence is its age at the last Advance.
	heardAt time.Duration
	silence time.Duration
}

// accepts reports whether new tasks may be offered.
func (w *worker) accepts() bool {
	return w.known && !w.leaving && !w.gone && !w.suspect && w.clockAt != 0
}

// Announced takes in what the worker says of itself.
func (r *Runner) Announced(now time.Duration, said Announcement) {
	w := &r.worker
	isNew := !w.known || w.Incarnation != said.Incarnation
	if !isNew && said.Sequence < w.sequence {
		return
	}
	if isNew && w.known && said.Born < w.born && now-w.heardAt < idleHold {
		// It was sent by an earlier life and held up on its way.
		return
	}
	changed := isNew || w.leaving != said.Leaving
	if isNew {
		r.reset(now, said)
	}
	w.sequence, w.leaving = said.Sequence, said.Leaving
	if w.leaving {
		r.refuseQueued()
	}
	if changed {
		r.note(Note{Kind: WorkerChanged, Reason: r.describe()})
		record := said
		record.Sequence = 0
		r.effects.Record = &record
	}
}

// Recall takes in what the worker said of itself to a predecessor of this process. It is used only until the worker speaks,
// and gets tasks only once the worker has answered a call that names its incarnation. It answers restarts of many sidecars
// at once, after which workers would stand idle until their next announcements.
func (r *Runner) Recall(now time.Duration, said Announcement) {
	if r.worker.known {
		return
	}
	r.reset(now, said)
	r.worker.leaving = said.Leaving
	r.note(Note{Kind: WorkerChanged, Reason: "recalled"})
}

func (r *Runner) describe() string {
	switch {
	case r.worker.gone:
		return "gone"
	case r.worker.leaving:
		return "leaving"
	case r.worker.suspect:
		return "silent"
	}
	return "ready"
}

// reset begins a new life of the worker: what ran in the last one is over.
func (r *Runner) reset(now time.Duration, said Announcement) {
	r.loseAll(now)
	fence := r.worker.fence
	if r.worker.known {
		fence++
	}
	r.worker = worker{
		Worker: said.Worker, known: true, born: said.Born, fence: fence, heardAt: now, holdNumber: r.worker.holdNumber,
		reported: r.worker.holdNumber,
	}
	r.pace, r.unconfirmed = pace{}, nil
	for _, s := range r.sessions {
		s.knowsWorker = false
	}
}

// Left tells that the worker has said goodbye. What runs there still is learned from its answers.
func (r *Runner) Left(now time.Duration) {
	if r.worker.known && r.worker.leaving {
		r.refuseQueued()
		r.worker.nextHold = now
	}
}

func (r *Runner) leave(now time.Duration) {
	if r.worker.gone {
		return
	}
	r.worker.gone = true
	r.loseAll(now)
	r.note(Note{Kind: WorkerChanged, Reason: r.describe()})
}

func (r *Runner) loseAll(now time.Duration) {
	for _, one := range r.sorted() {
		r.lose(now, one)
	}
}

func (r *Runner) lose(now time.Duration, one *run) {
	if one.state == queued {
		r.turnDown(one, work.Unavailable)
		return
	}
	r.note(Note{Kind: RunLost, RunID: one.RunID, Session: one.session})
	r.end(now, one, work.Lost)
}

// read takes a reading of the worker's clock in.
func (r *Runner) read(now time.Duration, reading Reading) {
	if reading.ClockMS == 0 {
		return
	}
	r.worker.clockMS, r.worker.clockAt = reading.ClockMS, now
	r.worker.heardAt, r.worker.askedAt = now, 0
}

// lease returns until when what runs may run on, on this machine's clock: no longer than any entry's grant.
func (r *Runner) lease(now time.Duration) time.Duration {
	end := now + r.limits.Lease
	for _, one := range r.runs {
		if !one.takesRoom() {
			continue
		}
		end = min(end, one.offeredBy.answeredAt+r.limits.Grant)
	}
	return end
}

// order returns the common part of a call and remembers the lease that it gives.
func (r *Runner) order(now time.Duration) Order {
	w := &r.worker
	order := Order{Incarnation: w.Incarnation, Fence: w.fence}
	end := r.lease(now)
	if w.clockAt == 0 || end <= now || w.suspect || r.needsLapse() && !r.isBusy() {
		// What runs on a worker that does not answer must end at a known time, so its lease is not renewed.
		return order
	}
	order.LeaseUntilMS = w.clockMS + (end - w.clockAt).Milliseconds()
	w.leaseEnd = max(w.leaseEnd, end)
	return order
}

// lapsed reports whether the lease of everything at the worker has ended for certain.
func (r *Runner) lapsed(now time.Duration) bool {
	// The worker's clock was read at most idleHold before the lease was given.
	drift := time.Duration(clockSlack * float64(r.limits.Lease+idleHold))
	return now > r.worker.leaseEnd+drift
}

// Started takes the answer to a Start in.
func (r *Runner) Started(now time.Duration, which work.RunID, answer Answer, reading Reading) {
	r.read(now, reading)
	one := r.runs[which.Task]
	if one == nil || one.Run != which.Run || one.state != ordered {
		return
	}
	switch answer {
	case Accepted:
		r.confirmStart(now, one)
	case NoAnswer:
		r.revoke(now, one)
	case NoRoom, LeasePassed, Fenced:
		if answer == Fenced {
			r.raiseFence()
		}
		one.state, one.retryAt = queued, now+holdPause/10
		r.worker.nextHold = now
	case Unhealthy:
		r.worker.restUntil = now + unhealthyPause
		r.turnDown(one, work.Unavailable)
	case ConnectionRefused:
		r.turnDown(one, work.Unavailable)
		r.leave(now)
	case WrongIncarnation:
		r.turnDown(one, work.Unavailable)
	case Outrun:
		r.turnDown(one, work.Outrun)
	case Unreadable:
		r.turnDown(one, work.Malformed)
	}
}

// revoke stops a run whose start was not confirmed.
func (r *Runner) revoke(now time.Duration, one *run) {
	r.note(Note{Kind: RunRevoked, RunID: one.RunID, Session: one.session})
	r.stop(now, one, work.Lost)
}

func (r *Runner) raiseFence() {
	r.worker.fence += fenceStep
}

func (r *Runner) turnDown(one *run, reason work.Reason) {
	r.drop(one)
	r.refuse(r.sessions[one.session], one.session, one.RunID, reason)
}

func (r *Runner) confirmStart(now time.Duration, one *run) {
	one.state, one.changedAt = running, now
	if !one.wasStarted {
		one.wasStarted, one.startedAt, one.progressAt = true, now, now
		if s := r.sessions[one.session]; s != nil {
			s.frame.Started = append(s.frame.Started, one.RunID)
		}
	}
	one.confirmedBy = r.worker.holdNumber + 1
}

// stop ends a run whatever its state. What was never ordered is refused at once.
func (r *Runner) stop(now time.Duration, one *run, outcome work.Outcome) {
	switch one.state {
	case queued:
		r.turnDown(one, work.Cancelled)
		return
	case stopping, stopped:
		return
	case ordered, running:
	}
	one.state, one.changedAt, one.retryAt, one.outcome = stopping, now, now, outcome
}

// Stopped takes the answer to a Stop in.
func (r *Runner) Stopped(now time.Duration, which work.RunID, answer Answer, reading Reading) {
	r.read(now, reading)
	one := r.runs[which.Task]
	if one == nil || one.Run != which.Run || one.state != stopping {
		return
	}
	switch answer {
	case Accepted, Outrun:
		one.state, one.changedAt = stopped, now
		one.confirmedBy = r.worker.holdNumber + 1
		// A hold under way returns with the end that the stop has made. Where nothing had begun there is none.
		r.worker.nextHold = now
		if !one.wasStarted {
			r.worker.holding = false
		}
	case Fenced:
		r.raiseFence()
		one.retryAt = now
	case ConnectionRefused:
		r.leave(now)
	case NoAnswer, LeasePassed, NoRoom, Unreadable, Unhealthy, WrongIncarnation:
		one.retryAt = now + holdPause
	}
}
