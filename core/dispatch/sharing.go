package dispatch

import (
	"maps"
	"slices"
	"time"

	"flamingohall.example/core/share"
	"flamingohall.example/core/work"
)

// sharedPool is the state of a pool whose queues share its capacity.
type sharedPool struct {
	meter  share.Meter
	spares share.Spares
	// backlog is this entry's backlog, as of backlogAt.
	backlog   work.Backlog
	backlogAt time.Duration
	// isShedding is true from the first job that is shed until none was for shedQuietPeriod. shed counts them, the last at shedAt.
	isShedding bool
	shed       int
	shedAt     time.Duration
	// usedAt is when the last job of a queue that shares the pool arrived.
	usedAt time.Duration
}

const (
	// backlogInterval is the least time between two computations of a backlog, which pass over all tasks of the entry.
	backlogInterval = 5 * time.Millisecond
	// loadRetention is how long a load counts for the backlog of all entries.
	loadRetention = 500 * time.Millisecond
	// shedQuietPeriod is the time without a shed job after which shedding has ended. It is longer than the pauses between the peaks of
	// a burst, so that the log has one line for each burst.
	shedQuietPeriod = time.Second
	// sharingRetention is how long a pool counts as shared after its last job of a queue that shares it.
	sharingRetention = 5 * time.Second
	// maxFreeShare is the largest share of a pool's places for a job's tasks that may be free when a job is refused for the backlog. Loads are
	// some tens of milliseconds old, and in this time about as many places are taken and given back.
	maxFreeShare = 0.1
)

// shares reports whether a queue shares the capacity of its pool.
func (d *Dispatcher) shares(queue *Queue) bool {
	return queue.IsShared && d.hasSharing()
}

// hasSharing reports whether there are enough entries for sharing. With fewer, each entry offers a large part of the pool's work itself and
// gets loads at the shortest interval of the sidecars (fewEntries in core/runner), so that its own forecast holds.
func (d *Dispatcher) hasSharing() bool {
	least := d.limits.Policy.Sharing.MinEntries
	return least > 0 && d.entries >= least
}

// shared returns the state of a pool for a job of a queue that shares it, and creates it with the first one; nil if the queue doesn't
// share its pool.
func (d *Dispatcher) shared(now time.Duration, queue *Queue) *sharedPool {
	if !d.shares(queue) {
		return nil
	}
	p := d.pools[queue.Pool]
	if p == nil {
		p = &sharedPool{}
		d.pools[queue.Pool] = p
	}
	p.usedAt = now
	return p
}

// countStart counts the start of a task towards the rate at which the pool's work starts.
func (d *Dispatcher) countStart(now time.Duration, t *task) {
	if p := d.pools[t.job.Queue.Pool]; p != nil {
		p.meter.Started(now, t.step.Needs)
	}
}

// reportBacklogs updates the backlogs of this entry and adds them to frames that are sent to sidecars anyway. Pools that are no longer
// shared are forgotten; then loads contain no backlogs and speeds any more.
func (d *Dispatcher) reportBacklogs(now time.Duration) {
	maps.DeleteFunc(d.pools, func(_ string, p *sharedPool) bool {
		return !p.isShedding && (!d.hasSharing() || now-p.usedAt > sharingRetention)
	})
	for name, p := range d.pools {
		d.updateBacklog(now, name, p)
	}
	if len(d.pools) == 0 {
		return
	}
	for _, w := range d.sortedWorkers {
		if w.frame.Echo == 0 && len(w.frame.Offers) == 0 {
			continue
		}
		if p := d.pools[w.Pool]; p != nil {
			backlog := p.backlog
			w.frame.Backlog = &backlog
		}
	}
}

// updateBacklog sums up what waits for its start. Tasks of contained queues wait for the few workers that these may use, whatever the
// others do.
func (d *Dispatcher) updateBacklog(now time.Duration, pool string, p *sharedPool) {
	if p.backlogAt != 0 && now < p.backlogAt+backlogInterval {
		return
	}
	var waits work.Needs
	for _, t := range d.tasks {
		if (t.state == waiting || t.state == offered) && !t.job.isLateWork && t.job.Queue.Pool == pool && !d.crashes.IsContained(pool, t.job.Queue.Name) {
			waits = waits.Plus(t.step.Needs)
		}
	}
	p.backlog, p.backlogAt = p.meter.Report(now, waits), now
}

