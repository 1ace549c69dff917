package target

import "time"

// Options are the identity and the limits of a Target.
type Options struct {
	// Incarnation identifies this process.
	Incarnation string
	Slots       int
	// Queue is the maximum number of tasks that wait for a slot.
	Queue int
	// OutcomeBytes and OutcomeAge limit the retained outcomes in total size and in age.
	OutcomeBytes int
	OutcomeAge   time.Duration
	// Tombstones is the maximum number of tombstones of evicted never-repeated jobs.
	Tombstones int
	// SettleTime is how long a never-repeated task may run past its deadline, so that its outcome becomes known.
	SettleTime time.Duration
}

// Target is the state of one target. Create it with New.
type Target struct {
	options Options
	queue   queue
	waiters map[uint64]*waiter
	// due holds the requests to answer at the end of the step.
	due []*waiter
	// jobs holds the unpacked records, packed the places of the packed ones. A job that is in both is currently
	// unpacked. idle holds the jobs to pack at the end of the step.
	jobs       map[JobID]*job
	packed     map[JobID]recordPlace
	archives   [archiveCount]archive
	idle       []*job
	scratch    []byte
	tombstones tombstones
	// slots is the current estimate of the target's slots, slotsChanged the time of its last change.
	slots        int
	slotsChanged time.Duration
	// busy counts the slots in use, unpacked the bytes of unpacked records, remembered the known tasks.
	busy       int
	unpacked   int
	remembered int
	// undelivered counts the ended attempts whose outcome no answer has carried yet.
	undelivered int
	leaving     bool
	drained     bool
	unreachable bool
	sequence    uint64
	now         time.Duration
	effects     []Effect
	disabled    disabledSafeguards
}

// disabledSafeguards lets tests show that each safeguard is needed.
type disabledSafeguards struct {
	gate, fence, incarnation, refusals, tombstones bool
}

// New returns a target that is reachable and idle.
func New(options Options) *Target {
	t := &Target{
		options: options, jobs: map[JobID]*job{}, packed: map[JobID]recordPlace{}, waiters: map[uint64]*waiter{},
		slots: options.Slots,
	}
	for i := range t.archives {
		t.archives[i].blockBytes = min(max(options.OutcomeBytes/blockShare, minBlockBytes), maxBlockBytes)
	}
	return t
}

// Step applies one event and returns its effects, which are valid until the next call.
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
		t.applyTargetEvent(event)
	}
	t.startQueued()
	t.answerDue()
	t.packIdle()
	t.forget()
	return t.effects
}

// applyTargetEvent applies the events that concern the whole target.
func (t *Target) applyTargetEvent(event Event) {
	switch event := event.(type) {
	case Leave:
		t.leaving = true
	case Drain:
		t.drained = event.Drained
	case Reach:
		t.unreachable = !event.Up
	case Tick:
		t.expire()
		t.recoverSlot()
	}
	if ending, closed := t.closed(); closed {
		t.returnQueued(ending)
	}
}

// Load returns the current load. It does not advance the sequence number.
func (t *Target) Load() Load {
	load := Load{
		Slots: t.slots, Busy: min(t.busy, t.slots), Queued: t.queue.tasks,
		Leaving: t.leaving || t.drained, Sequence: t.sequence,
	}
	if t.unreachable {
		load.Busy = load.Slots
	}
	return load
}

// Idle reports whether nothing runs, nothing is queued and no request waits.
func (t *Target) Idle() bool {
	return t.busy == 0 && t.queue.tasks == 0 && len(t.waiters) == 0
}

// Undelivered returns the number of ended attempts whose outcome no answer has carried, because every request for them
// had been answered before the end.
func (t *Target) Undelivered() int {
	return t.undelivered
}

// Remembered returns the number of known tasks, the memory in bytes that is accounted for them, and the number of
// tombstones that were dropped.
func (t *Target) Remembered() (tasks, bytes int, dropped uint64) {
	return t.remembered, t.bytes(), t.tombstones.dropped
}

// closed reports whether new work is refused, and why.
func (t *Target) closed() (conclusion, bool) {
	switch {
	case t.leaving:
		return conclusion{NotRun, CauseLeaving, "the target is leaving"}, true
	case t.drained:
		return conclusion{NotRun, CauseLeaving, "the target is drained"}, true
	case t.unreachable:
		return conclusion{NotRun, CauseTarget, "the target can't be reached"}, true
	default:
		return conclusion{}, false
	}
}

