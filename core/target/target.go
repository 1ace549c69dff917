package target

import "time"

// Options are the bounds of a target.
type Options struct {
	// Incarnation names this process.
	Incarnation string
	Slots       int
	// Queue bounds the tasks that wait beyond the slots.
	Queue int
	// OutcomeBytes and OutcomeAge bound what is remembered in full.
	OutcomeBytes int
	OutcomeAge   time.Duration
	// Tombstones bounds the forgotten never-repeated jobs that are still known as such.
	Tombstones int
	// SettleTime is how long a never-repeated task may run on past its deadline, so that its outcome becomes known.
	SettleTime time.Duration
}

// Target is the aggregate. Make it with New.
type Target struct {
	options Options
	queue   queue
	waiters map[uint64]*waiter
	// due are the requests to answer at the end of the step.
	due []*waiter
	// jobs holds the unpacked records, packed says where the packed ones are. A job that is in both is being looked at.
	// resting are the jobs to pack at the end of the step.
	jobs       map[JobID]*job
	packed     map[JobID]recordPlace
	archives   [lists]archive
	idle       []*job
	scratch    []byte
	tombstones tombstones
	// slots are those that the target seems to have now; slotsChanged is when that changed.
	slots        int
	slotsChanged time.Duration
	// busy counts slots in use, unpacked the memory of unpacked records in bytes, remembered the tasks known.
	busy       int
	unpacked   int
	remembered int
	// undelivered counts the ended attempts whose outcome no answer has carried.
	undelivered int
	leaving     bool
	drained     bool
	away        bool
	sequence    uint64
	now         time.Duration
	effects     []Effect
	off         safeguardsOff
}

// safeguardsOff lets tests show that each safeguard is needed.
type safeguardsOff struct {
	gate, fence, incarnation, refusals, tombstones bool
}

// New returns a target that is reachable and has nothing to do.
func New(options Options) *Target {
	made := &Target{
		options: options, jobs: map[JobID]*job{}, packed: map[JobID]recordPlace{}, waiters: map[uint64]*waiter{},
		slots: options.Slots,
	}
	for i := range made.archives {
		made.archives[i].blockBytes = min(max(options.OutcomeBytes/blockShare, minBlockBytes), maxBlockBytes)
	}
	return made
}

// Step takes one event and returns its effects, which are valid until the next call.
func (t *Target) Step(now time.Duration, event Event) []Effect {
	t.now = max(t.now, now)
	clear(t.effects)
	t.effects = t.effects[:0]
	switch event := event.(type) {
	case Run:
		t.run(event)
	case HoldOver:
		t.holdOver(event.Waiter)
	case Seal:
		t.seal(event)
	case Cancel:
		t.cancel(event)
	case Status:
		t.status(event)
	case Finished:
		t.finished(event)
	default:
		t.change(event)
	}
	t.pump()
	t.answerDue()
	t.packIdle()
	t.forget()
	return t.effects
}

// change takes the events that concern the target as a whole.
func (t *Target) change(event Event) {
	switch event := event.(type) {
	case Leave:
		t.leaving = true
	case Drain:
		t.drained = event.Drained
	case Reach:
		t.away = !event.Up
	case Tick:
		t.expire()
		t.recoverSlot()
	}
	if outcome, closed := t.closed(); closed {
		t.returnQueued(outcome)
	}
}

// Load returns the present load without a new sequence number.
func (t *Target) Load() Load {
	load := Load{
		Slots: t.slots, Busy: min(t.busy, t.slots), Queued: t.queue.tasks,
		Leaving: t.leaving || t.drained, Sequence: t.sequence,
	}
	if t.away {
		load.Busy = load.Slots
	}
	return load
}

// Idle reports whether nothing runs, nothing is queued and no request waits.
func (t *Target) Idle() bool {
	return t.busy == 0 && t.queue.tasks == 0 && len(t.waiters) == 0
}

// Undelivered returns how many attempts have ended of which nobody has been told, since every request for them had been
// answered before.
func (t *Target) Undelivered() int {
	return t.undelivered
}

// Remembered returns how many tasks are known, the memory they are charged with in bytes, and how many jobs have
// been forgotten altogether.
func (t *Target) Remembered() (tasks, bytes int, dropped uint64) {
	return t.remembered, t.bytes(), t.tombstones.dropped
}

