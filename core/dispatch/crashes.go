package dispatch

import (
	"slices"
	"time"

	"flamingohall.example/core/crash"
	"flamingohall.example/core/work"
)

// crashed handles the report that a worker ended under runs, also those of other entries.
func (d *Dispatcher) crashed(now time.Duration, w *worker, c *work.Crash) {
	if !d.crashes.Counts(c.Incarnation) {
		d.noteCrashedRuns(now, w, c)
	}
	d.containmentChanged(d.crashes.Observe(now, w.Pool, w.id, c))
}

// crashedRun is a run of a stored task under which an incarnation of a worker ended.
type crashedRun struct {
	work.RunID
	worker, incarnation string
}

// noteCrashedRuns keeps the runs of stored tasks under which a worker ended, to be recorded once the crash is confirmed.
//
// Each record is about one end of one incarnation of a worker. A run is lost in other ways, too, when its worker leaves as planned or its
// lease expires: that says nothing about the task. The current run of a task is meant only if it was offered before the worker ended; a
// new session is told of earlier ends.
func (d *Dispatcher) noteCrashedRuns(now time.Duration, w *worker, c *work.Crash) {
	endedAt := now - time.Duration(c.AgeMS)*time.Millisecond
	for i := range c.Runs {
		t := d.tasks[c.Runs[i].Task]
		if t == nil || !t.job.IsStored || !t.isOutstanding() || t.run.worker != w.id || t.run.offeredAt > endedAt {
			continue
		}
		d.crashedRuns = append(d.crashedRuns, crashedRun{RunID: t.id(), worker: w.id, incarnation: c.Incarnation})
	}
}

// recordCrashes has control record the crashes that are confirmed, and drops those that have been withdrawn: the worker has answered
// again. A record can't be taken back.
func (d *Dispatcher) recordCrashes() {
	d.crashedRuns = slices.DeleteFunc(d.crashedRuns, func(c crashedRun) bool {
		if d.crashes.IsConfirmed(c.incarnation) {
			d.effects.Records = append(d.effects.Records, Record{RunID: c.RunID, IsCrash: true})
			d.note(Note{Kind: CrashRecorded, RunID: c.RunID, Worker: c.worker, Reason: c.incarnation})
			return true
		}
		return !d.crashes.Counts(c.incarnation)
	})
}

// takeCrashes handles what a frame says of the worker's end.
func (d *Dispatcher) takeCrashes(now time.Duration, w *worker, frame *work.ToEntry) {
	for i := range frame.Suspicions {
		d.suspected(now, w, &frame.Suspicions[i])
	}
	for i := range frame.Crashes {
		d.crashed(now, w, &frame.Crashes[i])
	}
}

// suspected handles the report that a worker seems to have ended under runs, or that it has not. Its runs may go on.
func (d *Dispatcher) suspected(now time.Duration, w *worker, s *work.Suspicion) {
	d.containmentChanged(d.crashes.Suspect(now, w.Pool, w.id, s))
}

func (d *Dispatcher) containmentChanged(changes []crash.Change) {
	for _, change := range changes {
		note := Note{Kind: QueueReleased, Reason: change.Queue}
		if change.IsContained {
			note.Kind, note.Task = QueueContained, change.Task
			allowance := d.crashes.Allowed(change.Pool, change.Queue, d.poolWorkers(change.Pool))
			note.Count = allowance.Size()
			d.withdraw(change, &allowance)
		}
		d.note(note)
	}
}

// withdraw takes back the offers of a contained queue that other workers have not started yet. A task that must run alone may
// wait there for seconds, and would then end a worker that is left to the other queues.
func (d *Dispatcher) withdraw(change crash.Change, allowance *crash.Allowance) {
	for _, w := range d.sortedWorkers {
		if w.Pool != change.Pool || allowance.Allows(w.id) {
			continue
		}
		for _, t := range d.tasksAt(w.id) {
			if t.state == offered && t.job.Queue.Name == change.Queue {
				w.frame.Stops = append(w.frame.Stops, t.id())
			}
		}
	}
}

// poolWorkers returns the IDs of a pool's workers, sorted, including those that are down.
func (d *Dispatcher) poolWorkers(pool string) []string {
	var ids []string
	for _, w := range d.sortedWorkers {
		if w.Pool == pool {
			ids = append(ids, w.id)
		}
	}
	return ids
}

// allowance returns which workers a queue may use while queues are contained. If every worker outside the containments is
// unavailable, the other queues may use all.
func (d *Dispatcher) allowance(queue *Queue) crash.Allowance {
	if !d.crashes.HasContained(queue.Pool) {
		return crash.Allowance{}
	}
	allowance := d.crashes.Allowed(queue.Pool, queue.Name, d.poolWorkers(queue.Pool))
	if allowance.IsContained() || slices.ContainsFunc(d.sortedWorkers, func(w *worker) bool {
		return w.Pool == queue.Pool && w.isUp && w.isAttached && w.load.Accepts && allowance.Allows(w.id)
	}) {
		return allowance
	}
	return crash.Allowance{}
}

