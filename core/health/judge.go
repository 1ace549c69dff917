package health

import (
	"sort"
	"time"
)

// State is what a judge thinks of a target.
type State uint8

// States. A target starts Healthy.
const (
	Healthy State = iota
	Ejected
	Probation
)

// Change is a new state of a target.
type Change struct {
	Target string
	State  State
}

const (
	// memory is how many tasks of a target and entry count; older ones fade.
	memory = 20
	// minSamples is how many tasks a target must have run before it is judged.
	minSamples = 5
	// minOthers is how many tasks others must have run of an entry for a comparison.
	minOthers = 3
	// excess is the share of its tasks that a target fails beyond what others would have failed.
	excess = 0.5
	// cappedPart is the part of a pool that may be set aside: one in so many.
	cappedPart = 4
	// firstEjection is how long a target is set aside for the first time.
	firstEjection = 2 * time.Second
	maxEjection   = time.Minute
	// trialSuccesses bring a target back.
	trialSuccesses = 3
)

// tally counts tasks with fading weight.
type tally struct {
	runs  float64
	fails float64
}

func (t *tally) add(failed bool) {
	const fade = 1 - 1.0/memory
	t.runs = t.runs*fade + 1
	t.fails *= fade
	if failed {
		t.fails++
	}
}

type targetRecord struct {
	pool      string
	state     State
	entries   map[string]*tally
	until     time.Time
	ejection  time.Duration
	successes int
}

// OutlierDetector keeps the tallies. It is not safe for concurrent use.
type OutlierDetector struct {
	targets map[string]*targetRecord
}

// NewOutlierDetector returns a judge that thinks well of all.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{targets: map[string]*targetRecord{}}
}

// Observe takes the end of one task in and returns the target's new state, if it changed.
func (j *OutlierDetector) Observe(now time.Time, pool, target, entry string, failed bool) (Change, bool) {
	t := j.targets[target]
	if t == nil {
		t = &targetRecord{pool: pool, entries: map[string]*tally{}}
		j.targets[target] = t
	}
	if t.state == Probation {
		return j.tried(now, target, t, failed)
	}
	counted := t.entries[entry]
	if counted == nil {
		counted = &tally{}
		t.entries[entry] = counted
	}
	counted.add(failed)
	if !failed || t.state != Healthy || !j.isBad(target, t) || !j.mayEject(pool) {
		return Change{}, false
	}
	return j.eject(now, target, t), true
}

func (j *OutlierDetector) tried(now time.Time, target string, t *targetRecord, failed bool) (Change, bool) {
	if failed {
		return j.eject(now, target, t), true
	}
	t.successes++
	if t.successes < trialSuccesses {
		return Change{}, false
	}
	t.state = Healthy
	t.entries = map[string]*tally{}
	return Change{Target: target, State: Healthy}, true
}

func (j *OutlierDetector) eject(now time.Time, target string, t *targetRecord) Change {
	t.ejection = min(maxEjection, max(firstEjection, 2*t.ejection))
	t.until = now.Add(t.ejection)
	t.state = Ejected
	t.successes = 0
	return Change{Target: target, State: Ejected}
}

// isBad compares a target's failures with those that the others would have had with the same work.
func (j *OutlierDetector) isBad(target string, t *targetRecord) bool {
	var runs, fails, expected float64
	for entry, counted := range t.entries {
		runs += counted.runs
		fails += counted.fails
		expected += counted.runs * j.othersFail(target, entry)
	}
	return runs >= minSamples && fails-expected >= excess*runs
}

// othersFail returns the share that other targets fail of an entry; 1 when too few ran it to compare.
func (j *OutlierDetector) othersFail(target, entry string) float64 {
	var others tally
	for name, t := range j.targets {
		counted := t.entries[entry]
		if name == target || counted == nil || t.state != Healthy {
			continue
		}
		others.runs += counted.runs
		others.fails += counted.fails
	}
	if others.runs < minOthers {
		return 1
	}
	return others.fails / others.runs
}

// mayEject reports whether another target of the pool may be set aside.
func (j *OutlierDetector) mayEject(pool string) bool {
	all, aside := 0, 0
	for _, t := range j.targets {
		if t.pool != pool {
			continue
		}
		all++
		if t.state != Healthy {
			aside++
		}
	}
	return aside < max(1, all/cappedPart) && all > 1
}

// Advance returns the targets whose time aside is over: they are on trial now.
func (j *OutlierDetector) Advance(now time.Time) []Change {
	var changes []Change
	for name, t := range j.targets {
		if t.state == Ejected && !now.Before(t.until) {
			t.state = Probation
			changes = append(changes, Change{Target: name, State: Probation})
		}
	}
	sort.Slice(changes, func(i, k int) bool { return changes[i].Target < changes[k].Target })
	return changes
}

// Forget drops a target that has gone.
func (j *OutlierDetector) Forget(target string) {
	delete(j.targets, target)
}
