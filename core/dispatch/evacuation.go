package dispatch

import (
	"time"

	"flamingohall.example/core/work"
)

// SetDrained sets whether an operator has drained a worker or evacuated its data centre. A drained worker gets no offers and
// doesn't count as capacity. The worker need not have a session.
func (d *Dispatcher) SetDrained(id string, drained bool) {
	if drained {
		d.drained[id] = true
	} else {
		delete(d.drained, id)
	}
	if w := d.workers[id]; w != nil {
		w.setDrained(drained)
	}
}

// DrainedWorkers returns the number of drained workers, including those without a session.
func (d *Dispatcher) DrainedWorkers() int {
	return len(d.drained)
}

func (w *worker) setDrained(drained bool) {
	w.drained = drained
	w.load.Accepts = w.reportsAccepting && !drained
}

// setLoad stores a load report. The load of a drained worker never accepts tasks here, even before its sidecar has learned of
// the drain.
func (w *worker) setLoad(now time.Duration, load work.Load) {
	w.load, w.loadAt = load, now
	w.reportsAccepting = load.Accepts
	w.load.Accepts = load.Accepts && !w.drained
	w.coldUntil = min(w.coldUntil, now)
	if load.ColdMS > 0 {
		w.coldUntil = now + time.Duration(load.ColdMS)*time.Millisecond
	}
}

// retryAfterRefusal returns when a task is offered again after a drained worker has refused it: at once, since the worker is no
// longer a candidate.
func (w *worker) retryAfterRefusal(now, otherwise time.Duration) time.Duration {
	if w.drained {
		return now
	}
	return otherwise
}

// bestCandidate returns the best of a sample of the candidates. A cold worker, which is slow after its start, is used only if no
// warm one in the sample has free capacity, and then only if that saves a wait: how slow it is isn't known. After the
// evacuation of a data centre all its workers may be cold.
func (d *Dispatcher) bestCandidate(now time.Duration, t *task, count int) choice {
	expected := t.job.stepOf(t).expected
	all := d.candidates
	warm := warmFirst(now, all)
	d.candidates = all[:warm]
	best := d.bestOfSample(now, t, count, expected)
	if warm == len(all) || best.worker != nil && best.wait == 0 {
		d.candidates = all
		return best
	}
	d.candidates = all[warm:]
	cold := d.bestOfSample(now, t, count, expected)
	d.candidates = all
	if best.worker == nil || cold.wait == 0 || cold.cost < best.cost {
		return cold
	}
	return best
}

func (d *Dispatcher) bestOfSample(now time.Duration, t *task, count int, expected time.Duration) choice {
	var best choice
	for _, w := range d.sample(count) {
		if candidate := d.evaluate(now, t, w, expected); best.worker == nil || candidate.cost < best.cost {
			best = candidate
		}
	}
	return best
}

// startedCold reports whether a run started while its worker was slow after its start. Its run time says nothing about the
// worker's usual speed.
func (w *worker) startedCold(t *task) bool {
	return t.run.startedAt < w.coldUntil
}

// warmFirst moves the warm workers to the front and returns their number. It keeps their order, so that choices among warm
// workers alone are the same as without cold ones.
func warmFirst(now time.Duration, workers []*worker) int {
	var cold []*worker
	warm := 0
	for _, w := range workers {
		if now < w.coldUntil {
			cold = append(cold, w)
			continue
		}
		workers[warm] = w
		warm++
	}
	copy(workers[warm:], cold)
	return warm
}
