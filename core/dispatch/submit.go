package dispatch

import (
	"time"

	"flamingohall.example/core/work"
)

const (
	// minRetryAfter is the least time after which a refused caller may come back.
	minRetryAfter = time.Second
	// waitShare is the part of a job's slack that may be expected to be spent waiting, leastWait what is allowed in any
	// case. Forecasts are rough, and a longer queue makes nothing end sooner: it makes all be late. TestPool plays it.
	waitShare = 0.12
	leastWait = 20 * time.Millisecond
)

// Submit takes a job, or answers at once why it is not taken. A job that is under way gains a caller.
func (d *Dispatcher) Submit(now time.Duration, s Submission) {
	if known := d.jobs[s.ID]; known != nil {
		known.waiters++
		if s.Timeout > 0 {
			known.deadline = max(known.deadline, now+s.Timeout)
		}
		return
	}
	if j, refusal := d.consider(now, s); refusal != nil {
		d.answer(now, j, *refusal)
	} else {
		d.take(j)
		d.finishIfDone(now, j)
	}
}

// consider makes the job of a submission, and the answer if it is not to be taken.
func (d *Dispatcher) consider(now time.Duration, s Submission) (*job, *Answer) {
	j := newJob(now, s)
	d.estimate(j)
	j.objective = j.arrivedAt + j.span()
	wait, cause := d.expectedWait(now, j)
	j.trace.PredictedWait = wait
	if cause != 0 {
		return j, &Answer{Result: Refused, Cause: cause, RetryAfter: max(minRetryAfter, wait)}
	}
	return j, nil
}

func (d *Dispatcher) take(j *job) {
	d.jobs[j.ID] = j
	for _, t := range j.tasks {
		d.tasks[t.name] = t
	}
	d.waiting = append(d.waiting, j.ready()...)
}

// span returns the time in which the job should end.
func (j *job) span() time.Duration {
	return time.Duration(j.Queue.Slack*float64(j.longestChain())) + j.Queue.Target
}

// expectedWait returns how long the job's first tasks would wait, and why that is too long. It answers bursts: what
// can't end in time anyway is refused at once, before it keeps others from ending in time.
func (d *Dispatcher) expectedWait(now time.Duration, j *job) (time.Duration, Cause) {
	if j.isLate(now) && d.usedShare(j.Queue.Pool) > lateRoom {
		return 0, Overloaded
	}
	allowed := j.allowedWait(now)
	var longest time.Duration
	for i := range j.Steps {
		step := &j.Steps[i]
		if len(step.After) > 0 || step.Count == 0 {
			continue
		}
		wait, cause := d.stepWait(now, j, step)
		if cause != 0 {
			return minRetryAfter, cause
		}
		longest = max(longest, wait)
	}
	if longest > max(0, allowed) {
		return longest, Overloaded
	}
	return longest, 0
}

// lateRoom is the used share of a pool above which no job is taken that can only be late: it would keep those that come now
// from being in time. It is small since every entry that opens at the same time takes as much.
const lateRoom = 0.15

// isLate reports whether the job will be late even if nothing keeps it waiting any more. It answers a start of the system,
// before which callers have waited at the entries.
func (j *job) isLate(now time.Duration) bool {
	return now+j.longestChain() > j.objective
}

// usedShare returns which part of a pool's capacity is in use or asked for.
func (d *Dispatcher) usedShare(pool string) float64 {
	var used, all work.Needs
	for _, w := range d.order {
		if w.isUp && w.isAttached && w.load.Accepts && w.Pool == pool {
			used, all = used.Plus(w.committed()), all.Plus(w.Capacity)
		}
	}
	return used.ShareOf(all)
}

// allowedWait returns how long the job's tasks may wait.
func (j *job) allowedWait(now time.Duration) time.Duration {
	chain := j.longestChain()
	allowed := max(leastWait, time.Duration(waitShare*float64(j.span()-chain))) - j.Waited
	if j.deadline != 0 {
		allowed = min(allowed, j.deadline-now-chain)
	}
	return allowed
}

