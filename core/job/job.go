package job

import (
	"time"
)

// phase is the stage of a job.
type phase uint8

const (
	phaseClaiming phase = iota + 1
	// phaseTakeover collects the attempts that earlier holders started.
	phaseTakeover
	phaseOpen
	phaseFinishing
	phaseAnswered
)

// Job is the state of one submission. It is not safe for concurrent use.
type Job struct {
	spec  Spec
	phase phase
	epoch uint64
	tasks []task
	// waiting and unsettled count tasks.
	waiting   int
	unsettled int
	// stopping is set once the job can only fail: nothing new starts.
	stopping   bool
	stopCause  Cause
	stopReason string
	sealed     bool
	takeover   takeover
	effects    []Effect
}

// task is one task of a job.
type task struct {
	TaskState
	settled bool
	// attempt is the number of the last attempt.
	attempt int
	starts  int
	// refusals counts the attempts that were refused for reasons other than load.
	refusals     int
	liveAttempts []liveAttempt
}

// liveAttempt is an attempt that has no final outcome yet.
type liveAttempt struct {
	attempt int
	target  Target
	// calls counts the Run, Status and Seal calls in flight for the attempt.
	calls int
	// runs counts the Run calls made. After a second one, a refusal by another incarnation does not show that the first
	// call started nothing.
	runs int
}

// New returns the job of an accepted submission.
func New(spec Spec) *Job {
	j := &Job{
		spec: spec, phase: phaseOpen, tasks: make([]task, len(spec.Tasks)),
		waiting: len(spec.Tasks), unsettled: len(spec.Tasks),
	}
	for i := range j.tasks {
		j.tasks[i].Outcome = Queued
	}
	if !spec.Repeatable {
		j.phase = phaseClaiming
	}
	return j
}

// Step applies an event and returns its effects. The slice is valid until the next call.
func (j *Job) Step(now time.Time, event Event) []Effect {
	j.effects = j.effects[:0]
	if j.phase != phaseAnswered {
		j.apply(now, event)
		j.conclude()
	}
	return j.effects
}

func (j *Job) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case Begin:
		j.begin()
	case ClaimGranted:
		j.claimGranted(e)
	case ClaimLost:
		j.claimLost(e)
	case Place:
		j.place(e)
	case Cancel:
		j.cancel(e)
	case GiveUp:
		j.stop(CauseDeadline, e.Reason)
	case Tick:
		j.tick(now)
	case Finished:
		j.finished()
	case FinishFenced:
		j.finishFenced()
	default:
		j.applyAnswer(event)
	}
}

// applyAnswer handles the answers of targets, and calls without an answer.
func (j *Job) applyAnswer(event Event) {
	switch e := event.(type) {
	case RunAnswered:
		j.runAnswered(e)
	case RunUnanswered:
		j.runUnanswered(e)
	case StatusAnswered:
		j.statusAnswered(e)
	case StatusUnanswered:
		j.statusUnanswered(e)
	case SealAnswered:
		j.sealAnswered(e)
	case SealUnanswered:
		j.sealUnanswered(e)
	case TargetLost:
		j.targetLost(e)
	}
}

func (j *Job) begin() {
	if j.spec.Repeatable {
		j.emit(Effect{Kind: EffectAwaitPlacement})
		return
	}
	j.emit(Effect{Kind: EffectClaim})
}

func (j *Job) claimGranted(e ClaimGranted) {
	if j.phase != phaseClaiming {
		return
	}
	j.epoch = e.Epoch
	j.phase = phaseOpen
	if len(e.Earlier) > 0 {
		j.beginTakeover(e.Earlier)
		return
	}
	if j.stopping {
		j.settleWaiting()
		return
	}
	j.emit(Effect{Kind: EffectAwaitPlacement})
}

// claimLost ends a job that never held its claim: nothing was started, and no answer has to be stored.
func (j *Job) claimLost(e ClaimLost) {
	if j.phase != phaseClaiming {
		return
	}
	j.phase = phaseOpen
	j.stop(CauseClaim, e.Reason)
	j.settleWaiting()
}

func (j *Job) place(e Place) {
	if j.phase != phaseOpen || j.stopping {
		return
	}
	refs := make([]Ref, 0, len(e.Indexes))
	for _, index := range e.Indexes {
		if ref, placed := j.placeTask(index, e.Target); placed {
			refs = append(refs, ref)
		}
	}
	if len(refs) > 0 {
		j.emit(Effect{Kind: EffectRun, Target: e.Target, Refs: refs})
	}
}

func (j *Job) placeTask(index int, target Target) (Ref, bool) {
	t := &j.tasks[index]
	isHedge := len(t.liveAttempts) > 0
	if t.settled || (isHedge && !j.mayHedge(t, target)) {
		return Ref{}, false
	}
	if !isHedge {
		j.waiting--
	}
	t.attempt++
	t.starts++
	t.Attempts = t.starts
	t.Outcome = Running
	t.Target = target.ID
	t.liveAttempts = append(t.liveAttempts, liveAttempt{attempt: t.attempt, target: target, calls: 1, runs: 1})
	return Ref{Index: index, Attempt: t.attempt}, true
}

func (j *Job) mayHedge(t *task, target Target) bool {
	return j.spec.Repeatable && len(t.liveAttempts) == 1 && t.liveAttempts[0].target.ID != target.ID
}

func (j *Job) cancel(e Cancel) {
	j.stop(CauseCancelled, e.Reason)
}

