package dispatch

import (
	"time"
)

const (
	// otherDataCentreCost is added to a task's expected time on a worker in another data centre: the network round trip.
	otherDataCentreCost = 3 * time.Millisecond
	// occupancyCost is added on a worker that is full, and in proportion on others: estimates of run times are rough,
	// and the more runs a worker has, the sooner one of them delays another.
	occupancyCost = 30 * time.Millisecond
	// waitWeight and waitCost prefer a worker with free capacity to a faster one without: a waiting task delays others,
	// and predicted waits tend to be too short.
	waitWeight = 3
	waitCost   = 40 * time.Millisecond
	// avoidCost is added on the worker in task.avoid.
	avoidCost = 2 * time.Second
)

// choice is a worker for a task, with the times expected there.
type choice struct {
	worker *worker
	wait   time.Duration
	// cost is the expected time until the end, plus penalties.
	cost time.Duration
}

// choose returns a worker on which the task is expected to end soon, or a nil worker if none suits. It takes the best of
// a small random sample: comparing costs spreads the load over workers of unequal size and speed, and sampling keeps
// many entries from all choosing the worker that looks best before they see each other's tasks there.
func (d *Dispatcher) choose(now time.Duration, t *task, isExclusive bool) choice {
	d.candidates = d.candidates[:0]
	progress := t.job.stepOf(t)
	allowance := d.allowance(&t.job.Queue)
	for _, w := range d.sortedWorkers {
		if !allowance.Allows(w.id) {
			continue
		}
		if !w.suits(t.job.Queue.Pool, t.step) || w.ejected && !w.onProbation || w.onProbation && len(w.pending) > 0 {
			continue
		}
		if limit := t.step.MaxPerWorker; limit > 0 && progress.perWorker[w.id] >= limit {
			continue
		}
		d.candidates = append(d.candidates, w)
	}
	if isExclusive {
		return d.chooseExclusive(now, t)
	}
	return d.bestCandidate(now, t, d.narrow(now, t))
}

// narrow returns how many of the candidates are compared for a task, and drops those without free capacity if the others come first.
func (d *Dispatcher) narrow(now time.Duration, t *task) int {
	placement := &d.limits.Policy.Placement
	if t.step.DataRack != "" {
		// Few workers are near the data; a sample would miss them.
		return len(d.candidates)
	}
	if placement.FreeFirst && d.shares(&t.job.Queue) {
		if n := d.freeFirst(now, t); n > 0 {
			d.candidates = d.candidates[:n]
			return min(placement.SampledWorkers, placement.SampledFreeWorkers)
		}
	}
	return placement.SampledWorkers
}

// sample returns the given number of candidates at random.
func (d *Dispatcher) sample(count int) []*worker {
	count = min(count, len(d.candidates))
	for n := range count {
		other := n + d.random.IntN(len(d.candidates)-n)
		d.candidates[n], d.candidates[other] = d.candidates[other], d.candidates[n]
	}
	return d.candidates[:count]
}

func (d *Dispatcher) evaluate(now time.Duration, t *task, w *worker, expected time.Duration) choice {
	wait := w.expectedWait(now, t.step.Needs, d.rank(now, t))
	runTime := d.expectedRunTime(t, w, expected)
	cost := waitWeight*wait + runTime + time.Duration(float64(occupancyCost)*min(1, w.committed().ShareOf(w.Capacity)))
	if wait > 0 {
		cost += waitCost
	}
	if !w.sameDataCentre {
		cost += otherDataCentreCost
	}
	if d.shares(&t.job.Queue) && now+wait+runTime > t.job.objective {
		// A long task waits for a fast worker rather than start on a slow one.
		cost += d.limits.Policy.Placement.LateCost()
	}
	if t.avoid == w.id {
		cost += avoidCost
	}
	return choice{worker: w, wait: wait, cost: cost}
}

// expectedRunTime returns how long a task is expected to run on a worker.
func (d *Dispatcher) expectedRunTime(t *task, w *worker, expected time.Duration) time.Duration {
	runTime := time.Duration(float64(expected) / w.currentSpeed())
	if t.step.DataRack != "" && !w.hasLabel(t.step.DataRack) {
		runTime = time.Duration(float64(runTime) * d.limits.RemoteDataFactor)
	}
	return runTime
}

// slowRunTimePercent is the measured run time, in percent of the expected one, from which a worker counts as slow: it is
// beyond the errors of estimates.
const slowRunTimePercent = 200

// currentSpeed returns the worker's learned speed, or its measured speed if it has become slow.
func (w *worker) currentSpeed() float64 {
	if w.load.RunTimePercent >= slowRunTimePercent {
		return min(w.speed, 100/float64(w.load.RunTimePercent))
	}
	return w.speed
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