// competitors returns which waiting tasks of the pool may take capacity that a queue may use. While queues are contained, those of
// another queue may be confined to other workers, or held back.
func (d *Dispatcher) competitors(now time.Duration, queue *Queue) func(t *task) bool {
	if !d.crashes.HasContained(queue.Pool) {
		return func(*task) bool { return true }
	}
	own, known := d.allowance(queue), map[string]bool{queue.Name: true}
	return func(t *task) bool {
		other := &t.job.Queue
		competes, isKnown := known[other.Name]
		if !isKnown {
			allowance := d.allowance(other)
			competes = slices.ContainsFunc(d.sortedWorkers, func(w *worker) bool {
				return w.Pool == queue.Pool && w.isUp && w.isAttached && w.load.Accepts && own.Allows(w.id) && allowance.Allows(w.id)
			})
			known[other.Name] = competes
		}
		return competes && (other.Name == queue.Name || !d.isHeldBack(now, t))
	}
}

// isExclusive reports whether a task may run only beside tasks of its own job, which shows whether it ends its workers or was
// beside a task that did.
func (d *Dispatcher) isExclusive(t *task) bool {
	return d.crashes.Task(t.name).MustRunAlone()
}

// isHeldBack reports whether a task waits until no worker that is left to its queue has ended for a while, or until the crashes under it
// are confirmed.
func (d *Dispatcher) isHeldBack(now time.Duration, t *task) bool {
	history := d.crashes.Task(t.name)
	return history.AwaitsConfirmation() || history.IsSuspect && now < d.crashes.CalmAt(t.job.Queue.Pool, t.job.Queue.Name)
}

// endAfterLoss gives up a task whose run was lost if the crashes that are known of it say so, and reports whether it has. The run itself
// may have been lost for another reason.
func (d *Dispatcher) endAfterLoss(now time.Duration, t *task) bool {
	j, history := t.job, d.crashes.Task(t.name)
	if history.Crashes == 0 {
		return false
	}
	if history.IsGivenUp() {
		d.giveUp(now, t)
		return true
	}
	if d.isHeldBack(now, t) && d.isHopelessUntilCalm(j) {
		d.abandon(now, j, GivenUp, WorkersCrashed)
		return true
	}
	return false
}

// giveUp fails the job of a task that has ended its workers.
func (d *Dispatcher) giveUp(now time.Duration, t *task) {
	d.note(Note{Kind: TaskGivenUp, RunID: t.id(), Worker: t.run.worker, Count: d.crashes.Task(t.name).Crashes})
	if t.job.IsStored {
		d.recordGivenUp(t)
		return
	}
	d.abandon(now, t.job, JobFailed, WorkersCrashed)
}

// endGivenUp fails the jobs of waiting tasks whose crashes have been confirmed.
func (d *Dispatcher) endGivenUp(now time.Duration) {
	for _, t := range slices.Clone(d.waiting) {
		if t.state == waiting && d.jobs[t.job.ID] == t.job && d.crashes.Task(t.name).IsGivenUp() {
			d.giveUp(now, t)
		}
	}
}

// recordGivenUp has control record that a stored task has failed as often as its queue allows, under run numbers that are
// not used. The job fails once that is recorded.
func (d *Dispatcher) recordGivenUp(t *task) {
	t.state = exhausted
	for n := range max(1, t.job.Queue.Attempts) {
		id := work.RunID{Task: t.name, Run: t.run.number + uint32(n)}
		d.effects.Records = append(d.effects.Records, Record{RunID: id, IsFailure: true})
	}
}

// learnCrashes applies the crashes that control has recorded of a stored job's tasks.
func (d *Dispatcher) learnCrashes(now time.Duration, j *job, progress []TaskProgress) {
	for t, recorded := range j.progressByTask(progress) {
		d.crashes.Learn(now, t.name, recorded.Crashes)
	}
}

// isHopelessUntilCalm reports whether a job's deadline passes before it could end if a task of it is held back.
func (d *Dispatcher) isHopelessUntilCalm(j *job) bool {
	return j.deadline != 0 && d.crashes.CalmAt(j.Queue.Pool, j.Queue.Name)+j.longestChain() > j.deadline
}

// endHopeless answers the jobs that can't end before their deadlines: because a task that was lost with its worker would have to
// start again too late, or, in contained queues, because a task is held back until then, or because all workers of the queue are
// down and none is expected back in time.
func (d *Dispatcher) endHopeless(now time.Duration) {
	for _, j := range d.sortedJobs() {
		if d.isTooLateToRepeat(now, j) {
			d.abandon(now, j, GivenUp, WorkersCrashed)
			continue
		}
		if j.deadline == 0 || !d.crashes.IsContained(j.Queue.Pool, j.Queue.Name) || !j.isWaiting() {
			continue
		}
		if d.isHopelessUntilCalm(j) && slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state == waiting && d.isHeldBack(now, t) }) {
			d.abandon(now, j, GivenUp, WorkersCrashed)
			continue
		}
		next := d.crashes.NextReturn(j.Queue.Pool, j.Queue.Name)
		if next > 0 && max(now, next)+j.longestChain() > j.deadline && !d.hasWorker(&j.Queue) {
			d.abandon(now, j, GivenUp, Contained)
		}
	}
}

