package dispatch

import (
	"slices"
	"time"

	"flamingohall.example/core/work"
)

// inProgress holds what this entry knows of jobs whose callers wait and whose tasks may run now, beside its own jobs.
// A caller that gets no answer in time submits its job again, maybe at another entry, while the first one still runs it.
type inProgress struct {
	// byEntry holds what other entries have reported, by the entry's ID.
	byEntry map[string]reportedJobs
	// ending holds the runs of jobs that this entry has given up, by the job's key.
	ending map[uint64]*endingRuns
	// keys holds the job's key of each of these runs.
	keys map[work.RunID]uint64
}

// endingRuns are the runs of a job that has been given up, until their ends are known.
type endingRuns struct {
	// workers are those of the runs whose ends or refusals their sidecars have not reported.
	workers map[work.RunID]string
	// until is when the runs of ended sessions are over.
	until time.Duration
}

func (e *endingRuns) isOver(now time.Duration) bool {
	return len(e.workers) == 0 && now >= e.until
}

// reportedJobs are the keys of jobs in progress at another entry. They count until then.
type reportedJobs struct {
	keys  []uint64
	until time.Duration
}

func newInProgress() inProgress {
	return inProgress{byEntry: map[string]reportedJobs{}, ending: map[uint64]*endingRuns{}, keys: map[work.RunID]uint64{}}
}

// holds reports whether tasks of the job with the key may run now.
func (p *inProgress) holds(now time.Duration, key uint64) bool {
	if ending := p.ending[key]; ending != nil && !ending.isOver(now) {
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
	for key := range d.inProgress.ending {
		keys = append(keys, key)
	}
	return keys
}

// dropEnded forgets the jobs whose runs have ended.
func (p *inProgress) dropEnded(now time.Duration) {
	for key, ending := range p.ending {
		if ending.isOver(now) {
			delete(p.ending, key)
		}
	}
}

// runOver handles the report of a worker's sidecar that a run has ended, or has not started and never will.
func (p *inProgress) runOver(worker string, run work.RunID) {
	ending := p.ending[p.keys[run]]
	if ending == nil || ending.workers[run] != worker {
		return
	}
	delete(ending.workers, run)
	delete(p.keys, run)
}

// sessionEnded handles the end of a session, after which no ends are reported. Its runs are over at the given time.
func (p *inProgress) sessionEnded(worker string, overAt time.Duration) {
	for _, ending := range p.ending {
		for run, at := range ending.workers {
			if at == worker {
				ending.until = max(ending.until, overAt)
				p.runOver(worker, run)
			}
		}
	}
}

// addWorkers adds the workers at which the end of any run is awaited.
func (p *inProgress) addWorkers(workers map[string]bool) {
	for _, ending := range p.ending {
		for _, at := range ending.workers {
			workers[at] = true
		}
	}
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

// noteEnding remembers the runs of a job that is given up. Their stops may take as long as their sidecars get no answers from the
// workers, which hold leases meanwhile.
func (d *Dispatcher) noteEnding(now time.Duration, j *job) {
	if j.IsStored || !j.wasOffered() {
		return
	}
	d.inProgress.dropEnded(now)
	ending := d.inProgress.ending[j.key]
	if ending == nil {
		ending = &endingRuns{workers: map[work.RunID]string{}}
		d.inProgress.ending[j.key] = ending
	}
	for _, t := range j.tasks {
		switch t.state {
		case uncertain:
			ending.until = max(ending.until, t.run.endsBy)
		case offered, started:
			ending.workers[t.id()] = t.run.worker
			d.inProgress.keys[t.id()] = j.key
		case blocked, waiting, finished, exhausted:
		}
	}
}
