package dispatch

import (
	"time"

	"flamingohall.example/core/work"
)

const (
	// maxMoves bounds how often one task is taken off a slow worker.
	maxMoves = 2
	// moveGain is how many times longer than elsewhere the rest of a run must take to be given up: the work done so far
	// is lost, and the estimate for the other worker may be off.
	moveGain = 1.6
	// moveCost is the time that a stop and a new start take.
	moveCost = 30 * time.Millisecond
)

// behind decides whether a slow run is stopped and offered again. It answers workers that turn slow: what runs there
// would be late, and ends in time elsewhere. A run that is behind on a worker with a good pace is longer than expected,
// and takes as long on any other.
func (d *Dispatcher) behind(now time.Duration, w *worker, told work.SlowRun) {
	t := d.taskAt(w.id, told.RunID)
	if t == nil || t.state != started || t.moves >= maxMoves || w.load.RunTimePercent < slowPace {
		return
	}
	remaining := time.Duration(told.RemainingMS) * time.Millisecond
	if now+remaining <= t.job.objective {
		return
	}
	avoided := t.avoid
	t.avoid = w.id
	better := d.choose(now, t)
	t.avoid = avoided
	if better.worker == nil || better.worker == w || float64(remaining) < moveGain*float64(better.cost+moveCost) {
		return
	}
	t.moves++
	w.frame.Stops = append(w.frame.Stops, t.id())
	d.note(Note{Kind: RunMoved, RunID: told.RunID, Worker: w.id, Reason: remaining.String(), Age: now - w.loadAt})
}
