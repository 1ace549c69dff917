package runner

import (
	"time"

	"flamingohall.example/core/work"
)

const (
	// loadPeriod is the least time between two loads told to an entry that has nothing else to hear; loadPause is that
	// between the loads of any two entries, which bounds what a sidecar spends on them to 400 a second. Entries rise in
	// number with workers, so what an entry hears in all rises with the workers for each entry, not with their product.
	loadPeriod = 10 * time.Millisecond
	loadPause  = 2500 * time.Microsecond
	// minGrant is the least rest of a grant under which a task is started.
	minGrant = 300 * time.Millisecond
	// maxSilence is how long the worker may be silent and still get new tasks.
	maxSilence = 2 * idleHold
	// StartTimeout is how long an answer of the worker to a Start may take.
	StartTimeout = 300 * time.Millisecond
	// startDoubt is how long an answer to a Start may take before the worker is asked whether it runs: many times what a
	// call within a VM takes, and less than the slack of a short job.
	startDoubt = 25 * time.Millisecond
	// StopTimeout is how long an answer to a Stop may take. A stop may be repeated at no cost, and must be through
	// before a grant ends.
	StopTimeout = 100 * time.Millisecond
	// HoldTimeout is how long an answer of the worker to a Hold may take.
	HoldTimeout = holdWait + 300*time.Millisecond
)

// Advance does what is due at a time and fills the frames.
func (r *Runner) Advance(now time.Duration) {
	r.worker.silence = now - r.worker.heardAt
	if w := &r.worker; w.holding && now > w.holdSentAt+w.holdWait+repeatAfter {
		w.holding, w.nextHold = false, now
	}
	if r.hasDoubt(now) {
		r.worker.holding, r.worker.nextHold = false, now
	}
	if w := &r.worker; w.askedAt != 0 && now > w.askedAt+holdWait+suspectAfter {
		r.suspect()
	}
	r.endGrants(now)
	for _, one := range r.sorted() {
		r.advanceRun(now, one)
	}
	if r.isBusy() && r.lapsed(now) {
		r.loseOrdered(now)
	}
	r.dropLate(now)
	r.updatePace(now)
	r.startQueued(now)
	r.sendStops(now)
	r.sendHold(now)
	r.tellUnconfirmed(now)
	r.fillFrames(now)
}

// isBusy reports whether anything may run at the worker.
func (r *Runner) isBusy() bool {
	for _, one := range r.runs {
		if one.takesRoom() {
			return true
		}
	}
	return false
}

// loseOrdered gives up everything whose lease has lapsed.
func (r *Runner) loseOrdered(now time.Duration) {
	for _, one := range r.sorted() {
		if one.takesRoom() {
			r.lose(now, one)
		}
	}
}

func (r *Runner) advanceRun(now time.Duration, one *run) {
	if one.state == queued && now-one.arrivedAt > time.Duration(one.StartWithinMS)*time.Millisecond {
		r.turnDown(one, work.Expired)
		return
	}
	r.stopStalled(now, one)
	r.tellBehind(now, one)
}

// endGrants stops the tasks of entries that do not answer, and closes their sessions.
func (r *Runner) endGrants(now time.Duration) {
	for id, s := range r.inOrder() {
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
	return w.accepts() && !r.draining && !r.needsLapse() && now >= w.restUntil && w.silence < maxSilence
}

// startQueued orders what fits, those with the least slack first.
func (r *Runner) startQueued(now time.Duration) {
	if !r.mayStart(now) {
		return
	}
	free := r.free()
	for _, one := range r.sorted() {
		if one.state != queued || now < one.retryAt || !one.Needs.FitsIn(free) {
			continue
		}
		if !one.offeredBy.hasAnswered || one.offeredBy.answeredAt+r.limits.Grant-now < minGrant {
			continue
		}
		free = free.Minus(one.Needs)
		one.state, one.changedAt, one.doubtedBy = ordered, now, 0
		r.worker.nextHold = min(r.worker.nextHold, now)
		r.effects.Starts = append(r.effects.Starts, Start{
			Order: r.order(now), RunID: one.RunID, Spec: one.Spec, Checkpoint: one.Checkpoint,
		})
	}
}

// free returns what no run may be using.
func (r *Runner) free() work.Needs {
	free := r.worker.Capacity
	for _, one := range r.runs {
		if one.takesRoom() {
			free = free.Minus(one.Needs)
		}
	}
	return free
}

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)

