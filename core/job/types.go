package job

import "time"

// Outcome is the state of a task or of one attempt.
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

// Final reports whether the outcome can no longer change.
func (o Outcome) Final() bool {
	return o != Queued && o != Running
}

// Cause is the reason for an outcome other than Done.
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

// Budget limits the retries of all jobs together.
type Budget interface {
	// Take consumes one retry and reports whether one was available.
	Take() bool
}

// TaskSpec is one task of a submission.
type TaskSpec struct {
	Payload []byte
	// ExpectedRun is the declared run time.
	ExpectedRun time.Duration
}

// Spec is an accepted submission.
type Spec struct {
	ID         string
	Repeatable bool
	// Attempts is the maximum number of starts of one repeatable task.
	Attempts int
	Deadline time.Time
	// SealMargin is the time before the deadline at which a never-repeated job seals its unstarted tasks.
	SealMargin time.Duration
	// FinishGrace is the time after the deadline within which a final answer must be stored.
	FinishGrace time.Duration
	// Budget limits the retries of repeatable tasks. Nil means no limit beyond Attempts.
	Budget Budget
	Tasks  []TaskSpec
}

// Ref identifies one attempt of a task.
type Ref struct {
	Index   int
	Attempt int
}

// Report is the state of one attempt as reported by a target.
type Report struct {
	Ref
	Outcome Outcome
	Cause   Cause
	Reason  string
	Result  []byte
	// Queue is the time spent in the target's queue, Run the time spent running.
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

// Event is an input of a Job.
type Event interface{ event() }

// Events.
type (
	// Begin starts the job.
	Begin struct{}
	// ClaimGranted reports that this entry holds the claim at Epoch. Earlier lists the targets that earlier holders may
	// have used; it is empty for a first claim.
	ClaimGranted struct {
		Epoch   uint64
		Earlier []Target
	}
	// ClaimLost reports that the claim was not granted, or was taken over by another entry.
	ClaimLost struct{ Reason string }
	// Place assigns waiting tasks to a target. Placing a running repeatable task again hedges it.
	Place struct {
		Target  Target
		Indexes []int
	}
	// RunAnswered carries the answer to a Run effect. Incarnation is the process that answered, which may have replaced
	// the target; empty means the target itself.
	RunAnswered struct {
		Target      Target
		Incarnation string
		Asked       []Ref
		Reports     []Report
	}
	// RunUnanswered reports that a Run got no answer in time, or that its connection broke after sending.
	RunUnanswered struct {
		Target Target
		Asked  []Ref
	}
	// StatusAnswered carries the answer to a Status effect. An attempt without a report has not arrived at the target.
	StatusAnswered struct {
		Target  Target
		Asked   []Ref
		Reports []Report
	}
	// StatusUnanswered reports that a Status effect got no answer.
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
	// SealUnanswered reports that a Seal got no answer. The runtime delays it, because the Job repeats the Seal at once.
	SealUnanswered struct {
		Target Target
		Asked  []Ref
	}
	// TargetLost reports that the lease of a target has lapsed or, with Replaced, that its process was replaced.
	TargetLost struct {
		Target   Target
		Replaced bool
	}
	// Cancel stops the job at the request of its caller.
	Cancel struct{ Reason string }
	// GiveUp stops a waiting job that can no longer meet its deadline.
	GiveUp struct{ Reason string }
	// Tick reports the passing of time. The runtime sends it at the time that NextTick returns.
	Tick struct{}
	// Finished reports that the final answer is stored.
	Finished struct{}
	// FinishFenced reports that the answer was not stored because another holder has taken over.
	FinishFenced struct{}
)

func (Begin) event()            {}
func (ClaimGranted) event()     {}
func (ClaimLost) event()        {}
func (Place) event()            {}
func (RunAnswered) event()      {}
func (RunUnanswered) event()    {}
func (StatusAnswered) event()   {}
func (StatusUnanswered) event() {}
func (SealAnswered) event()     {}
func (SealUnanswered) event()   {}
func (TargetLost) event()       {}
func (Cancel) event()           {}
func (GiveUp) event()           {}
func (Tick) event()             {}
func (Finished) event()         {}
func (FinishFenced) event()     {}

// EffectKind is the action that the runtime has to carry out.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectClaim requests the claim from control.
	EffectClaim EffectKind = iota + 1
	// EffectAwaitPlacement reports that tasks wait for placement.
	EffectAwaitPlacement
	// EffectRun sends attempts to a target, or attaches to them again.
	EffectRun
	// EffectStatus queries a target for the state of attempts, on a new connection.
	EffectStatus
	// EffectSeal fences attempts at a target.
	EffectSeal
	// EffectCancel cancels attempts at a target.
	EffectCancel
	// EffectFinish stores the final answer with control.
	EffectFinish
	// EffectAnswer sends the final answer to the callers.
	EffectAnswer
	// EffectEnded reports that an attempt has ended, as far as this entry knows, and no longer takes a slot.
	EffectEnded
	// EffectAdopted reports that a running attempt of an earlier holder was adopted and takes a slot.
	EffectAdopted
)

// Effect is one action for the runtime to carry out.
type Effect struct {
	Kind   EffectKind
	Target Target
	Refs   []Ref
	// Reattach is set for a Run that attaches to attempts that were sent before.
	Reattach bool
}