// isTooLateToRepeat reports whether a task that was lost with its worker waits, and would end after its job's deadline even if it
// started now.
func (d *Dispatcher) isTooLateToRepeat(now time.Duration, j *job) bool {
	return j.deadline != 0 && slices.ContainsFunc(j.tasks, func(t *task) bool {
		return t.state == waiting && now+j.stepOf(t).expected > j.deadline && d.crashes.Task(t.name).Crashes > 0
	})
}

// isWaiting reports whether a task of the job waits for a worker.
func (j *job) isWaiting() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state == waiting })
}

// hasWorker reports whether any worker that a queue may use accepts tasks.
func (d *Dispatcher) hasWorker(queue *Queue) bool {
	allowance := d.allowance(queue)
	return slices.ContainsFunc(d.sortedWorkers, func(w *worker) bool {
		return w.Pool == queue.Pool && w.isUp && w.isAttached && w.load.Accepts && allowance.Allows(w.id)
	})
}

// answerAfterCrashes returns the answer to a job that was submitted before, perhaps at another entry, and that workers have
// ended under since; nil if it is tried.
func (d *Dispatcher) answerAfterCrashes(now time.Duration, j *job) *Answer {
	for _, t := range j.tasks {
		if d.crashes.Task(t.name).IsGivenUp() {
			return &Answer{Result: JobFailed, Cause: WorkersCrashed}
		}
	}
	if d.isHopelessUntilCalm(j) && slices.ContainsFunc(j.tasks, func(t *task) bool { return d.isHeldBack(now, t) }) {
		return &Answer{Result: GivenUp, Cause: WorkersCrashed, RetryAfter: minRetryAfter}
	}
	return nil
}

// ranBefore reports whether a worker is known to have run a task of the job, so that the job can't be refused as not run.
func (d *Dispatcher) ranBefore(j *job) bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return d.crashes.Task(t.name).Crashes > 0 })
}

// countDemand counts the work of a submitted job, accepted or not, towards its queue's share of the pool.
func (d *Dispatcher) countDemand(now time.Duration, j *job) {
	amount := 0.0
	for i := range j.Steps {
		step := &j.Steps[i]
		amount += float64(step.Count) * j.steps[i].expected.Seconds() * float64(step.Needs.MilliCores+step.Needs.MemoryMB)
	}
	d.crashes.Demanded(now, j.Queue.Pool, j.Queue.Name, amount)
}

// exclusiveWait returns how long a job would wait for the worker to have nothing else.
func (w *worker) exclusiveWait(now, slack time.Duration) time.Duration {
	if w.committed() == (work.Needs{}) {
		return 0
	}
	reported := time.Duration(w.load.WaitMS[work.SlackLevel(slack.Milliseconds())]) * time.Millisecond
	wait := max(minimalWait, reported-(now-w.loadAt))
	for _, p := range w.pending {
		wait += p.expected
	}
	return wait
}

const (
	// trialWorkers is how many workers run tasks that must run alone. Such a task takes a whole worker, for which the worker has to
	// become idle first; on more of them, the tasks of one crash would take the pool from all others.
	trialWorkers = 2
	// maxTrialWait is how long such a task may wait at its worker.
	maxTrialWait = 2 * time.Second
)

// chooseExclusive returns the worker of the candidates that a task is to share with its own job only: the one that has tasks
// of the job already, as long as they fit, or else the trial worker that is expected to be free first. All entries that know
// the same workers use the same trial workers.
func (d *Dispatcher) chooseExclusive(now time.Duration, t *task) choice {
	var best choice
	for n, w := range d.rankedCandidates(t.job.Queue.Pool) {
		own := t.job.needsAt(w.id)
		if own != (work.Needs{}) && own.Plus(t.step.Needs).FitsIn(w.Capacity) {
			return choice{worker: w}
		}
		wait := w.exclusiveWait(now, d.rank(now, t))
		if n < trialWorkers && own == (work.Needs{}) && (best.worker == nil || wait < best.wait) {
			best = choice{worker: w, wait: wait, cost: wait}
		}
	}
	return best
}

// rankedCandidates returns the candidates in the order in which they are used for tasks that must run alone.
func (d *Dispatcher) rankedCandidates(pool string) []*worker {
	ranked := slices.Clone(d.candidates)
	slices.SortFunc(ranked, func(a, b *worker) int { return crash.CompareRank(pool, a.id, b.id) })
	return ranked
}

// needsAt returns the total needs of the job's tasks at a worker.
func (j *job) needsAt(worker string) work.Needs {
	var total work.Needs
	for _, t := range j.tasks {
		if t.run.worker == worker && (t.state == offered || t.state == started) {
			total = total.Plus(t.step.Needs)
		}
	}
	return total
}