func (r *Runner) sendStops(now time.Duration) {
	for _, one := range r.sorted() {
		if one.state != stopping || now < one.retryAt {
			continue
		}
		one.retryAt = never
		r.effects.Stops = append(r.effects.Stops, Stop{Order: r.order(now), RunID: one.RunID})
	}
}

func (r *Runner) sendHold(now time.Duration) {
	w := &r.worker
	if !w.known || w.holding || now < w.nextHold {
		return
	}
	var wait time.Duration
	if r.isBusy() && !r.awaitsConfirmation() && !r.hasDoubt(now) {
		wait = holdWait
	}
	w.holdNumber++
	for _, one := range r.runs {
		if one.isDoubtful(now) {
			one.doubtedBy = w.holdNumber
		}
	}
	w.holding, w.hasNews, w.holdSentAt, w.holdWait = true, false, now, wait
	if w.askedAt == 0 {
		w.askedAt = now
	}
	r.effects.Hold = &Hold{Order: r.order(now), Number: w.holdNumber, Confirmed: w.confirmed, Wait: wait}
}

// isDoubtful reports whether the answer to the run's Start is overdue and the worker was not asked since.
func (r *run) isDoubtful(now time.Duration) bool {
	return r.state == ordered && r.doubtedBy == 0 && now >= r.changedAt+startDoubt
}

func (r *Runner) hasDoubt(now time.Duration) bool {
	for _, one := range r.runs {
		if one.isDoubtful(now) {
			return true
		}
	}
	return false
}

// awaitsConfirmation reports whether a stopped run waits for the next report.
func (r *Runner) awaitsConfirmation() bool {
	for _, one := range r.runs {
		if one.state == stopped {
			return true
		}
	}
	return false
}

// fillFrames adds probes, the worker's record and the load, and hands the frames out.
func (r *Runner) fillFrames(now time.Duration) {
	var load *work.Load
	period := max(loadPeriod, time.Duration(len(r.sessions))*loadPause)
	for id, s := range r.inOrder() {
		r.fillFrame(now, s)
		if !isEmpty(&s.frame) || now >= s.toldAt+period || s.toldLoad.Accepts != r.mayStart(now) {
			if load == nil {
				made := r.load(now)
				load = &made
			}
			s.tellLoad(now, *load)
		}
		if isEmpty(&s.frame) {
			continue
		}
		r.effects.Frames = append(r.effects.Frames, Frame{Session: id, ToEntry: s.frame})
		s.frame = work.ToEntry{}
	}
}

func (r *Runner) fillFrame(now time.Duration, s *session) {
	if now >= s.nextProbe {
		r.nextProbe++
		s.probes[r.nextProbe] = now
		s.frame.Probe, s.nextProbe = r.nextProbe, now+r.limits.Probe
	}
	if r.worker.known && !s.knowsWorker {
		known := r.worker.Worker
		s.frame.Worker, s.knowsWorker = &known, true
	}
}

// tellLoad adds the load to the session's frame if it differs from the one told last.
func (s *session) tellLoad(now time.Duration, load work.Load) {
	load.LastSequence = s.through
	if load != s.toldLoad {
		s.frame.Load = &load
		s.toldLoad, s.toldAt = load, now
	}
}

func isEmpty(frame *work.ToEntry) bool {
	return frame.Probe == 0 && frame.Worker == nil && frame.Load == nil && len(frame.Started) == 0 &&
		len(frame.Ended) == 0 && len(frame.Refused) == 0 && len(frame.Overdue) == 0 && len(frame.CancelledJobs) == 0
}

// load returns how busy the worker is.
func (r *Runner) load(now time.Duration) work.Load {
	load := work.Load{Accepts: r.mayStart(now)}
	for _, one := range r.runs {
		load.Committed = load.Committed.Plus(one.Needs)
		if one.state == queued {
			load.Waiting++
		}
	}
	for level := range load.WaitMS {
		load.WaitMS[level] = r.expectedWait(now, level).Milliseconds()
	}
	load.RunTimePercent = r.pacePercent(now)
	return load
}
