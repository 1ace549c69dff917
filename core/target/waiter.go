package target

import "slices"

// waiter is an unanswered Run.
type waiter struct {
	id      uint64
	watched []watched
	// open counts the watched attempts that have not ended.
	open int
	// due means that an attempt ended with another outcome than Done: the answer then does not wait for the others.
	due      bool
	answered bool
	// fresh means that the request contained a new attempt.
	fresh bool
}

// watched is one task of a request: its record, or a fixed outcome without a record.
type watched struct {
	tk    *task
	fixed TaskOutcome
}

func (t *Target) addWaiter(event Run) *waiter {
	w := &waiter{id: event.Waiter, watched: make([]watched, 0, len(event.Tasks))}
	t.waiters[w.id] = w
	return w
}

// watch adds a task with a record to a request.
func (t *Target) watch(w *waiter, tk *task) {
	w.watched = append(w.watched, watched{tk: tk})
	if tk.live == nil {
		w.due = w.due || tk.outcome != Done
		t.setUndelivered(tk, false)
		return
	}
	w.open++
	tk.live.attach(w)
}

// addFixed adds an outcome that has no record.
func (w *waiter) addFixed(outcome TaskOutcome) {
	w.watched = append(w.watched, watched{fixed: outcome})
	w.due = true
}

// ended handles the end of a watched attempt.
func (w *waiter) ended(tk *task) {
	w.open--
	w.due = w.due || tk.outcome != Done
}

// attach adds a waiter and removes those that have been answered.
func (l *liveTask) attach(added *waiter) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool { return w.answered })
	l.waiters = append(l.waiters, added)
}

// markIfDue schedules the answer of a request that can be answered. Answers are sent at the end of a step, so that they
// include all changes of the step.
func (t *Target) markIfDue(w *waiter) {
	if w.due || w.open == 0 {
		t.due = append(t.due, w)
	}
}

func (t *Target) answerDue() {
	for _, w := range t.due {
		t.answerRun(w)
	}
	clear(t.due)
	t.due = t.due[:0]
}

func (t *Target) answerRun(w *waiter) {
	if w.answered {
		return
	}
	w.answered = true
	delete(t.waiters, w.id)
	outcomes := make([]TaskOutcome, 0, len(w.watched))
	for _, tk := range w.watched {
		if tk.tk == nil {
			outcomes = append(outcomes, tk.fixed)
			continue
		}
		outcomes = append(outcomes, tk.tk.taskOutcome())
	}
	w.watched = nil
	t.answer(Answer{Waiter: w.id, Outcomes: outcomes, Repeated: !w.fresh})
}

// setUndelivered sets the flag of a task and keeps the count of undelivered outcomes.
func (t *Target) setUndelivered(tk *task, undelivered bool) {
	if tk.undelivered == undelivered {
		return
	}
	tk.undelivered = undelivered
	if undelivered {
		t.undelivered++
		return
	}
	t.undelivered--
}

// answer sends an answer with the present load.
func (t *Target) answer(answer Answer) {
	t.sequence++
	answer.Load = t.Load()
	t.effects = append(t.effects, answer)
}

// holdOver answers a request whose hold has ended. It does nothing if the request was answered before.
func (t *Target) holdOver(id uint64) {
	t.expire()
	if w := t.waiters[id]; w != nil {
		t.answerRun(w)
	}
}
