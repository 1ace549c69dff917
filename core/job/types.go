package job

import "time"

// Outcome is what became of a task or of one attempt.
type Outcome string

// Outcomes. Queued and Running are not final.
const (
	Queued    Outcome = "queued"
	Running   Outcome = "running"
	Done      Outcome = "done"
	Failed    Outcome = "failed"
	NotRun    Outcome = "not_run"
	Cancelled Outcome = "cancelled"
	Unknown   Outcome = "unknown"
)

// Final reports whether the outcome can't change any more.
func (o Outcome) Final() bool {
	return o != Queued && o != Running
}

// Cause tells what led to an outcome other than Done.
type Cause string

// Causes.
const (
	CauseNone        Cause = ""
	CauseTask        Cause = "task"
	CauseTarget      Cause = "target"
	CauseBusy        Cause = "busy"
	CauseLeaving     Cause = "leaving"
	CauseFenced      Cause = "fenced"
	CauseIncarnation Cause = "incarnation"
	CauseDeadline    Cause = "deadline"
	CauseCancelled   Cause = "cancelled"
	CauseLost        Cause = "lost"
	CauseSealed      Cause = "sealed"
	// CauseJob means that another task of the job failed first.
	CauseJob Cause = "job"
	// CauseClaim means that the claim or the final answer could not be stored.
	CauseClaim Cause = "claim"
)

// Target is one incarnation of a target.
type Target struct {
	ID          string
	Incarnation string
}

// Budget limits retries across jobs.
type Budget interface {
	// Take takes one retry and reports whether there was one left.
	Take() bool
}

// TaskSpec is one task as submitted.
type TaskSpec struct {
	Payload []byte
	// ExpectedRun is the declared run time.
	ExpectedRun time.Duration
}

// Spec is a whole submission that was accepted.
type Spec struct {
	ID         string
	Repeatable bool
	// Attempts bounds the starts of one repeatable task.
	Attempts int
	Deadline time.Time
	// SealMargin is how long before the deadline a never-repeated job seals what has not started.
	SealMargin time.Duration
	// FinishGrace is how long after the deadline a final answer may take to be stored.
	FinishGrace time.Duration
	// Budget limits the retries of repeatable tasks.
	Budget Budget
	Tasks  []TaskSpec
}

// Ref names one attempt of a task.
type Ref struct {
	Index   int
	Attempt int
}

// Report is what a target says of one attempt.
type Report struct {
	Ref
	Outcome Outcome
	Cause   Cause
	Reason  string
	Result  []byte
	// Queue and Run are the times spent waiting and running at the target.
	Queue time.Duration
	Run   time.Duration
}

// TaskState is the public view of a task.
type TaskState struct {
	Outcome  Outcome
	Cause    Cause
	Reason   string
	Result   []byte
	Attempts int
	Target   string
	Queue    time.Duration
	Run      time.Duration
}

// Event is something that happened to a job.
type Event interface{ event() }

// Events.
type (
	// Begin starts the job. TakeOver is set by ClaimGranted instead.
	Begin struct{}
	// ClaimGranted says that this entry holds the claim at Epoch. Earlier lists the targets that an earlier holder
	// may have used; it is empty for a first claim.
	ClaimGranted struct {
		Epoch   uint64
		Earlier []Target
	}
	// ClaimLost says that the claim could not be had, or was taken over by another entry.
	ClaimLost struct{ Reason string }
	// Place assigns waiting tasks to a target. A running repeatable task that is placed again is hedged.
	Place struct {
		Target  Target
		Indexes []int
	}
	// RunAnswered carries the answer to a Run effect.
	RunAnswered struct {
		Target  Target
		Asked   []Ref
		Reports []Report
	}
	// RunUnanswered says that a Run got no answer in time, or that its connection broke after sending.
	RunUnanswered struct {
		Target Target
		Asked  []Ref
	}
	// StatusAnswered carries the answer to an AskStatus effect; an attempt that it lacks has not arrived there.
	StatusAnswered struct {
		Target  Target
		Asked   []Ref
		Reports []Report
	}
	// StatusUnanswered says that AskStatus got no answer.
	StatusUnanswered struct {
		Target Target
		Asked  []Ref
	}
	// SealAnswered carries the answer to a Seal effect.
	SealAnswered struct {
		Target  Target
		Asked   []Ref
		Reports []Report
	}
	// SealUnanswered says that a Seal got no answer; the runtime waits a while before it reports this.
	SealUnanswered struct {
		Target Target
		Asked  []Ref
	}
	// TargetLost says that a target's lease lapsed, or that its process was replaced.
	TargetLost struct {
		Target   Target
		Replaced bool
	}
	// Cancel asks for the end of the job.
	Cancel struct{ Reason string }
	// GiveUp ends a job that waits and can't meet its deadline any more.
	GiveUp struct{ Reason string }
	// Tick tells the time; the runtime sends it at Wake.
	Tick struct{}
	// Finished says that the final answer is stored.
	Finished struct{}
	// FinishFenced says that another holder has taken over.
	FinishFenced struct{}
)

func (Begin) event()          {}
func (ClaimGranted) event()   {}
func (ClaimLost) event()      {}
func (Place) event()          {}
func (RunAnswered) event()    {}
func (RunUnanswered) event()      {}
func (StatusAnswered) event() {}
func (StatusUnanswered) event()   {}
func (SealAnswered) event()   {}
func (SealUnanswered) event()     {}
func (TargetLost) event()     {}
func (Cancel) event()         {}
func (GiveUp) event()         {}
func (Tick) event()           {}
func (Finished) event()       {}
func (FinishFenced) event()   {}

// EffectKind says what the runtime has to do.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectClaim asks control for the claim.
	EffectClaim EffectKind = iota + 1
	// EffectAwaitPlacement says that tasks wait for a target.
	EffectAwaitPlacement
	// EffectRun sends attempts to a target, or attaches to them again.
	EffectRun
	// EffectStatus asks a target on a fresh connection what became of attempts.
	EffectStatus
	// EffectSeal fences attempts at a target.
	EffectSeal
	// EffectCancel cancels attempts at a target.
	EffectCancel
	// EffectFinish stores the final answer with control.
	EffectFinish
	// EffectAnswer hands the final answer to the callers.
	EffectAnswer
	// EffectEnded says that attempts no longer take a slot as far as this entry knows.
	EffectEnded
	// EffectAdopted says that an attempt of an earlier holder takes a slot.
	EffectAdopted
)

// Effect is one thing for the runtime to do.
type Effect struct {
	Kind   EffectKind
	Target Target
	Refs   []Ref
	// Again marks a Run that attaches to attempts sent before.
	Again bool
}
