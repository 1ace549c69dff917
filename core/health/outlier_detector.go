package health

import (
	"sort"
	"time"
)

// State is the detector's classification of a target.
type State uint8

// States. A target starts Healthy.
const (
	Healthy State = iota
	Ejected
	Probation
)

// Change is a target's transition to a new state.
type Change struct {
	Target string
	State  State
}

const (
	// windowTasks is the number of tasks of a target and entry after which a task has lost about two thirds of its weight.
	windowTasks = 20
	// minSamples is the number of tasks that a target must have run before it can be ejected.
	minSamples = 5
	// minOtherSamples is the number of an entry's tasks that other targets must have run for a comparison.
	minOtherSamples = 3
	// excessThreshold is the share of a target's tasks that it must fail, beyond the share that other targets would have
	// failed, to be ejected.
	excessThreshold = 0.5
	// maxEjectedDivisor limits the targets of a pool that are ejected or on probation at a time: to the number of targets
	// divided by it, but at least one. The only target of a pool is never ejected.
	maxEjectedDivisor = 4
	// firstEjection is the duration of a target's first ejection. Each further one lasts twice as long, up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = time.Minute
	// probationSuccesses is the number of successes that end a probation.
	probationSuccesses = 3
)

// tally counts tasks with exponentially decaying weight.
type tally struct {
	runs  float64
	fails float64
}

func (t *tally) add(failed bool) {
	const decay = 1 - 1.0/windowTasks
	t.runs = t.runs*decay + 1
	t.fails *= decay
	if failed {
		t.fails++
	}
}

type targetRecord struct {
	pool         string
	state        State
	entries      map[string]*tally
	ejectedUntil time.Time
	ejection     time.Duration
	successes    int
}

// OutlierDetector ejects targets that fail far more than others. It is not safe for concurrent use.
type OutlierDetector struct {
	targets map[string]*targetRecord
}

// NewOutlierDetector returns a detector without any observations.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{targets: map[string]*targetRecord{}}
}

// Observe records the end of one task and returns the target's new state and true if the state changed.
func (d *OutlierDetector) Observe(now time.Time, pool, target, entry string, failed bool) (Change, bool) {
	t := d.targets[target]
	if t == nil {
		t = &targetRecord{pool: pool, entries: map[string]*tally{}}
		d.targets[target] = t
	}
	if t.state == Probation {
		return d.observeProbation(now, target, t, failed)
	}
	counted := t.entries[entry]
	if counted == nil {
		counted = &tally{}
		t.entries[entry] = counted
	}
	counted.add(failed)
	if !failed || t.state != Healthy || !d.isOutlier(target, t) || !d.mayEject(pool) {
		return Change{}, false
	}
	return d.eject(now, target, t), true
}

func (d *OutlierDetector) observeProbation(now time.Time, target string, t *targetRecord, failed bool) (Change, bool) {
	if failed {
		return d.eject(now, target, t), true
	}
	t.successes++
	if t.successes < probationSuccesses {
		return Change{}, false
	}
	t.state = Healthy
	t.entries = map[string]*tally{}
	return Change{Target: target, State: Healthy}, true
}

func (d *OutlierDetector) eject(now time.Time, target string, t *targetRecord) Change {
	t.ejection = min(maxEjection, max(firstEjection, 2*t.ejection))
	t.ejectedUntil = now.Add(t.ejection)
	t.state = Ejected
	t.successes = 0
	return Change{Target: target, State: Ejected}
}

// isOutlier compares a target's failures with those that the others would have had with the same tasks.
func (d *OutlierDetector) isOutlier(target string, t *targetRecord) bool {
	var runs, fails, expected float64
	for entry, counted := range t.entries {
		runs += counted.runs
		fails += counted.fails
		expected += counted.runs * d.otherFailureRate(target, entry)
	}
	return runs >= minSamples && fails-expected >= excessThreshold*runs
}

// otherFailureRate returns the share of an entry's tasks that the other healthy targets fail; 1 if they ran too few of
// them to compare.
func (d *OutlierDetector) otherFailureRate(target, entry string) float64 {
	var others tally
	for name, t := range d.targets {
		counted := t.entries[entry]
		if name == target || counted == nil || t.state != Healthy {
			continue
		}
		others.runs += counted.runs
		others.fails += counted.fails
	}
	if others.runs < minOtherSamples {
		return 1
	}
	return others.fails / others.runs
}

// mayEject reports whether one more target of the pool may be ejected.
func (d *OutlierDetector) mayEject(pool string) bool {
	total, ejected := 0, 0
	for _, t := range d.targets {
		if t.pool != pool {
			continue
		}
		total++
		if t.state != Healthy {
			ejected++
		}
	}
	return ejected < max(1, total/maxEjectedDivisor) && total > 1
}

// Advance puts the targets whose ejection has ended on probation and returns them.
func (d *OutlierDetector) Advance(now time.Time) []Change {
	var changes []Change
	for name, t := range d.targets {
		if t.state == Ejected && !now.Before(t.ejectedUntil) {
			t.state = Probation
			changes = append(changes, Change{Target: name, State: Probation})
		}
	}
	sort.Slice(changes, func(i, k int) bool { return changes[i].Target < changes[k].Target })
	return changes
}

// Forget drops the state of a removed target.
func (d *OutlierDetector) Forget(target string) {
	delete(d.targets, target)
}
