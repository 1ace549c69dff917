package reserve

import (
	"cmp"
	"slices"
	"time"

	"flamingohall.example/core/work"
)

const (
	// minShare is the least share of the worker for which there is a reservation. Smaller tasks soon find a gap by themselves;
	// with reservations for them, large tasks further back in the queue have none and wait longer.
	minShare = 1.0 / 6
	// holdFactor is how many times the expected wait a reservation is held. Expected run times are off by a factor of up to 3,
	// and the rest of a run that has begun by a larger one.
	holdFactor = 6
	// minHold is the least time for which a reservation is held. With 200 ms, runs that took three times as long as expected
	// ended many reservations shortly before the task would have fit.
	minHold = 400 * time.Millisecond
	// maxHold bounds the time for which wrong expectations can leave capacity idle. It is longer than the longest kind of
	// task is expected to run (900 ms).
	maxHold = 2 * time.Second
	// never is later than any other time.
	never = time.Duration(1<<63 - 1)
)

// Run uses capacity of the worker.
type Run struct {
	Needs work.Needs
	// EndsAt is when the run is expected to end.
	EndsAt time.Duration
}

// Task waits for capacity.
type Task struct {
	// ID differs from that of each other waiting task.
	ID    string
	Needs work.Needs
	// Expected is the expected run time, 0 if it is not known. A task of unknown run time starts before a reservation only if
	// it fits beside it.
	Expected time.Duration
	// MayReserve means that the task may have the reservation.
	MayReserve bool
}

// State is the worker as a plan sees it.
type State struct {
	Capacity work.Needs
	// Free is the capacity that no run uses.
	Free work.Needs
	Runs []Run
	// Waiting are the tasks that could start now if they fit, in the order in which they are to start.
	Waiting []Task
}

// Start is the decision to start a waiting task.
type Start struct {
	// Index is the task's position in State.Waiting.
	Index int
	// IsBackfill means that the task overtakes one that has the reservation.
	IsBackfill bool
}

// ChangeKind is what happened to a reservation.
type ChangeKind uint8

// Changes of a reservation.
const (
	// Made means that a task got the reservation.
	Made ChangeKind = iota + 1
	// Kept means that the task with the reservation starts.
	Kept
	// Expired means that the reservation was given up because the task didn't fit within the time for which it is held.
	Expired
	// Withdrawn means that the reservation was given up because its task no longer waits for capacity.
	Withdrawn
)

// Change is a change of the reservation.
type Change struct {
	Kind ChangeKind
	Task string
	// Held is the time since the reservation was made.
	Held time.Duration
	// ExpectedIn is when, from now, the task is expected to start; set for Made only.
	ExpectedIn time.Duration
}

// Plan is the result of one planning.
type Plan struct {
	Starts  []Start
	Changes []Change
	// HoldsBack means that a task that fits is not started because of the reservation, so that capacity is idle for it.
	HoldsBack bool
}

// Planner holds the reservation of one worker. The zero value has none.
type Planner struct {
	// holder is the task with the reservation, empty for none.
	holder string
	madeAt time.Duration
	// startBy is the earliest time for which the holder's start was expected since the reservation was made. It is never
	// moved later: otherwise, each backfilled task that runs longer than expected would let further ones start.
	startBy time.Duration
	heldTo  time.Duration
	// pausedTo is when, after a reservation expired, there may be another one. The pause holds for all tasks: several large
	// ones that wait for the same run would otherwise take turns, and the capacity would stay idle.
	pausedTo time.Duration
}

// HasReservation reports whether a task has the reservation.
func (p *Planner) HasReservation() bool { return p.holder != "" }

// Plan decides which tasks start now.
func (p *Planner) Plan(now time.Duration, state State) Plan {
	next := planning{Planner: p, now: now, capacity: state.Capacity, free: state.Free, runs: slices.Clip(state.Runs)}
	holder := slices.IndexFunc(state.Waiting, func(t Task) bool { return t.ID == p.holder })
	next.checkReservation(holder >= 0)
	if p.holder != "" {
		next.placeHolder(holder, &state.Waiting[holder])
	}
	for i := range state.Waiting {
		if state.Waiting[i].ID != p.holder && !next.hasStarted(i) {
			next.place(i, &state.Waiting[i])
		}
	}
	next.result.Changes = append(next.result.Changes, next.made...)
	return next.result
}

