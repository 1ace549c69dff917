package runner

import (
	"time"

	"flamingohall.example/core/work"
)

const (
	// minLoadInterval is the least time between two loads sent to an entry without other messages, for up to fewEntries
	// entries. Each further entry adds loadIntervalPerEntry, so that with many entries a sidecar sends little more than 100
	// such loads a second in all. The number of entries grows with that of workers, so the rate that one entry receives grows
	// with the number of workers per entry and not with the number of workers. An offer based on an old load that meets a
	// full worker returns at once (see Full).
	minLoadInterval      = 10 * time.Millisecond
	fewEntries           = 4
	loadIntervalPerEntry = 10 * time.Millisecond
	// minGrant is the least remaining time of a grant with which a task is started.
	minGrant = 300 * time.Millisecond
	// maxSilence is the longest silence of a worker that still gets new tasks.
	maxSilence = 2 * idleHoldInterval
	// StartTimeout is how long the worker may take to answer a Start.
	StartTimeout = 300 * time.Millisecond
	// startOverdueAfter is how long an answer to a Start may take before a Hold asks the worker whether the run exists.
	// It is many times the duration of a call within a VM, and less than the slack of a short job.
	startOverdueAfter = 25 * time.Millisecond
	// StopTimeout is how long the worker may take to answer a Stop. It is short because a Stop is idempotent, so that it
	// can be repeated, and has to succeed before the grant ends.
	StopTimeout = 40 * time.Millisecond
	// HoldTimeout is how long the worker may take to answer a Hold.
	HoldTimeout = holdWait + 300*time.Millisecond
)

// Advance performs everything that is due at now and completes the frames. Its results are returned by Effects.
func (r *Runner) Advance(now time.Duration) {
	r.advancedAt = now
	r.worker.silence = now - r.worker.heardAt
	if w := &r.worker; r.limits.Policy.Faults.RepeatHold && w.holdPending && now > w.holdSentAt+holdRepeatAfter {
		w.holdPending, w.nextHold = false, now
	}
	if r.anyStartOverdue(now) {
		r.worker.holdPending, r.worker.nextHold = false, now
	}
	if w := &r.worker; w.unansweredSince != 0 && now > w.unansweredSince+holdWait+suspectAfter {
		r.suspect()
	}
	r.countRuns()
	r.endGrants(now)
	for _, run := range r.sorted() {
		r.advanceRun(now, run)
	}
	if r.isBusy() && r.leaseExpired(now) {
		r.loseLapsed(now)
	}
	r.dropLate(now)
	r.updateRunTimeRatio(now)
	r.refuseWhileDrained()
	r.startQueued(now)
	r.sendStops(now)
	r.sendHold(now)
	r.sendVerify(now)
	r.sendUnconfirmed(now)
	r.fillFrames(now)
}

// isBusy reports whether the worker may be running anything.
func (r *Runner) isBusy() bool {
	for _, run := range r.runs {
		if run.usesCapacity() {
			return true
		}
	}
	return false
}

func (r *Runner) advanceRun(now time.Duration, run *taskRun) {
	if run.state == queued && now-run.arrivedAt > time.Duration(run.StartWithinMS)*time.Millisecond {
		r.refuseRun(run, work.Expired)
		return
	}
	r.stopStalled(now, run)
	r.reportOverdue(now, run)
}

// countRuns counts the runs of each session.
func (r *Runner) countRuns() {
	for _, s := range r.sessions {
		s.runs = 0
	}
	for _, run := range r.runs {
		run.offeredBy.runs++
	}
}

// endGrants stops the tasks of entries that have stopped answering, and closes their sessions.
func (r *Runner) endGrants(now time.Duration) {
	for id, s := range r.sessionsInOrder() {
		if now < s.answeredAt+r.limits.Grant-r.limits.StopAhead {
			continue
		}
		r.note(Note{Kind: GrantEnded, Session: id, Reason: s.entry})
		r.effects.Close = append(r.effects.Close, id)
		r.Closed(now, id)
	}
}

