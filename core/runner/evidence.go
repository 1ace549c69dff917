package runner

// evidence returns what is known about the worker. listed is the number of runs in the worker's answer, 0 if there is none.
func (r *Runner) evidence(listed int) Evidence {
	w := &r.worker
	known := Evidence{
		Incarnation: w.Incarnation, Hold: w.holdNumber, AnsweredHold: w.answeredHold, OpenHolds: w.openHolds, Failure: w.failure,
		LeaseLeft: w.leaseEnd + r.drift() - r.advancedAt, Listed: listed,
	}
	if w.gone {
		known.RefusedFor = r.advancedAt - w.goneAt
	}
	for _, run := range r.runs {
		if run.usesCapacity() {
			known.Runs++
		}
	}
	return known
}

// noteAccepted notes that the worker has answered after it had refused connections.
func (r *Runner) noteAccepted(listed int) {
	if r.worker.gone {
		r.note(Note{Kind: ConnectionsAccepted, Evidence: r.evidence(listed)})
	}
}
