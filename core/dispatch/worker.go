package dispatch

import (
	"slices"
	"time"

	"flamingohall.example/core/work"
)

// worker is the state of one worker at this entry.
type worker struct {
	id string
	work.Worker
	// isUp is true while there is a session with the worker's sidecar.
	isUp bool
	// isAttached is true while the session has a connection.
	isAttached bool
	load       work.Load
	// reportsAccepting is the reported value of load.Accepts, which is false here while the worker is drained.
	reportsAccepting bool
	drained          bool
	// coldUntil is when the worker is no longer slow after its start.
	coldUntil time.Duration
	// loadAt is when the load report arrived, or the connection of the session changed. reportedAt is when the load report arrived.
	loadAt     time.Duration
	reportedAt time.Duration
	// sequence numbers the offers of the session; pending holds those that the load report does not count yet.
	sequence uint64
	pending  []pendingOffer
	// answeredAt is when the last probe was answered.
	answeredAt time.Duration
	// overdueSince is since when the grant of the session is known to have ended; 0 while it lasts.
	overdueSince time.Duration
	frame        work.ToSidecar
	// speed is the ratio of expected to actual run times on the worker: the one that the sidecar has measured, if it tells one,
	// or else learned from the runs of this entry.
	speed float64
	// sameDataCentre is true when the worker is in this entry's data centre.
	sameDataCentre bool
	ejected        bool
	onProbation    bool
}

// pendingOffer is an offer in transit to the sidecar.
type pendingOffer struct {
	sequence uint64
	needs    work.Needs
	expected time.Duration
}

// updateLoad applies a load report from the sidecar.
func (w *worker) updateLoad(now time.Duration, load work.Load) {
	w.setLoad(now, load)
	w.reportedAt = now
	if load.SpeedPercent > 0 {
		w.speed = float64(load.SpeedPercent) / 100
	}
	w.pending = slices.DeleteFunc(w.pending, func(p pendingOffer) bool { return p.sequence <= load.LastSequence })
}

// committed returns the resources of the runs and queued offers at the worker, and of the offers in transit.
func (w *worker) committed() work.Needs {
	total := w.load.Committed
	for _, p := range w.pending {
		total = total.Plus(p.needs)
	}
	return total
}

// fittingTasks returns how many tasks of the given size fit now, at most limit.
func (w *worker) fittingTasks(needs work.Needs, limit int) int {
	free := w.Capacity.Minus(w.committed())
	count := 0
	for count < limit && needs.FitsIn(free) {
		free = free.Minus(needs)
		count++
	}
	return count
}

// expectedWait returns how long a task with the given slack would wait for free capacity.
func (w *worker) expectedWait(now time.Duration, needs work.Needs, slack time.Duration) time.Duration {
	if needs.FitsIn(w.Capacity.Minus(w.committed())) {
		return 0
	}
	reported := time.Duration(w.load.WaitMS[work.SlackLevel(slack.Milliseconds())]) * time.Millisecond
	wait := max(minimalWait, reported-(now-w.loadAt))
	for _, p := range w.pending {
		wait += time.Duration(float64(p.expected) * p.needs.ShareOf(w.Capacity))
	}
	return wait
}

// minimalWait is the minimum expected wait of a task that cannot start at once.
const minimalWait = 10 * time.Millisecond

// suits reports whether a step's tasks may run on the worker.
func (w *worker) suits(pool string, step *Step) bool {
	return w.isUp && w.isAttached && w.load.Accepts && w.Pool == pool && step.Needs.FitsIn(w.Capacity) &&
		(step.Label == "" || slices.Contains(w.Labels, step.Label))
}
