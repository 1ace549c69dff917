package runner

import "time"

const (
	// lateOrderAge is how long after it was given up an order may still reach the worker. The worker's contract says seconds.
	lateOrderAge = time.Minute
	// restartPoll is the time between two calls to an address that refuses connections while an order may be late: an incarnation that
	// starts there carries out late orders until it is called. After restartPollTime, calls are as rare as without late orders, to keep
	// the cost of a worker that stays away within that of a node's control (docs/CAPACITY.md).
	restartPoll     = 10 * time.Millisecond
	restartPollTime = 5 * time.Second
)

// fenceOff raises the fence above that of every call so far, because one of them is given up without an answer.
//
// A given-up call carries a lower fence than every later one: it may be carried out at any time, and an incarnation of the worker that
// has started again under its ID takes any call until it has seen a higher fence. The fence of a new incarnation alone doesn't exclude it,
// since the worker is called under its ID before the announcement of the new incarnation.
func (r *Runner) fenceOff(now time.Duration) {
	r.worker.fence++
	r.lateUntil = now + lateOrderAge
}

// fenceOffUnanswered raises the fence after a call without an answer.
func (r *Runner) fenceOffUnanswered(now time.Duration, answer Answer) {
	if answer == NoAnswer {
		r.fenceOff(now)
	}
}

// fenced handles the answer that the worker has seen a higher fence than that of the call. Calls that overtook this one may have carried it.
func (r *Runner) fenced(callFence uint64) {
	if callFence == r.worker.fence {
		r.worker.fence += fenceStep
	}
}

// watches reports whether the worker is called without a pause, so that it is called soon after a restart: a given-up order that arrives
// before the first call is carried out.
func (r *Runner) watches(now time.Duration) bool {
	return now < r.lateUntil
}

// UntilHold returns the time until the next Hold is due, which Advance sends. It is at least a millisecond.
func (r *Runner) UntilHold(now time.Duration) time.Duration {
	if !r.worker.known || r.worker.holdPending {
		return never
	}
	return max(time.Millisecond, r.worker.nextHold-now)
}

// refusedDelay returns the time until the next call to an address that refuses connections.
func (r *Runner) refusedDelay(now time.Duration) time.Duration {
	if r.watches(now) && now-r.worker.suspicion.since < restartPollTime {
		return restartPoll
	}
	return refusedHoldDelay
}
