package agent

import (
	"time"

	"flamingohall.example/node/events"
)

// followDrain applies the drains that control reports, until the agent stops. Without an answer from control the last one
// remains in force.
func (a *Agent) followDrain() {
	drained := false
	for a.context.Err() == nil {
		changed := a.follower.Changed()
		if view := a.follower.View(); view != nil && view.Drained != drained {
			drained = view.Drained
			a.put(func(time.Duration) { a.core.SetDrained(view.Drained) })
			events.SidecarDrained.Log(a.options.Logger, "drained", drained, "evacuated", view.Evacuated)
		}
		select {
		case <-changed:
		case <-a.context.Done():
		}
	}
}

// reportBusy returns whether tasks run at the worker, which operators want to know of a drained one.
func (a *Agent) reportBusy() (busy, known bool) {
	return a.busy.Load(), a.drained.Load()
}