// planning is one planning in progress.
type planning struct {
	*Planner
	now      time.Duration
	capacity work.Needs
	free     work.Needs
	runs     []Run
	// holderIndex is the position of the holder, and beside what remains free beside it when it is expected to start.
	holderIndex int
	beside      work.Needs
	result      Plan
	made        []Change
}

// checkReservation gives up a reservation whose time is over or whose task no longer waits.
func (p *planning) checkReservation(isWaiting bool) {
	switch {
	case p.holder == "":
	case !isWaiting:
		p.release(Withdrawn)
	case p.now >= p.heldTo:
		// A pause as long as the reservation was held leaves others at least half of the time.
		p.pausedTo = p.now + (p.now - p.madeAt)
		p.release(Expired)
	}
}

func (p *planning) release(kind ChangeKind) {
	p.result.Changes = append(p.result.Changes, Change{Kind: kind, Task: p.holder, Held: p.now - p.madeAt})
	p.holder = ""
}

func (p *planning) placeHolder(index int, task *Task) {
	if task.Needs.FitsIn(p.free) {
		p.release(Kept)
		p.start(index, task, false)
		return
	}
	p.holderIndex = index
	p.expectHolder(task)
}

// expectHolder updates when the holder is expected to start, and what is free beside it then.
func (p *planning) expectHolder(task *Task) {
	at, free := fitsAt(p.now, p.free, p.runs, task.Needs)
	p.startBy = min(p.startBy, at)
	p.beside = free.Minus(task.Needs)
}

func (p *planning) hasStarted(index int) bool {
	return slices.ContainsFunc(p.result.Starts, func(s Start) bool { return s.Index == index })
}

// place starts a task that is not the holder, or gives it the reservation, or lets it wait.
func (p *planning) place(index int, task *Task) {
	if !task.Needs.FitsIn(p.free) {
		if p.holder == "" && task.MayReserve && task.Needs.ShareOf(p.capacity) >= minShare && p.now >= p.pausedTo {
			p.reserve(index, task)
		}
		return
	}
	if p.holder == "" {
		p.start(index, task, false)
		return
	}
	endsInTime := task.Expected > 0 && task.Expected <= p.startBy-p.now
	if !endsInTime && !task.Needs.FitsIn(p.beside) {
		p.result.HoldsBack = true
		return
	}
	if !endsInTime {
		p.beside = p.beside.Minus(task.Needs)
	}
	p.start(index, task, index > p.holderIndex)
}

func (p *planning) start(index int, task *Task, isBackfill bool) {
	p.free = p.free.Minus(task.Needs)
	endsAt := never
	if task.Expected > 0 {
		endsAt = p.now + task.Expected
	}
	p.runs = append(p.runs, Run{Needs: task.Needs, EndsAt: endsAt})
	p.result.Starts = append(p.result.Starts, Start{Index: index, IsBackfill: isBackfill})
}

// reserve gives a task the reservation, unless it is expected to start only after the longest time for which one is held.
func (p *planning) reserve(index int, task *Task) {
	p.startBy = never
	p.expectHolder(task)
	expectedIn := p.startBy - p.now
	if expectedIn > maxHold {
		return
	}
	p.holder, p.holderIndex, p.madeAt = task.ID, index, p.now
	p.heldTo = p.now + min(maxHold, max(minHold, holdFactor*expectedIn))
	p.made = append(p.made, Change{Kind: Made, Task: task.ID, ExpectedIn: expectedIn})
}

// fitsAt returns when the needs are expected to fit, and the capacity that is free then. If they never fit, it returns never
// and the capacity that is free in the end.
func fitsAt(now time.Duration, free work.Needs, runs []Run, needs work.Needs) (time.Duration, work.Needs) {
	ordered := slices.Clone(runs)
	slices.SortStableFunc(ordered, func(a, b Run) int { return cmp.Compare(a.EndsAt, b.EndsAt) })
	at := now
	for i := range ordered {
		if needs.FitsIn(free) {
			break
		}
		if ordered[i].EndsAt == never {
			return never, free
		}
		at, free = max(at, ordered[i].EndsAt), free.Plus(ordered[i].Needs)
	}
	if !needs.FitsIn(free) {
		return never, free
	}
	return at, free
}
