package runner

// evidence returns what is known about the worker. listed is the number of runs in the worker's answer, 0 if there is none.
func (r *Runner) evidence(listed int) Evidence {
	w := &r.worker
	known := Evidence{
		Incarnation: w.Incarnation, Hold: w.holdNumber, AnsweredHold: w.answeredHold, OpenHolds: w.openHolds, Failure: w.failure,
		LeaseLeft: w.leaseEnd + r.drift() - r.advancedAt, Listed: listed,
	}
	if w.suspicion.stands {
		known.RefusedFor = r.advancedAt - w.suspicion.since
	}
	for _, run := range r.runs {
		if run.usesCapacity() {
			known.Runs++
		}
	}
	return known
}