// mayStart reports whether the worker gets new tasks.
func (r *Runner) mayStart(now time.Duration) bool {
	w := &r.worker
	return w.accepts() && !r.draining && !r.drained && !r.leaseMustExpire() && now >= w.backoffUntil && w.silence < maxSilence &&
		w.unorderedRuns == 0 && (w.leaseEnd >= now+minGrant || !r.hasOverdueStop(now))
}

// startQueued orders the queued runs that fit, those with the least slack first.
func (r *Runner) startQueued(now time.Duration) {
	r.countIdle(now)
	if !r.mayStart(now) {
		return
	}
	if r.isPlanned() {
		r.startPlanned(now)
		return
	}
	r.endPlan(now)
	free := r.free()
	for _, run := range r.sorted() {
		if !run.isStartable(now, r.limits.Grant) || !run.Needs.FitsIn(free) {
			continue
		}
		if !r.mayShare(run) {
			if run.IsExclusive {
				// Nothing that comes after it starts before it, so that the worker becomes free for it.
				return
			}
			continue
		}
		free = free.Minus(run.Needs)
		r.orderStart(now, run, false)
	}
}

// isStartable reports whether a run is queued and may be ordered if there is capacity for it.
func (r *taskRun) isStartable(now, grant time.Duration) bool {
	return r.state == queued && now >= r.retryAt && r.offeredBy.hasAnswered && r.offeredBy.answeredAt+grant-now >= minGrant
}

func (r *Runner) orderStart(now time.Duration, run *taskRun, isBackfill bool) {
	if run.retryAt == 0 {
		// A run that the worker has sent back to the queue is counted once.
		r.effects.Waits = append(r.effects.Waits, QueueWait{
			Waited: now - run.arrivedAt, Share: run.Needs.ShareOf(r.worker.Capacity), IsBackfill: isBackfill,
		})
	}
	run.state, run.changedAt, run.startOverdueHold, run.orderFence = ordered, now, 0, r.worker.fence
	r.worker.nextHold = min(r.worker.nextHold, now)
	r.effects.Starts = append(r.effects.Starts, Start{
		Order: r.order(now), RunID: run.RunID, Spec: run.Spec, Checkpoint: run.Checkpoint,
	})
}

// free returns the capacity that no run may be using.
func (r *Runner) free() work.Needs {
	free := r.worker.Capacity
	for _, run := range r.runs {
		if run.usesCapacity() {
			free = free.Minus(run.Needs)
		}
	}
	return free
}

// never is later than any other time.
const never = time.Duration(1<<63 - 1)

func (r *Runner) sendStops(now time.Duration) {
	for _, run := range r.sorted() {
		if run.state != stopping || now < run.retryAt {
			continue
		}
		run.retryAt, run.orderFence = never, r.worker.fence
		r.effects.Stops = append(r.effects.Stops, Stop{Order: r.order(now), RunID: run.RunID})
	}
}

func (r *Runner) sendHold(now time.Duration) {
	w := &r.worker
	if !w.known || w.holdPending || now < w.nextHold {
		return
	}
	wait := r.holdWait(now)
	w.holdNumber++
	for _, run := range r.runs {
		if run.startOverdue(now) {
			run.startOverdueHold = w.holdNumber
		}
	}
	w.holdPending, w.confirmPending, w.holdSentAt, w.holdWait, w.holdFence = true, false, now, wait, w.fence
	if w.unansweredSince == 0 {
		w.unansweredSince = now
	}
	w.openHolds++
	if !r.isBusy() && wait > 0 {
		// Whatever comes up meanwhile has a Hold of its own.
		w.holdPending, w.nextHold = false, now+2*holdWait
	}
	r.effects.Hold = &Hold{Order: r.order(now), Number: w.holdNumber, Confirmed: w.confirmNow(), Wait: wait}
}

