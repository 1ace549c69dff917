package dispatch

import (
	"maps"
	"slices"
	"time"
)

// stopTime is how long the stops of a job's tasks take at most while their sessions have connections.
const stopTime = 500 * time.Millisecond

// inProgress holds what this entry knows of jobs whose callers wait and whose tasks may run now, beside its own jobs.
// A caller that gets no answer in time submits its job again, maybe at another entry, while the first one still runs it.
type inProgress struct {
	// byEntry holds what other entries have reported, by the entry's ID.
	byEntry map[string]reportedJobs
	// ending holds until when tasks of jobs that this entry has given up may still run, by the job's key.
	ending map[uint64]time.Duration
}

// reportedJobs are the keys of jobs in progress at another entry. They count until then.
type reportedJobs struct {
	keys  []uint64
	until time.Duration
}

func newInProgress() inProgress {
	return inProgress{byEntry: map[string]reportedJobs{}, ending: map[uint64]time.Duration{}}
}

// holds reports whether tasks of the job with the key may run now.
func (p *inProgress) holds(now time.Duration, key uint64) bool {
	if now < p.ending[key] {
		return true
	}
	for _, reported := range p.byEntry {
		if now < reported.until && slices.Contains(reported.keys, key) {
			return true
		}
	}
	return false
}

// InProgress returns the keys of the jobs that may be running because of this entry and are not stored.
func (d *Dispatcher) InProgress(now time.Duration) []uint64 {
	var keys []uint64
	for _, j := range d.jobsByID {
		if !j.IsStored && j.wasOffered() {
			keys = append(keys, j.key)
		}
	}
	d.inProgress.dropEnded(now)
	return slices.AppendSeq(keys, maps.Keys(d.inProgress.ending))
}

// dropEnded forgets the jobs whose runs have ended.
func (p *inProgress) dropEnded(now time.Duration) {
	maps.DeleteFunc(p.ending, func(_ uint64, until time.Duration) bool { return now >= until })
}

// InProgressElsewhere handles the report of another entry, which replaces the one before. It counts for the given time: an
// entry that ended reports nothing more, and its tasks end with their grants.
func (d *Dispatcher) InProgressElsewhere(now time.Duration, entry string, keys []uint64, validFor time.Duration) {
	for other, reported := range d.inProgress.byEntry {
		if now >= reported.until {
			delete(d.inProgress.byEntry, other)
		}
	}
	d.inProgress.byEntry[entry] = reportedJobs{keys: keys, until: now + max(validFor, d.limits.Grant)}
}

// hold keeps a job that may be running because of an earlier submission. It gets that one's answer, or starts once no task of it
// can be running.
func (d *Dispatcher) hold(now time.Duration, s Submission) {
	j := newJob(now, s)
	d.estimate(j)
	j.objective = j.arrivedAt + j.span()
	j.isHeld = true
	d.heldJobs++
	d.add(j)
}

// startHeld starts the held jobs that are not running any more.
func (d *Dispatcher) startHeld(now time.Duration) {
	if d.heldJobs == 0 {
		return
	}
	for _, j := range d.jobsByID {
		if j.isHeld && !d.inProgress.holds(now, j.key) {
			j.isHeld = false
			d.heldJobs--
			d.waiting = append(d.waiting, j.unblock()...)
		}
	}
}

// noteEnding remembers until when tasks of a job that is given up may still run.
func (d *Dispatcher) noteEnding(now time.Duration, j *job) {
	if j.IsStored || !j.wasOffered() {
		return
	}
	until := now + stopTime
	for _, t := range j.tasks {
		switch t.state {
		case uncertain:
			until = max(until, t.run.endsBy)
		case offered, started:
			if w := d.workers[t.run.worker]; !w.isAttached {
				until = max(until, w.answeredAt+d.limits.Grant)
			}
		case blocked, waiting, finished, exhausted:
		}
	}
	d.inProgress.dropEnded(now)
	d.inProgress.ending[j.key] = until
}
