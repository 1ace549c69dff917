package dispatch

import (
	"cmp"
	"time"

	"flamingohall.example/core/work"
)

// Late work are jobs that can't end in time any more when they are submitted, because their callers had to wait for the start of
// this process. Load pattern: after a loss of everything, the callers of the whole outage return at the same moment, while new
// ones keep arriving at the usual rate. All at once, they would make the new ones late for as long as the outage lasted; refused,
// their callers get nothing although the pool has capacity left a moment later. So late work waits here, and takes only capacity
// that nobody else needs.

// admitLate decides whether a job is accepted as late work, and reports whether it is: if it can end before its caller leaves,
// after the late work that was accepted before it.
func (d *Dispatcher) admitLate(now time.Duration, j *job) bool {
	if j.IsStored || j.Waited == 0 || d.limits.Policy.Late.DrainShare == 0 || len(j.Steps) == 0 {
		return false
	}
	if j.deadline == 0 {
		j.isLateWork = true
		return true
	}
	entries := 1
	if d.limits.Policy.Admission.CountOtherEntries {
		entries = d.entries
	}
	ahead := d.lateWork(j.Queue.Pool) + j.work()
	capacity := d.poolCapacity(j.Queue.Pool).MilliCores
	if capacity == 0 {
		return false
	}
	share := d.limits.Policy.Late.DrainShare * float64(capacity)
	drained := now + time.Duration(float64(entries)*float64(ahead)/share*float64(time.Millisecond))
	j.isLateWork = drained+j.lateRunTime() <= j.deadline
	return j.isLateWork
}

// lateDelay is how long late work waits before its first offer. The callers of an outage are submitted together, and those who can
// still be in time take capacity first.
const lateDelay = 20 * time.Millisecond

// delayLateWork puts off the first offers of a job.
func (j *job) delayLateWork(now time.Duration) {
	for _, t := range j.tasks {
		t.retryAt = now + lateDelay
	}
}

// work returns the work of the job, in thousandths of a core times milliseconds.
func (j *job) work() int64 {
	var total int64
	for i := range j.Steps {
		step := &j.Steps[i]
		total += int64(step.Count) * step.Needs.MilliCores * j.steps[i].expected.Milliseconds()
	}
	return total
}

func (j *job) lateRunTime() time.Duration {
	return time.Duration(lateRunMargin * float64(j.longestChain()))
}

// lateWork returns the accepted late work of a pool that hasn't started yet, in thousandths of a core times milliseconds.
func (d *Dispatcher) lateWork(pool string) int64 {
	var total int64
	for _, t := range d.tasks {
		if t.job.isLateWork && (t.state == waiting || t.state == offered) && t.job.Queue.Pool == pool {
			total += t.step.Needs.MilliCores * t.job.stepOf(t).expected.Milliseconds()
		}
	}
	return total
}

// poolCapacity returns the capacity of the workers of a pool that accept tasks.
func (d *Dispatcher) poolCapacity(pool string) work.Needs {
	var all work.Needs
	for _, w := range d.sortedWorkers {
		if w.isUp && w.isAttached && w.load.Accepts && w.Pool == pool {
			all = all.Plus(w.Capacity)
		}
	}
	return all
}

// mayOfferLate reports whether a task of late work may be offered now: while the pool is not used beyond a share that leaves
// capacity for new jobs.
func (d *Dispatcher) mayOfferLate(pool string) bool {
	if d.noLateOffers[pool] {
		return false
	}
	var pending work.Needs
	if d.limits.Policy.Admission.CountOtherEntries {
		pending = d.pendingNeeds(pool).Times(int64(d.entries - 1))
	}
	if d.usedShare(pool, pending) > d.limits.Policy.Late.MaxUsedShare {
		// Late work comes last, so that the pool doesn't become less busy in this pass.
		d.noLateOffers[pool] = true
		return false
	}
	return true
}

// lateRunMargin is how many times its expected run time late work must have left to begin: estimates are wrong by about as much,
// and what has run of a job that doesn't end is lost.
const lateRunMargin = 1.5

// endHopelessLate answers the late work that would hardly end before its callers leave, even if it started now.
func (d *Dispatcher) endHopelessLate(now time.Duration) {
	if d.lateJobs == 0 {
		return
	}
	for _, j := range d.sortedJobs() {
		if j.isLateWork && !j.wasOffered() && j.deadline != 0 && now+j.lateRunTime() > j.deadline {
			d.abandon(now, j, GivenUp, DeadlinePassed)
		}
	}
}

// lateness returns the age of a job as a multiple of the time in which it should end.
func (j *job) lateness(now time.Duration) float64 {
	return float64(now-j.arrivedAt) / float64(j.objective-j.arrivedAt+1)
}

// compareWaiting orders the waiting tasks: those that can be in time first, by their jobs' objectives, and then late work. Of this,
// jobs come first that have begun, since work done for a job that doesn't end is lost, and then those that are the least late for
// the time in which they should have ended.
func compareWaiting(now time.Duration, a, b *task) int {
	switch {
	case a.job.isLateWork != b.job.isLateWork:
		if a.job.isLateWork {
			return 1
		}
		return -1
	case a.job.isLateWork && a.job.wasOffered() != b.job.wasOffered():
		if b.job.wasOffered() {
			return 1
		}
		return -1
	case a.job.isLateWork:
		return cmp.Or(cmp.Compare(a.job.lateness(now), b.job.lateness(now)), cmp.Compare(a.job.ID, b.job.ID))
	default:
		return cmp.Compare(a.job.objective, b.job.objective)
	}
}
