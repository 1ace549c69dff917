package dispatch

import (
	"time"
)

const (
	// otherZoneCost is added to a task's expected time on a worker in another data centre: the way there and back.
	otherZoneCost = 3 * time.Millisecond
	// occupancyCost is added on a worker that is full, and in proportion on others: estimates of run times are rough,
	// and the more runs on a worker the sooner one of them keeps another waiting.
	occupancyCost = 30 * time.Millisecond
	// waitWeight and waitCost make a worker with room be preferred to a faster one without: a task that waits keeps others
	// waiting, and forecasts of waits err on the short side.
	waitWeight = 3
	waitCost   = 40 * time.Millisecond
	// drawnWorkers is how many workers are compared for a task: with more, entries choose alike and fill the same worker;
	// with fewer, room is missed. TestPool holds it.
	drawnWorkers = 4
	// avoidCost is added on the worker that failed the task last.
	avoidCost = 2 * time.Second
	// remoteDataFactor is how much longer a task takes away from its data.
	remoteDataFactor = 1.5
)

// choice is a worker for a task with the times expected there.
type choice struct {
	worker *worker
	wait   time.Duration
	// cost is the time until the end, and what else counts against the worker.
	cost time.Duration
}

// choose returns a worker on which the task is expected to end soon. It answers loads in which workers of unequal size and
// speed fill up unevenly, and many entries, which would all take the worker that looks best before they see each other's
// tasks there: the best of a few that are drawn is taken. The worker is nil when none suits.
func (d *Dispatcher) choose(now time.Duration, t *task) choice {
	d.candidates = d.candidates[:0]
	progress := t.job.stepOf(t)
	for _, w := range d.order {
		if !w.suits(t.job.Queue.Pool, t.step) || w.aside && !w.onTrial || w.onTrial && len(w.pending) > 0 {
			continue
		}
		if limit := t.step.MaxPerWorker; limit > 0 && progress.perWorker[w.id] >= limit {
			continue
		}
		d.candidates = append(d.candidates, w)
	}
	count := drawnWorkers
	if t.step.DataRack != "" {
		// Few workers are near the data; a draw would miss them.
		count = len(d.candidates)
	}
	var best choice
	for _, w := range d.draw(count) {
		if made := d.evaluate(now, t, w, progress.expected); best.worker == nil || made.cost < best.cost {
			best = made
		}
	}
	return best
}

// draw returns some of the candidates at random.
func (d *Dispatcher) draw(count int) []*worker {
	count = min(count, len(d.candidates))
	for n := range count {
		other := n + d.random.IntN(len(d.candidates)-n)
		d.candidates[n], d.candidates[other] = d.candidates[other], d.candidates[n]
	}
	return d.candidates[:count]
}

func (d *Dispatcher) evaluate(now time.Duration, t *task, w *worker, expected time.Duration) choice {
	wait := w.expectedWait(now, t.step.Needs, t.rank(now))
	runs := time.Duration(float64(expected) / w.presentSpeed())
	if t.step.DataRack != "" && !w.hasLabel(t.step.DataRack) {
		runs = time.Duration(float64(runs) * remoteDataFactor)
	}
	cost := waitWeight*wait + runs + time.Duration(float64(occupancyCost)*min(1, w.committed().ShareOf(w.Capacity)))
	if wait > 0 {
		cost += waitCost
	}
	if !w.sameZone {
		cost += otherZoneCost
	}
	if t.avoid == w.id {
		cost += avoidCost
	}
	return choice{worker: w, wait: wait, cost: cost}
}

// slowPace is the pace, in percent, from which on a worker counts as slowed at present: beyond the errors of estimates.
const slowPace = 200

// presentSpeed returns the speed that was learned, or the present one of a worker that has become slow.
func (w *worker) presentSpeed() float64 {
	if w.load.RunTimePercent >= slowPace {
		return min(w.speed, 100/float64(w.load.RunTimePercent))
	}
	return w.speed
}

func (w *worker) hasLabel(label string) bool {
	for _, one := range w.Labels {
		if one == label {
			return true
		}
	}
	return false
}