// holdWait returns how long the worker may delay the answer to a Hold that is sent now. A worker whose last answer is missing, or that
// something is to be learned from, answers at once.
func (r *Runner) holdWait(now time.Duration) time.Duration {
	w := &r.worker
	if w.suspicion.stands || w.otherIncarnation != "" || r.awaitsConfirmation() || r.anyStartOverdue(now) {
		return 0
	}
	if r.isBusy() || r.watches(now) {
		return holdWait
	}
	return 0
}

// startOverdue reports whether the answer to the run's Start is overdue and no Hold was sent since.
func (r *taskRun) startOverdue(now time.Duration) bool {
	return r.state == ordered && r.startOverdueHold == 0 && now >= r.changedAt+startOverdueAfter
}

func (r *Runner) anyStartOverdue(now time.Duration) bool {
	for _, run := range r.runs {
		if run.startOverdue(now) {
			return true
		}
	}
	return false
}

// awaitsConfirmation reports whether a stopped run is waiting for the next report.
func (r *Runner) awaitsConfirmation() bool {
	for _, run := range r.runs {
		if run.state == stopped {
			return true
		}
	}
	return false
}

// fillFrames adds probes, the worker's description and the load, and moves the frames to the effects.
func (r *Runner) fillFrames(now time.Duration) {
	var load *work.Load
	period := minLoadInterval + time.Duration(max(0, len(r.sessions)-fewEntries))*loadIntervalPerEntry
	for id, s := range r.sessionsInOrder() {
		r.fillFrame(now, s)
		if !isEmpty(&s.frame) || now >= s.loadSentAt+period || s.sentLoad.Accepts != r.mayStart(now) {
			if load == nil {
				current := r.load(now)
				load = &current
			}
			s.addLoad(now, *load)
		}
		if isEmpty(&s.frame) {
			continue
		}
		r.effects.Frames = append(r.effects.Frames, Frame{Session: id, ToEntry: s.frame})
		s.frame = work.ToEntry{}
	}
}

func (r *Runner) fillFrame(now time.Duration, s *session) {
	interval := r.limits.QuietProbe
	if s.runs > 0 {
		interval = r.limits.Probe
	}
	if s.probedAt == 0 || now >= s.probedAt+interval {
		r.nextProbe++
		s.probes[r.nextProbe] = now
		s.frame.Probe, s.probedAt = r.nextProbe, now
	}
	if r.worker.known && !s.workerSent {
		known := r.worker.Worker
		s.frame.Worker, s.workerSent = &known, true
	}
}

// addLoad adds the load to the session's frame if it differs from the one sent last.
func (s *session) addLoad(now time.Duration, load work.Load) {
	load.LastSequence = s.lastOffer
	if load != s.sentLoad {
		s.frame.Load = &load
		s.sentLoad, s.loadSentAt = load, now
	}
}

func isEmpty(frame *work.ToEntry) bool {
	return frame.Probe == 0 && frame.Worker == nil && frame.Load == nil && len(frame.Started) == 0 &&
		len(frame.Ended) == 0 && len(frame.Refused) == 0 && len(frame.Overdue) == 0 && len(frame.CancelledJobs) == 0 &&
		len(frame.Crashes) == 0 && len(frame.Suspicions) == 0
}

// load returns the worker's current load.
func (r *Runner) load(now time.Duration) work.Load {
	load := work.Load{Accepts: r.mayStart(now)}
	for _, run := range r.runs {
		load.Committed = load.Committed.Plus(run.Needs)
		if run.state == queued {
			load.Waiting++
		}
	}
	if r.hasExclusive() {
		load.Committed = load.Committed.Max(r.worker.Capacity)
	}
	for level := range load.WaitMS {
		load.WaitMS[level] = r.expectedWait(now, level).Milliseconds()
	}
	load.RunTimePercent = r.runTimePercent(now)
	if backlog, isReported := r.backlog(now); isReported {
		load.Backlog = backlog
		if r.limits.Policy.Estimates.MeasureSpeeds {
			load.SpeedPercent = r.speed.percent()
		}
	}
	r.addCold(now, &load)
	return load
}