// returnQueued ends all queued tasks, so that they can be placed on another target.
func (t *Target) returnQueued(ending conclusion) {
	for _, j := range t.queue.list() {
		t.endQueued(j, ending, func(*task) bool { return true })
	}
}

// expire ends queued tasks whose deadline has passed.
func (t *Target) expire() {
	for _, j := range t.queue.list() {
		t.endQueued(j, pastDeadline, func(tk *task) bool { return tk.live.deadline <= t.now })
	}
}

// endQueued ends the matching queued tasks of a job and returns their number.
func (t *Target) endQueued(j *job, ending conclusion, match func(*task) bool) int {
	ended := 0
	for _, tk := range j.tasks {
		if tk.outcome == Queued && match(tk) {
			t.end(j, tk, ending)
			ended++
		}
	}
	t.queue.removeEnded(j)
	return ended
}

// startQueued starts queued tasks while slots are free. No task overtakes the head of the queue, so that a task that
// needs several slots does not starve.
func (t *Target) startQueued() {
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

func (t *Target) start(tk *task) {
	live := tk.live
	t.busy += live.slots
	tk.outcome = Running
	live.startedBefore = tk.started
	tk.started = true
	live.startedAt = t.now
	tk.queueUS = saturatedMicros(t.now - live.queuedAt)
	deadline := live.deadline
	if !live.job.repeatable {
		deadline += t.options.SettleTime
	}
	t.effects = append(t.effects, Start{
		Job: live.job.id, Index: tk.index, Attempt: tk.attempt, Repeatable: live.job.repeatable,
		Entry: live.entry, Deadline: deadline, Payload: live.payload,
	})
	live.payload = nil
}

// finished ends a running attempt. An event that names no running attempt is a duplicate and changes nothing.
func (t *Target) finished(event Finished) {
	j := t.jobs[event.Job]
	if j == nil {
		return
	}
	tk := j.find(event.Index)
	if tk == nil || tk.outcome != Running || tk.attempt != event.Attempt {
		return
	}
	t.busy -= tk.live.slots
	tk.runUS = saturatedMicros(t.now - tk.live.startedAt)
	if event.Outcome == NotRun {
		tk.started = tk.live.startedBefore
	}
	if event.Outcome == NotRun && event.Cause == CauseBusy {
		t.shrinkSlots()
	}
	ending := conclusion{event.Outcome, event.Cause, event.Reason}
	if tk.live.stopping {
		ending = stoppedConclusion(ending, j.repeatable)
	}
	t.endWith(j, tk, ending, event.Result)
}

// slotRecoveryDelay is the time after which one more slot is tried.
const slotRecoveryDelay = 2 * time.Second

// shrinkSlots reduces the slots to those in use: the target refused a task although a slot was free, as happens when
// its platform lease has shrunk.
func (t *Target) shrinkSlots() {
	t.slots = min(t.slots, max(t.busy, 1))
	t.slotsChanged = t.now
	for _, j := range t.queue.list() {
		t.endQueued(j, tooManySlots, func(tk *task) bool { return tk.live.slots > t.slots })
	}
}

// recoverSlot adds one slot when slotRecoveryDelay has passed since the last change.
func (t *Target) recoverSlot() {
	if t.slots < t.options.Slots && t.now-t.slotsChanged >= slotRecoveryDelay {
		t.slots++
		t.slotsChanged = t.now
	}
}

// stoppedConclusion returns the conclusion of a task that was asked to stop. A task that completed anyway stays Done.
func stoppedConclusion(ending conclusion, repeatable bool) conclusion {
	switch {
	case ending.outcome == Done || ending.outcome == NotRun:
		return ending
	case repeatable:
		return conclusion{Cancelled, CauseCancelled, "cancelled while it ran"}
	case ending.outcome == Unknown:
		return conclusion{Unknown, CauseCancelled, "cancelled while it ran"}
	default:
		return ending
	}
}

// saturatedMicros converts a duration to microseconds, limited to the range of a task's record.
func saturatedMicros(wait time.Duration) uint32 {
	return uint32(min(wait.Microseconds(), int64(^uint32(0))))
}
