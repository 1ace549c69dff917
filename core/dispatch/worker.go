package dispatch

import (
	"slices"
	"time"

	"flamingohall.example/core/work"
)

// worker is one worker as this entry knows it.
type worker struct {
	id string
	work.Worker
	// isUp is true while the session with its sidecar stands.
	isUp bool
	// isAttached is true while the session has a connection.
	isAttached bool
	load       work.Load
	// loadAt is when the load came.
	loadAt time.Duration
	// sequence numbers the offers of the session; pending holds those that the load does not count.
	sequence uint64
	pending  []pendingOffer
	// answeredAt is when the last probe was answered.
	answeredAt time.Duration
	frame      work.ToSidecar
	// speed is how much faster than expected the worker's runs end, learned.
	speed float64
	// sameZone is true when the worker is in this entry's data centre.
	sameZone bool
	aside    bool
	onTrial  bool
}

// pendingOffer is an offer on its way to the sidecar.
type pendingOffer struct {
	sequence uint64
	needs    work.Needs
	expected time.Duration
}

// takeLoad takes in what the sidecar tells of its load.
func (w *worker) takeLoad(now time.Duration, load work.Load) {
	w.load, w.loadAt = load, now
	w.pending = slices.DeleteFunc(w.pending, func(p pendingOffer) bool { return p.sequence <= load.LastSequence })
}

// committed returns what runs and waits there, and what is on its way.
func (w *worker) committed() work.Needs {
	total := w.load.Committed
	for _, p := range w.pending {
		total = total.Plus(p.needs)
	}
	return total
}

// room returns how many tasks of a size fit now, at most limit.
func (w *worker) room(needs work.Needs, limit int) int {
	free := w.Capacity.Minus(w.committed())
	count := 0
	for count < limit && needs.FitsIn(free) {
		free = free.Minus(needs)
		count++
	}
	return count
}

// expectedWait returns how long a task with some slack would wait for room.
func (w *worker) expectedWait(now time.Duration, needs work.Needs, slack time.Duration) time.Duration {
	if needs.FitsIn(w.Capacity.Minus(w.committed())) {
		return 0
	}
	told := time.Duration(w.load.WaitMS[work.SlackLevel(slack.Milliseconds())]) * time.Millisecond
	wait := max(minimalWait, told-(now-w.loadAt))
	for _, p := range w.pending {
		wait += time.Duration(float64(p.expected) * p.needs.ShareOf(w.Capacity))
	}
	return wait
}

// minimalWait is expected for a task that has to wait at all.
const minimalWait = 10 * time.Millisecond

// suits reports whether a step's tasks may run there.
func (w *worker) suits(pool string, step *Step) bool {
	return w.isUp && w.isAttached && w.load.Accepts && w.Pool == pool && step.Needs.FitsIn(w.Capacity) &&
		(step.Label == "" || slices.Contains(w.Labels, step.Label))
}
