package runner

import (
	"time"

	"flamingohall.example/core/work"
)

// coldStep is the rounding step of work.Load.ColdMS. It keeps the passing of time from being sent.
const coldStep = 250 * time.Millisecond

// SetDrained sets whether an operator has drained the worker or evacuated its data centre. A drained worker is sent no new
// tasks: queued offers and new ones are refused as while the worker leaves. Started runs continue.
func (r *Runner) SetDrained(drained bool) {
	r.drained = drained
	r.refuseWhileDrained()
}

// refuseWhileDrained refuses the queued offers of a drained worker, also those whose start the worker rejected.
func (r *Runner) refuseWhileDrained() {
	if r.drained {
		r.refuseQueued()
	}
}

// IsDrained returns the value last set by SetDrained.
func (r *Runner) IsDrained() bool {
	return r.drained
}

// HasRuns reports whether a run may be using the worker.
func (r *Runner) HasRuns() bool {
	return r.isBusy()
}

// setCold stores how much longer the worker is slow after its start.
func (r *Runner) setCold(now time.Duration, announced *Announcement) {
	r.coldUntil = now + time.Duration(announced.ColdMS)*time.Millisecond
}

// addCold adds the rest of the time for which the worker is slow to a load.
func (r *Runner) addCold(now time.Duration, load *work.Load) {
	if remaining := r.coldUntil - now; remaining > 0 {
		load.ColdMS = ((remaining + coldStep - 1) / coldStep * coldStep).Milliseconds()
	}
}