// closed tells why no new work is taken, if so.
func (t *Target) closed() (conclusion, bool) {
	switch {
	case t.leaving:
		return conclusion{NotRun, CauseLeaving, "the target is leaving"}, true
	case t.drained:
		return conclusion{NotRun, CauseLeaving, "the target is drained"}, true
	case t.away:
		return conclusion{NotRun, CauseTarget, "the target can't be reached"}, true
	default:
		return conclusion{}, false
	}
}

// returnQueued hands all queued tasks back, so that they can be placed elsewhere.
func (t *Target) returnQueued(how conclusion) {
	for _, j := range t.queue.list() {
		t.endQueued(j, how, func(*task) bool { return true })
	}
}

// expire ends queued tasks whose deadline has passed.
func (t *Target) expire() {
	for _, j := range t.queue.list() {
		t.endQueued(j, pastDeadline, func(each *task) bool { return each.live.deadline <= t.now })
	}
}

// endQueued ends the queued tasks of a job that match and returns their number.
func (t *Target) endQueued(j *job, how conclusion, match func(*task) bool) int {
	ended := 0
	for _, each := range j.tasks {
		if each.outcome == Queued && match(each) {
			t.end(j, each, how)
			ended++
		}
	}
	t.queue.sift(j)
	return ended
}

// pump starts queued tasks while slots are free. The head of the queue waits for as many slots as it needs and is not
// overtaken, so that tasks of several slots don't starve.
func (t *Target) pump() {
	for {
		head := t.queue.peek()
		if head == nil {
			return
		}
		if head.live.deadline <= t.now {
			t.queue.pop()
			t.end(head.live.job, head, pastDeadline)
			continue
		}
		if t.busy+head.live.slots > t.slots {
			return
		}
		t.queue.pop()
		t.start(head)
	}
}

func (t *Target) start(each *task) {
	live := each.live
	t.busy += live.slots
	each.outcome = Running
	live.startedBefore = each.started
	each.started = true
	live.startedAt = t.now
	each.queueUS = micros(t.now - live.queuedAt)
	deadline := live.deadline
	if !live.job.repeatable {
		deadline += t.options.SettleTime
	}
	t.effects = append(t.effects, Start{
		Job: live.job.id, Index: each.index, Attempt: each.attempt, Repeatable: live.job.repeatable,
		Entry: live.entry, Deadline: deadline, Payload: live.payload,
	})
	live.payload = nil
}

// finished takes the end of a start. One that names no running attempt is a copy and changes nothing.
func (t *Target) finished(event Finished) {
	j := t.jobs[event.Job]
	if j == nil {
		return
	}
	each := j.find(event.Index)
	if each == nil || each.outcome != Running || each.attempt != event.Attempt {
		return
	}
	t.busy -= each.live.slots
	each.runUS = micros(t.now - each.live.startedAt)
	if event.Outcome == NotRun {
		each.started = each.live.startedBefore
	}
	if event.Outcome == NotRun && event.Cause == CauseBusy {
		t.loseSlots()
	}
	how := conclusion{event.Outcome, event.Cause, event.Reason}
	if each.live.stopping {
		how = stopped(how, j.repeatable)
	}
	t.endWith(j, each, how, event.Result)
}

// slotRecovery is the time after which one more slot is tried.
const slotRecovery = 2 * time.Second

// loseSlots takes what runs now for all that the target can run: it has refused a task although a slot was free, as
// one does whose platform lease has shrunk.
func (t *Target) loseSlots() {
	t.slots = min(t.slots, max(t.busy, 1))
	t.slotsChanged = t.now
	for _, j := range t.queue.list() {
		t.endQueued(j, tooWide, func(each *task) bool { return each.live.slots > t.slots })
	}
}

// recoverSlot tries one more slot, some time after the last refusal.
func (t *Target) recoverSlot() {
	if t.slots < t.options.Slots && t.now-t.slotsChanged >= slotRecovery {
		t.slots++
		t.slotsChanged = t.now
	}
}

// stopped is how a task ends that was asked to stop: if it still got done, that stands.
func stopped(how conclusion, repeatable bool) conclusion {
	switch {
	case how.outcome == Done || how.outcome == NotRun:
		return how
	case repeatable:
		return conclusion{Cancelled, CauseCancelled, "cancelled while it ran"}
	case how.outcome == Unknown:
		return conclusion{Unknown, CauseCancelled, "cancelled while it ran"}
	default:
		return how
	}
}

// micros bounds a duration to what a task's record holds.
func micros(wait time.Duration) uint32 {
	return uint32(min(wait.Microseconds(), int64(^uint32(0))))
}
