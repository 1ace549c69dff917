package dispatch

import (
	"slices"
	"time"

	"flamingohall.example/core/work"
)

// minRetryAfter is the minimum delay before a refused caller may try again.
const minRetryAfter = time.Second

// Submit takes a job, or answers at once with the reason why it is refused. If the job is already in progress, the call
// adds a caller to it. If an entry has answered it before, the answer is the same. If it is in progress at another entry, it
// waits here for the answer.
func (d *Dispatcher) Submit(now time.Duration, s Submission) {
	if known := d.jobs[s.ID]; known != nil {
		known.waiters++
		if s.Timeout > 0 {
			known.deadline = max(known.deadline, now-s.Unread+s.Timeout)
		}
		return
	}
	if answered, isKnown := d.answered.find(now, JobKey(s.ID)); isKnown {
		d.answer(now, newJob(now, s), Answer{Result: answered.result(), Cause: AnsweredBefore})
		return
	}
	if d.inProgress.holds(now, JobKey(s.ID)) {
		d.hold(now, s)
		return
	}
	if j, refusal := d.admit(now, s); refusal != nil {
		d.answer(now, j, *refusal)
	} else {
		d.add(j)
		d.finishIfDone(now, j)
	}
}

// admit creates the job of a submission, and the answer if the job is refused.
func (d *Dispatcher) admit(now time.Duration, s Submission) (*job, *Answer) {
	j := newJob(now, s)
	d.estimate(j)
	j.objective = j.arrivedAt + j.span()
	d.countDemand(now, j)
	if answer := d.answerAfterCrashes(now, j); answer != nil {
		return j, answer
	}
	wait, cause := d.expectedWait(now, j)
	if cause == Overloaded && d.admitLate(now, j) {
		wait, cause = 0, 0
		j.delayLateWork(now)
	}
	j.trace.PredictedWait = wait
	if !j.isLateWork && (cause == 0 || cause == Overloaded) {
		if answer := d.shed(now, j); answer != nil {
			return j, answer
		}
	}
	if cause != 0 {
		j.trace.FreeMilliCores, j.trace.PoolMilliCores = d.freeCapacity(j.Queue.Pool)
		refusal := &Answer{Result: Refused, Cause: cause, RetryAfter: max(minRetryAfter, wait)}
		if cause == Contained {
			refusal.RetryAfter = max(minRetryAfter, d.crashes.NextReturn(j.Queue.Pool, j.Queue.Name)-now)
		}
		if d.ranBefore(j) {
			refusal.Result = GivenUp
		}
		return j, refusal
	}
	return j, nil
}

func (d *Dispatcher) add(j *job) {
	d.jobs[j.ID] = j
	if j.isLateWork {
		d.lateJobs++
	}
	position, _ := slices.BinarySearchFunc(d.jobsByID, j.ID, compareJobID)
	d.jobsByID = slices.Insert(d.jobsByID, position, j)
	for _, t := range j.tasks {
		d.tasks[t.name] = t
	}
	if !j.isHeld {
		d.waiting = append(d.waiting, j.unblock()...)
	}
}

// span returns the time in which the job should end.
func (j *job) span() time.Duration {
	return time.Duration(j.Queue.Slack*float64(j.longestChain())) + j.Queue.Target
}

// expectedWait returns how long the job's first tasks are expected to wait, and the reason if that is too long. During
// bursts, a job that cannot end in time is refused at once, so that it does not delay jobs that can.
func (d *Dispatcher) expectedWait(now time.Duration, j *job) (time.Duration, Cause) {
	ahead := d.unreported(now, j)
	late := &d.limits.Policy.Late
	if j.isLate(now) && (late.DrainShare > 0 || d.usedShare(j.Queue.Pool, ahead) > late.MaxLateUsedShare) {
		return 0, Overloaded
	}
	allowed := d.allowedWait(now, j)
	var longest time.Duration
	for i := range j.Steps {
		step := &j.Steps[i]
		if len(step.After) > 0 || step.Count == 0 {
			continue
		}
		wait, cause := d.stepWait(now, j, step, ahead)
		if cause != 0 {
			return 0, cause
		}
		longest = max(longest, wait)
	}
	if longest > max(0, allowed) {
		return longest, Overloaded
	}
	return longest, 0
}

// unreported returns what accepted tasks need that neither a load report nor a pending offer counts: the tasks of this
// entry that are not offered yet. For a job that waited for the startup of this process, it includes an estimate for the
// other entries: after a loss of everything, each of them accepts at the same moment as much as this one.
func (d *Dispatcher) unreported(now time.Duration, j *job) work.Needs {
	var waits work.Needs
	competes := d.competitors(now, &j.Queue)
	for _, t := range d.waiting {
		if t.job.Queue.Pool == j.Queue.Pool && t.state == waiting && !t.job.isLateWork && competes(t) {
			waits = waits.Plus(t.step.Needs)
		}
	}
	if j.Waited == 0 || !d.limits.Policy.Admission.CountOtherEntries {
		return waits
	}
	own := waits.Plus(d.pendingNeeds(j.Queue.Pool))
	return waits.Plus(own.Times(int64(d.entries - 1)))
}