// stop makes the job fail: waiting tasks are settled and live attempts ended.
func (j *Job) stop(cause Cause, reason string) {
	if j.stopping {
		return
	}
	j.stopping = true
	j.stopCause = cause
	j.stopReason = reason
	if j.phase == phaseClaiming || j.phase == phaseTakeover {
		// Earlier holders may have started tasks: nothing is settled until that is known.
		return
	}
	j.settleWaiting()
	j.endAttempts()
}

func (j *Job) settleWaiting() {
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.settled && len(t.liveAttempts) == 0 {
			j.settleStopped(t)
		}
	}
}

// settleStopped settles a task that waits when the job stops. A task with an earlier start has failed, since it did
// run.
func (j *Job) settleStopped(t *task) {
	switch {
	case t.starts > 0:
		j.settle(t, Failed, t.Cause, t.Reason)
	case j.stopCause == CauseCancelled:
		j.settle(t, Cancelled, CauseCancelled, j.stopReason)
	default:
		j.settle(t, NotRun, j.stopCause, j.stopReason)
	}
}

// endAttempts cancels the live attempts of a repeatable or cancelled job. For other jobs it seals them, which lets the
// started ones continue.
func (j *Job) endAttempts() {
	if j.spec.Repeatable || j.stopCause == CauseCancelled {
		j.emitPerTarget(EffectCancel)
		return
	}
	j.emitPerTarget(EffectSeal)
}

// emitPerTarget emits one effect for each target that has live attempts.
func (j *Job) emitPerTarget(kind EffectKind) {
	byTarget := map[Target]int{}
	first := len(j.effects)
	for i := range j.tasks {
		for k := range j.tasks[i].liveAttempts {
			live := &j.tasks[i].liveAttempts[k]
			if kind == EffectSeal {
				live.calls++
			}
			at, known := byTarget[live.target]
			if !known {
				at = len(j.effects) - first
				byTarget[live.target] = at
				j.emit(Effect{Kind: kind, Target: live.target})
			}
			effect := &j.effects[first+at]
			effect.Refs = append(effect.Refs, Ref{Index: i, Attempt: live.attempt})
		}
	}
}

func (j *Job) tick(now time.Time) {
	if j.phase == phaseFinishing {
		if !now.Before(j.spec.Deadline.Add(j.spec.FinishGrace)) {
			j.answerUnstored("the final answer could not be stored in time")
		}
		return
	}
	if !j.spec.Repeatable && !j.sealed && !now.Before(j.spec.Deadline.Add(-j.spec.SealMargin)) {
		j.sealed = true
		j.stop(CauseDeadline, "the deadline came before it could start")
	}
	if now.Before(j.spec.Deadline) {
		return
	}
	if j.phase == phaseClaiming {
		j.phase = phaseOpen
		j.settleWaiting()
		j.answerUnstored("the deadline came while the claim was asked for")
		return
	}
	j.expire()
}

// expire settles every task at the deadline.
func (j *Job) expire() {
	j.stop(CauseDeadline, "the deadline came before it could start")
	if j.phase == phaseTakeover {
		j.endTakeover()
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.settled {
			continue
		}
		if j.spec.Repeatable {
			j.settle(t, Failed, CauseDeadline, "the deadline came while it ran at "+t.Target)
			continue
		}
		j.settle(t, Unknown, CauseDeadline, "the deadline came with no answer from "+t.Target)
	}
}

// settle gives a task its final outcome.
func (j *Job) settle(t *task, outcome Outcome, cause Cause, reason string) {
	if t.settled {
		return
	}
	if len(t.liveAttempts) == 0 && t.Outcome == Queued {
		j.waiting--
	}
	t.settled = true
	for _, live := range t.liveAttempts {
		j.ended(live)
	}
	t.liveAttempts = nil
	t.Outcome = outcome
	t.Cause = cause
	t.Reason = reason
	j.unsettled--
}

// conclude answers once every task is settled, or stores the answer first if a later holder could contradict it.
func (j *Job) conclude() {
	if j.unsettled > 0 || j.phase != phaseOpen {
		return
	}
	if j.epoch == 0 || j.allRan() {
		j.phase = phaseAnswered
		j.emit(Effect{Kind: EffectAnswer})
		if j.epoch > 0 {
			j.emit(Effect{Kind: EffectFinish})
		}
		return
	}
	j.phase = phaseFinishing
	j.emit(Effect{Kind: EffectFinish})
}

// allRan reports whether every task has run to its end, so that no later holder can contradict the answer.
func (j *Job) allRan() bool {
	for i := range j.tasks {
		if o := j.tasks[i].Outcome; o != Done && o != Failed {
			return false
		}
	}
	return true
}

func (j *Job) finished() {
	if j.phase != phaseFinishing {
		return
	}
	j.phase = phaseAnswered
	j.emit(Effect{Kind: EffectAnswer})
}

func (j *Job) finishFenced() {
	if j.phase == phaseFinishing {
		j.answerUnstored("another entry has taken the job over")
	}
}

// answerUnstored answers although the answer is not stored. Tasks that were not run become unknown, since a later
// holder may still run them.
func (j *Job) answerUnstored(reason string) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.Outcome == NotRun || t.Outcome == Cancelled {
			t.Outcome = Unknown
			t.Cause = CauseClaim
			t.Reason = reason
		}
	}
	j.phase = phaseAnswered
	j.emit(Effect{Kind: EffectAnswer})
}

func (j *Job) ended(live liveAttempt) {
	j.emit(Effect{Kind: EffectEnded, Target: live.target})
}

func (j *Job) emit(effect Effect) {
	j.effects = append(j.effects, effect)
}
