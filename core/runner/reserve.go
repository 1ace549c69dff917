package runner

import (
	"time"

	"flamingohall.example/core/reserve"
	"flamingohall.example/core/work"
)

// QueueWait is how long a run waited in the queue before it was ordered.
type QueueWait struct {
	Waited time.Duration
	// Share is the share of the worker that the run needs.
	Share float64
	// IsBackfill means that it overtook a run that has the reservation.
	IsBackfill bool
}

// reservations is the planned queue of the worker. Queues whose offers don't ask for reservations aren't planned.
type reservations struct {
	planner reserve.Planner
	// holdsBack is true if the last plan left capacity idle for the reservation, plannedAt the time of that plan.
	holdsBack bool
	plannedAt time.Duration
	// meanExpected is the moving average of the offers' expected run time.
	meanExpected time.Duration
}

// isPlanned reports whether the queue is planned with reservations. It isn't while there are exclusive runs, which have an
// order of their own.
func (r *Runner) isPlanned() bool {
	if r.hasExclusive() {
		return false
	}
	for _, run := range r.runs {
		if run.state == queued && run.MayReserve {
			return true
		}
	}
	return false
}

// startPlanned orders the queued runs that are to start by the plan.
func (r *Runner) startPlanned(now time.Duration) {
	state := r.planState(now)
	var waiting []*taskRun
	for _, run := range r.sorted() {
		if run.isStartable(now, r.limits.Grant) {
			waiting = append(waiting, run)
			state.Waiting = append(state.Waiting, run.waitingTask())
		}
	}
	plan := r.reservations.planner.Plan(now, state)
	r.noteReservations(plan.Changes)
	r.reservations.holdsBack, r.reservations.plannedAt = plan.HoldsBack, now
	for _, start := range plan.Starts {
		r.orderStart(now, waiting[start.Index], start.IsBackfill)
	}
}

// endPlan withdraws the reservation of a queue that is no longer planned.
func (r *Runner) endPlan(now time.Duration) {
	if r.reservations.planner.HasReservation() {
		r.noteReservations(r.reservations.planner.Plan(now, reserve.State{}).Changes)
	}
}

// countIdle adds the time since the last plan to Effects.IdleReserved if capacity was idle for a reservation.
func (r *Runner) countIdle(now time.Duration) {
	if r.reservations.holdsBack {
		r.effects.IdleReserved += now - r.reservations.plannedAt
		r.reservations.holdsBack = false
	}
}

func (r *Runner) noteReservations(changes []reserve.Change) {
	for _, change := range changes {
		note := Note{RunID: work.RunID{Task: change.Task}, Waited: change.Held}
		switch change.Kind {
		case reserve.Made:
			note.Kind, note.Waited = ReservationMade, change.ExpectedIn
		case reserve.Kept:
			note.Kind = ReservationKept
		case reserve.Expired:
			note.Kind, note.Reason = ReservationGivenUp, "not met in time"
		case reserve.Withdrawn:
			note.Kind, note.Reason = ReservationGivenUp, "no longer waiting"
		}
		r.note(note)
	}
}

// planState returns the worker as plans see it, without the waiting tasks.
func (r *Runner) planState(now time.Duration) reserve.State {
	state := reserve.State{Capacity: r.worker.Capacity, Free: r.free()}
	for _, run := range r.sorted() {
		if run.usesCapacity() {
			state.Runs = append(state.Runs, reserve.Run{Needs: run.Needs, EndsAt: now + run.remaining(now)})
		}
	}
	return state
}

// maxExpectedMS bounds the expected run time in plans, because callers may declare any number.
const maxExpectedMS = int64(time.Hour / time.Millisecond)

func (r *taskRun) waitingTask() reserve.Task {
	expected := time.Duration(min(r.ExpectedMS, maxExpectedMS)) * time.Millisecond
	return reserve.Task{ID: r.Task, Needs: r.Needs, Expected: expected, MayReserve: r.MayReserve}
}

// offerWait estimates how long an offer would wait.
func (r *Runner) offerWait(now time.Duration, offer *work.Offer) time.Duration {
	level := work.SlackLevel(offer.SlackMS)
	if offer.IsExclusive || r.hasExclusive() || !offer.MayReserve && !r.isPlanned() {
		return r.expectedWaitFor(now, level, r.shareOfOffer(offer), offer.YieldsWhenLate && offer.SpareMS < 0)
	}
	return r.plannedWait(now, level, (&taskRun{Offer: *offer}).waitingTask())
}

// meanOfferWait estimates, by the plan, how long another offer of mean size and run time would wait.
func (r *Runner) meanOfferWait(now time.Duration, level int) time.Duration {
	capacity := r.worker.Capacity
	return r.plannedWait(now, level, reserve.Task{
		Needs: work.Needs{
			MilliCores: int64(r.meanShare * float64(capacity.MilliCores)), MemoryMB: int64(r.meanShare * float64(capacity.MemoryMB)),
		},
		Expected: r.reservations.meanExpected, MayReserve: true,
	})
}

// plannedWait estimates how long another task of the given slack level would wait, by the plans that follow if runs take as
// long as expected.
func (r *Runner) plannedWait(now time.Duration, level int, task reserve.Task) time.Duration {
	state := r.planState(now)
	index := -1
	for _, run := range r.sorted() {
		if run.state != queued {
			continue
		}
		if index < 0 && work.SlackLevel((run.latestStart()-now).Milliseconds()) > level {
			index = len(state.Waiting)
			state.Waiting = append(state.Waiting, task)
		}
		state.Waiting = append(state.Waiting, run.waitingTask())
	}
	if index < 0 {
		index = len(state.Waiting)
		state.Waiting = append(state.Waiting, task)
	}
	return r.reservations.planner.Forecast(now, state, index)
}