// stepWait returns how long the last task of a step would wait, by spreading the tasks over the workers.
func (d *Dispatcher) stepWait(now time.Duration, j *job, step *Step) (time.Duration, Cause) {
	shortest := time.Duration(-1)
	left := step.Count
	fastest := d.fastest(j.Queue.Pool, step)
	for _, w := range d.order {
		// Room on a worker that has become slow is no help: a task ends sooner if it waits for another one.
		if !w.suits(j.Queue.Pool, step) || w.aside || w.presentSpeed() < usefulSpeed*fastest {
			continue
		}
		left -= w.room(step.Needs, left)
		if wait := w.expectedWait(now, step.Needs, j.objective-now-j.stepExpected(step)+j.Queue.rankOffset()); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	if shortest < 0 {
		return 0, d.causeOfNone(j.Queue.Pool, step)
	}
	if left <= 0 {
		return 0, 0
	}
	// What does not fit at once waits for a share of the workers' turnover.
	rest := time.Duration(float64(j.stepExpected(step)) * float64(left) * step.Needs.ShareOf(d.pooled(j.Queue.Pool, step)))
	return max(shortest, minimalWait) + rest, 0
}

// usefulSpeed is the part of the fastest worker's speed below which a worker is not counted on.
const usefulSpeed = 0.45

// fastest returns the highest speed of the workers that suit a step.
func (d *Dispatcher) fastest(pool string, step *Step) float64 {
	best := 0.0
	for _, w := range d.order {
		if w.suits(pool, step) && !w.aside {
			best = max(best, w.presentSpeed())
		}
	}
	return best
}

// causeOfNone says why no worker suits a step.
func (d *Dispatcher) causeOfNone(pool string, step *Step) Cause {
	isAny := false
	for _, w := range d.order {
		isAny = isAny || w.isUp && w.Pool == pool
		if w.isUp && w.Pool == pool && step.Needs.FitsIn(w.Capacity) {
			return NoWorkers
		}
	}
	if isAny {
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

// pooled returns the capacity of the workers of a pool that suit a step and are not slow.
func (d *Dispatcher) pooled(pool string, step *Step) work.Needs {
	var total work.Needs
	fastest := d.fastest(pool, step)
	for _, w := range d.order {
		if w.suits(pool, step) && !w.aside && w.presentSpeed() >= usefulSpeed*fastest {
			total = total.Plus(w.Capacity)
		}
	}
	return total
}

// CallerLeft takes one caller of a job away. Without any caller the job is stopped.
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

// Cancel stops a job here and, through the sidecars, wherever it runs. It reports whether the job was known here.
func (d *Dispatcher) Cancel(now time.Duration, id string) bool {
	j := d.jobs[id]
	for _, w := range d.order {
		if w.isUp {
			w.frame.CancelledJobs = append(w.frame.CancelledJobs, id)
		}
	}
	d.abandon(now, j, JobCancelled, Requested)
	return j != nil
}

// abandon answers a job before it is done, and stops its tasks.
func (d *Dispatcher) abandon(now time.Duration, j *job, result Result, cause Cause) {
	if j == nil {
		return
	}
	d.stopTasks(j)
	if result == GivenUp && !j.hasRun() {
		result = Refused
	}
	d.answer(now, j, Answer{Result: result, Cause: cause, RetryAfter: minRetryAfter})
}

// answer ends a job.
func (d *Dispatcher) answer(now time.Duration, j *job, answer Answer) {
	d.effects.Answers = append(d.effects.Answers, j.fill(now, answer))
	d.forget(j)
	if j.IsStored {
		d.past.add(now, j, endStates[answer.Result])
	}
}

// fill adds to an answer what is known of the job.
func (j *job) fill(now time.Duration, answer Answer) Answer {
	answer.Job, answer.Request, answer.Queue, answer.IsStored, answer.Trace = j.ID, j.Request, j.Queue.Name, j.IsStored, j.trace
	answer.Trace.Took, answer.Trace.Objective = now-j.arrivedAt, j.objective-j.arrivedAt
	return answer
}

// stopTasks withdraws everything of a job that is at a worker.
func (d *Dispatcher) stopTasks(j *job) {
	for _, t := range j.tasks {
		if t.state == offered || t.state == started {
			w := d.workers[t.worker]
			w.frame.Stops = append(w.frame.Stops, t.id())
		}
	}
}

func (d *Dispatcher) forget(j *job) {
	if d.jobs[j.ID] != j {
		return
	}
	delete(d.jobs, j.ID)
	for _, t := range j.tasks {
		delete(d.tasks, t.name)
	}
}

func (d *Dispatcher) finishIfDone(now time.Duration, j *job) {
	if j.isDone() && !j.IsStored {
		d.answer(now, j, Answer{Result: Completed})
	}
}