// backlogWait returns how long a task waits for its start, by the backlogs of all entries. Each sidecar returns the sum over the
// entries that reported to it lately; the sum over many sidecars has the same ratio of waiting work to rate as all entries
// together. Without any such report, the entry judges by its own backlog.
func (d *Dispatcher) backlogWait(now time.Duration, pool string, p *sharedPool) time.Duration {
	var all work.Backlog
	for _, w := range d.sortedWorkers {
		if w.Pool == pool && w.isUp && w.isAttached && w.reportedAt != 0 && now-w.reportedAt <= loadRetention {
			all = all.Plus(w.load.Backlog)
		}
	}
	if all == (work.Backlog{}) {
		all = p.backlog
	}
	return share.Wait(all)
}

// shed returns the refusal of a job that would make others late, or nil. While the loads show capacity for tasks of its size, nothing
// is refused.
func (d *Dispatcher) shed(now time.Duration, j *job) *Answer {
	p := d.shared(now, &j.Queue)
	if p == nil {
		return nil
	}
	p.spares.Observe(now, j.Queue.Name, j.span()-j.longestChain())
	wait := d.backlogWait(now, j.Queue.Pool, p)
	part := share.RefusedPart(wait, p.spares.Least(now), j.Queue.Priority)
	if part == 0 || d.random.Float64() >= part || d.hasCapacity(now, j) {
		return nil
	}
	if !p.isShedding {
		p.isShedding, p.shed = true, 0
		d.note(Note{Kind: SheddingBegan, Reason: j.Queue.Pool, Age: wait})
	}
	p.shed, p.shedAt = p.shed+1, now
	j.trace.PredictedWait = wait
	answer := &Answer{Result: Refused, Cause: Overloaded, RetryAfter: share.RetryAfter(part, j.Queue.Priority, d.random.Float64())}
	if d.ranBefore(j) {
		answer.Result = GivenUp
	}
	return answer
}

// noteSheddingEnds logs the end of shedding.
func (d *Dispatcher) noteSheddingEnds(now time.Duration) {
	var quiet []string
	for name, p := range d.pools {
		if p.isShedding && now >= p.shedAt+shedQuietPeriod {
			quiet = append(quiet, name)
		}
	}
	slices.Sort(quiet)
	for _, name := range quiet {
		d.pools[name].isShedding = false
		d.note(Note{Kind: SheddingEnded, Reason: name, Count: d.pools[name].shed})
	}
}

// hasCapacity reports whether more than maxFreeShare of the places that the pool has for tasks of the job's first steps are free, on
// workers that the job may use and on which it would be in time, less the places that this entry's waiting tasks take.
func (d *Dispatcher) hasCapacity(now time.Duration, j *job) bool {
	ahead := d.unreported(now, j)
	allowance := d.allowance(&j.Queue)
	for i := range j.Steps {
		step := &j.Steps[i]
		if len(step.After) > 0 || step.Needs == (work.Needs{}) {
			continue
		}
		free, places := -d.equivalentTasks(ahead, &j.Queue, step), 0
		for _, w := range d.sortedWorkers {
			if !w.suits(j.Queue.Pool, step) || w.ejected || !allowance.Allows(w.id) ||
				now+time.Duration(float64(j.steps[i].expected)/w.currentSpeed()) > j.objective {
				continue
			}
			atWorker := w.places(step.Needs)
			places += atWorker
			free += w.fittingTasks(step.Needs, atWorker)
		}
		if float64(free) <= maxFreeShare*float64(places) {
			return false
		}
	}
	return true
}

// places returns how many tasks of the given size fit on the idle worker.
func (w *worker) places(needs work.Needs) int {
	return int(1 / needs.ShareOf(w.Capacity))
}

// freeFirst moves the candidates to the front that have free capacity for a task and on which it ends in time, and returns their number.
// Near full load few workers have free capacity, and a small sample of all workers misses them: capacity stays idle while
// tasks wait elsewhere. The worker that the task should avoid is left out.
func (d *Dispatcher) freeFirst(now time.Duration, t *task) int {
	expected, count := t.job.stepOf(t).expected, 0
	for i, w := range d.candidates {
		if t.avoid != w.id && t.step.Needs.FitsIn(w.Capacity.Minus(w.committed())) && now+d.expectedRunTime(t, w, expected) <= t.job.objective {
			d.candidates[count], d.candidates[i] = w, d.candidates[count]
			count++
		}
	}
	return count
}

// spare returns how long the task's start on a worker may be delayed from now for its job to end in time. Unlike slack, it takes the
// worker's speed and the place of the data into account.
func (d *Dispatcher) spare(now time.Duration, t *task, w *worker) time.Duration {
	return t.job.objective - now - d.expectedRunTime(t, w, t.job.stepOf(t).expected)
}
