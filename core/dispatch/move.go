package dispatch

import (
	"time"

	"flamingohall.example/core/work"
)

const (
	// moveGain is the minimum ratio of the remaining run time here to the expected time elsewhere at which a run is
	// moved: the work done so far is lost, and the estimate for the other worker may be wrong.
	moveGain = 1.6
	// moveCost is the time that a stop and a new start take.
	moveCost = 30 * time.Millisecond
)

// overdueRun decides whether an overdue run is stopped and offered again. Runs on a worker that has become slow would end
// late there, but in time elsewhere. An overdue run on a worker of normal measured speed is simply longer than expected,
// and would take as long on any other.
func (d *Dispatcher) overdueRun(now time.Duration, w *worker, report work.Overdue) {
	t := d.taskAt(w.id, report.RunID)
	if t == nil || t.state != started || t.moves >= d.limits.Policy.Faults.MaxMoves || w.load.RunTimePercent < slowRunTimePercent {
		return
	}
	remaining := time.Duration(report.RemainingMS) * time.Millisecond
	if now+remaining <= t.job.objective {
		return
	}
	previousAvoid := t.avoid
	t.avoid = w.id
	better := d.choose(now, t, d.isExclusive(t))
	t.avoid = previousAvoid
	if better.worker == nil || better.worker == w || float64(remaining) < moveGain*float64(better.cost+moveCost) {
		return
	}
	t.moves++
	w.frame.Stops = append(w.frame.Stops, t.id())
	d.note(Note{Kind: RunMoved, RunID: report.RunID, Worker: w.id, Reason: remaining.String(), Age: now - w.loadAt})
}