// pendingNeeds returns what the offers of this entry need that no load report of a pool's workers counts yet.
func (d *Dispatcher) pendingNeeds(pool string) work.Needs {
	var needs work.Needs
	for _, w := range d.sortedWorkers {
		for _, p := range w.pending {
			if w.Pool == pool {
				needs = needs.Plus(p.needs)
			}
		}
	}
	return needs
}

// isLate reports whether the job will be late even without any further wait. This happens when the system starts, after
// callers have already waited at the entries.
func (j *job) isLate(now time.Duration) bool {
	return now+j.longestChain() > j.objective
}

// usedShare returns the part of a pool's capacity that is in use or committed, or taken by unreported tasks.
func (d *Dispatcher) usedShare(pool string, unreported work.Needs) float64 {
	used, all := unreported, work.Needs{}
	for _, w := range d.sortedWorkers {
		if w.isUp && w.isAttached && w.load.Accepts && w.Pool == pool {
			used, all = used.Plus(w.committed()), all.Plus(w.Capacity)
		}
	}
	return used.ShareOf(all)
}

// allowedWait returns how long the job's tasks may wait. Predictions are rough, and a longer queue does not raise throughput: it
// only makes all jobs late.
func (d *Dispatcher) allowedWait(now time.Duration, j *job) time.Duration {
	admission := &d.limits.Policy.Admission
	chain := j.longestChain()
	allowed := max(admission.MinAllowedWait(), time.Duration(admission.MaxWaitShare*float64(j.span()-chain))) - j.Waited
	if j.deadline != 0 {
		allowed = min(allowed, j.deadline-now-chain)
	}
	return allowed
}

