package target

import "slices"

// waiter is a Run that has not been answered.
type waiter struct {
	id      uint64
	watched []watched
	// open counts the watched attempts that have not ended.
	open int
	// due means that an attempt ended otherwise than Done, so that the answer goes out at once.
	due      bool
	answered bool
	// fresh means that the request brought an attempt that had not been seen.
	fresh bool
}

// watched is one task of a request: its record, or an outcome that has none.
type watched struct {
	each  *task
	fixed TaskOutcome
}

func (t *Target) addWaiter(event Run) *waiter {
	w := &waiter{id: event.Waiter, watched: make([]watched, 0, len(event.Tasks))}
	t.waiters[w.id] = w
	return w
}

// watch adds a task with a record to a request.
func (t *Target) watch(w *waiter, each *task) {
	w.watched = append(w.watched, watched{each: each})
	if each.live == nil {
		w.due = w.due || each.outcome != Done
		t.setUndelivered(each, false)
		return
	}
	w.open++
	each.live.attach(w)
}

// settle adds an outcome without a record.
func (w *waiter) settle(outcome TaskOutcome) {
	w.watched = append(w.watched, watched{fixed: outcome})
	w.due = true
}

// ended notes that a watched attempt has ended.
func (w *waiter) ended(each *task) {
	w.open--
	w.due = w.due || each.outcome != Done
}

// attach adds a waiter and drops those that have been answered in the meantime.
func (l *liveTask) attach(added *waiter) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool { return w.answered })
	l.waiters = append(l.waiters, added)
}

// noteDue lists a request that can be answered. Answers go out at the end of a step, so that one carries all that the
// step changed.
func (t *Target) noteDue(w *waiter) {
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
	for _, each := range w.watched {
		if each.each == nil {
			outcomes = append(outcomes, each.fixed)
			continue
		}
		outcomes = append(outcomes, each.each.taskOutcome())
	}
	w.watched = nil
	t.answer(Answer{Waiter: w.id, Outcomes: outcomes, Repeated: !w.fresh})
}

// setUndelivered counts the outcomes that nobody has been told.
func (t *Target) setUndelivered(each *task, undelivered bool) {
	if each.undelivered == undelivered {
		return
	}
	each.undelivered = undelivered
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

// holdOver answers a request whose caller waits no longer. It does nothing when the answer has gone out.
func (t *Target) holdOver(id uint64) {
	t.expire()
	if w := t.waiters[id]; w != nil {
		t.answerRun(w)
	}
}