// stepWait returns how long the last task of a step is expected to wait if the tasks are spread over the workers, after
// those that need the resources ahead.
func (d *Dispatcher) stepWait(now time.Duration, j *job, step *Step, ahead work.Needs) (time.Duration, Cause) {
	shortest := time.Duration(-1)
	left := step.Count + d.equivalentTasks(ahead, &j.Queue, step)
	allowance := d.allowance(&j.Queue)
	fastest := d.fastest(&j.Queue, step)
	for _, w := range d.sortedWorkers {
		// Free capacity on a slowed worker is not counted: a task ends sooner if it waits for another worker.
		if !w.suits(j.Queue.Pool, step) || w.ejected || w.currentSpeed() < d.limits.Policy.Placement.MinUsefulSpeedRatio*fastest || !allowance.Allows(w.id) {
			continue
		}
		left -= w.fittingTasks(step.Needs, left)
		if wait := w.expectedWait(now, step.Needs, j.objective-now-j.stepExpected(step)+d.rankOffset(&j.Queue)); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	if shortest < 0 {
		return 0, d.noWorkerCause(&j.Queue, step)
	}
	if left <= 0 {
		return 0, 0
	}
	// Tasks that do not fit at once wait for their share of the workers' throughput.
	rest := time.Duration(float64(j.stepExpected(step)) * float64(left) * step.Needs.ShareOf(d.suitableCapacity(&j.Queue, step)))
	return max(shortest, minimalWait) + rest, 0
}

// equivalentTasks returns how many tasks of a step take as large a share of the suitable workers as the given resources.
func (d *Dispatcher) equivalentTasks(needs work.Needs, queue *Queue, step *Step) int {
	if needs == (work.Needs{}) {
		return 0
	}
	capacity := d.suitableCapacity(queue, step)
	if one := step.Needs.ShareOf(capacity); one > 0 {
		return int(needs.ShareOf(capacity) / one)
	}
	return 0
}

// fastest returns the highest speed of the workers that suit a step.
func (d *Dispatcher) fastest(queue *Queue, step *Step) float64 {
	best := 0.0
	allowance := d.allowance(queue)
	for _, w := range d.sortedWorkers {
		if w.suits(queue.Pool, step) && !w.ejected && allowance.Allows(w.id) {
			best = max(best, w.currentSpeed())
		}
	}
	return best
}

// noWorkerCause returns why no worker suits a step.
func (d *Dispatcher) noWorkerCause(queue *Queue, step *Step) Cause {
	pool, hasWorkers := queue.Pool, false
	if d.crashes.IsContained(pool, queue.Name) {
		return Contained
	}
	for _, w := range d.sortedWorkers {
		hasWorkers = hasWorkers || w.isUp && w.Pool == pool
		if w.isUp && w.Pool == pool && step.Needs.FitsIn(w.Capacity) {
			return NoWorkers
		}
	}
	if hasWorkers {
		return TooLarge
	}
	return NoWorkers
}

func (j *job) stepExpected(step *Step) time.Duration {
	for i := range j.Steps {
		if &j.Steps[i] == step {
			return j.steps[i].expected
		}
	}
	return 0
}

// suitableCapacity returns the total capacity of the workers of a pool that suit a step and are not slow.
func (d *Dispatcher) suitableCapacity(queue *Queue, step *Step) work.Needs {
	var total work.Needs
	fastest := d.fastest(queue, step)
	allowance := d.allowance(queue)
	for _, w := range d.sortedWorkers {
		if w.suits(queue.Pool, step) && !w.ejected && w.currentSpeed() >= d.limits.Policy.Placement.MinUsefulSpeedRatio*fastest && allowance.Allows(w.id) {
			total = total.Plus(w.Capacity)
		}
	}
	return total
}

// CallerLeft removes one caller of a job. The job is stopped when its last caller has left.
func (d *Dispatcher) CallerLeft(now time.Duration, id string) {
	j := d.jobs[id]
	if j == nil {
		return
	}
	j.waiters--
	if j.waiters <= 0 {
		d.abandon(now, j, GivenUp, CallerGone)
	}
}

// Cancel stops a job here and, through the sidecars, wherever it runs. It reports whether this entry knew the job.
func (d *Dispatcher) Cancel(now time.Duration, id string) bool {
	j := d.jobs[id]
	for _, w := range d.sortedWorkers {
		if w.isUp {
			w.frame.CancelledJobs = append(w.frame.CancelledJobs, id)
		}
	}
	d.abandon(now, j, JobCancelled, Requested)
	return j != nil
}

// abandon stops a job's tasks and answers the job before it is done.
func (d *Dispatcher) abandon(now time.Duration, j *job, result Result, cause Cause) {
	if j == nil {
		return
	}
	d.noteEnding(now, j)
	d.stopTasks(j)
	if result == GivenUp && !j.wasOffered() && !j.isHeld {
		result = Refused
	}
	d.answer(now, j, Answer{Result: result, Cause: cause, RetryAfter: minRetryAfter})
}

// answer ends a job with the given answer.
func (d *Dispatcher) answer(now time.Duration, j *job, answer Answer) {
	d.effects.Answers = append(d.effects.Answers, j.fill(now, answer))
	d.forget(j)
	if j.IsStored {
		d.recentlyEnded.add(now, j, endStates[answer.Result])
	} else {
		d.remember(now, j, answer)
	}
}

// freeCapacity returns the free and the whole capacity of a pool in thousandths of a core, as this entry knows it.
func (d *Dispatcher) freeCapacity(pool string) (free, all int64) {
	for _, w := range d.sortedWorkers {
		if w.isUp && w.isAttached && w.load.Accepts && w.Pool == pool {
			free += max(0, w.Capacity.MilliCores-w.committed().MilliCores)
			all += w.Capacity.MilliCores
		}
	}
	return free, all
}

// fill adds the job's own data to an answer.
func (j *job) fill(now time.Duration, answer Answer) Answer {
	answer.Job, answer.Request, answer.Queue, answer.IsStored, answer.Trace = j.ID, j.Request, j.Queue.Name, j.IsStored, j.trace
	answer.Trace.Took, answer.Trace.Objective = now-j.arrivedAt, j.objective-j.arrivedAt
	answer.Trace.Expected, answer.Trace.Target, answer.Trace.Held = j.longestChain(), j.Queue.Target, j.Waited
	if len(j.Steps) > 0 {
		answer.Trace.MilliCores = j.Steps[0].Needs.MilliCores
	}
	return answer
}

// stopTasks withdraws all of a job's tasks that are at workers.
func (d *Dispatcher) stopTasks(j *job) {
	for _, t := range j.tasks {
		if t.state == offered || t.state == started {
			w := d.workers[t.run.worker]
			w.frame.Stops = append(w.frame.Stops, t.id())
		}
	}
}

func (d *Dispatcher) forget(j *job) {
	if d.jobs[j.ID] != j {
		return
	}
	delete(d.jobs, j.ID)
	if j.isLateWork {
		d.lateJobs--
	}
	if j.isHeld {
		d.heldJobs--
	}
	if position, isFound := slices.BinarySearchFunc(d.jobsByID, j.ID, compareJobID); isFound {
		d.jobsByID = slices.Delete(d.jobsByID, position, position+1)
	}
	for _, t := range j.tasks {
		delete(d.tasks, t.name)
	}
}

func (d *Dispatcher) finishIfDone(now time.Duration, j *job) {
	if j.isDone() && !j.IsStored {
		d.answer(now, j, Answer{Result: Completed})
	}
}
