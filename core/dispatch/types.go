package dispatch

import (
	"time"

	"flamingohall.example/core/work"
)

// Limits are the fixed times of a dispatcher.
type Limits struct {
	// Grant is how long what was offered may run on after this entry's last answer to a probe.
	Grant time.Duration
	// JobLease is how long stored jobs may be run after the sending of a call to control that was answered.
	JobLease time.Duration
}

// DefaultLimits agree with runner.DefaultLimits: the grant, the slow rate of the worker's clock, and a stop's time. Control
// gives jobs away after the right and the grant have ended (control.holderPatience); the right outlasts an election there.
var DefaultLimits = Limits{Grant: 1100 * time.Millisecond, JobLease: 2 * time.Second}

// Submission is one job as its caller sent it.
type Submission struct {
	// ID is unique among the jobs of the system; the same ID names the same job.
	ID string `cbor:"1,keyasint"`
	// Request names the caller's request in the log.
	Request string `cbor:"2,keyasint,omitempty"`
	Queue   Queue  `cbor:"3,keyasint"`
	Spec    string `cbor:"4,keyasint,omitempty"`
	Steps   []Step `cbor:"5,keyasint"`
	// Waited is how long the job has waited at this entry before it was handed in.
	Waited time.Duration `cbor:"-"`
	// Timeout is how long the caller waits for the answer; 0 for no bound.
	Timeout time.Duration `cbor:"-"`
	// IsStored means that control keeps the job, and that it goes on without its caller.
	IsStored bool `cbor:"-"`
	// Epoch numbers the holders of a stored job, from 1. Progress is what earlier ones have recorded.
	Epoch    uint32         `cbor:"-"`
	Progress []TaskProgress `cbor:"-"`
}

// TaskProgress is what is recorded of one task of a stored job.
type TaskProgress struct {
	Step, Index int
	IsDone      bool
	Failures    int
}

// Queue is a catalogue entry as far as it matters to its jobs.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Pool names the workers that run the tasks.
	Pool string `cbor:"2,keyasint"`
	// Priority 0 comes first.
	Priority int `cbor:"3,keyasint,omitempty"`
	// Attempts bounds the runs of one task that may fail.
	Attempts int `cbor:"4,keyasint,omitempty"`
	// Slack and Target give the time in which a job should end: Slack times its longest chain of work, and Target.
	Slack  float64       `cbor:"5,keyasint,omitempty"`
	Target time.Duration `cbor:"6,keyasint,omitempty"`
}

// Step is a set of equal tasks.
type Step struct {
	Count int        `cbor:"1,keyasint"`
	Needs work.Needs `cbor:"2,keyasint"`
	// Expected is a rough estimate of one task's run time.
	Expected time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Label must be among the worker's labels; empty for any worker.
	Label string `cbor:"5,keyasint,omitempty"`
	// DataRack is the label of the rack on which the tasks run fastest.
	DataRack string `cbor:"6,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 for no bound.
	MaxPerWorker int `cbor:"7,keyasint,omitempty"`
}

// Result is how a job ended.
type Result uint8

// Results of jobs.
const (
	// Completed means that every task is done.
	Completed Result = iota + 1
	// JobFailed means that a task has failed as often as its queue allows.
	JobFailed
	// Refused means that nothing of the job ran or will run.
	Refused
	// GivenUp means that the job can't end in time. Some of it may have run, and may be run again.
	GivenUp
	// JobCancelled was asked for.
	JobCancelled
	// Accepted means that control keeps the job, which is run without its caller.
	Accepted
)

// String returns the result's name in logs.
func (r Result) String() string {
	names := [...]string{"none", "completed", "failed", "refused", "given up", "cancelled", "accepted"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Cause says why a job was refused or given up.
type Cause uint8

// Causes.
const (
	// NoWorkers means that no worker of the pool can be reached.
	NoWorkers Cause = iota + 1
	// Overloaded means that the work would wait too long.
	Overloaded
	// TooLarge means that no worker is large enough for a task.
	TooLarge
	// DeadlinePassed means that the caller's time is over, or can't be met any more.
	DeadlinePassed
	// TaskFailed means that the task itself failed.
	TaskFailed
	// CallerGone means that the caller has closed its connection.
	CallerGone
	// Stopping means that this entry is about to end.
	Stopping
	// Requested means that a cancel was asked for.
	Requested
	// ControlUnavailable means that the job could not be stored.
	ControlUnavailable
)

// String returns the cause's name in logs.
func (c Cause) String() string {
	names := [...]string{
		"none", "no workers", "overloaded", "too large", "deadline passed", "task failed", "caller gone", "stopping",
		"requested", "control away",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Answer is the end of a job.
type Answer struct {
	Job string
	// Request is that of the first caller.
	Request string
	Queue   string
	Result  Result
	Cause   Cause
	// IsStored means that the job was one that control keeps.
	IsStored bool
	// RetryAfter is when the caller may come back, if the job was refused.
	RetryAfter time.Duration
	Trace      Trace
}

// Trace sums a job up for the log.
type Trace struct {
	Tasks int
	// Waited is the time until the last first start, Took the time until the answer.
	Waited time.Duration
	Took   time.Duration
	// Objective is the time in which the job should have ended.
	Objective time.Duration
	// Offers and Failures count over all tasks.
	Offers   int
	Failures int
	// PredictedWait was the longest wait expected when the job came.
	PredictedWait time.Duration
	// Worker is the one whose task ended last or failed.
	Worker string
}

// Effects are what the dispatcher wants done.
type Effects struct {
	Frames  []Frame
	Answers []Answer
	// Records are ends to be recorded by control. Recorded is called with what becomes of each.
	Records []Record
	// ProgressRequests are jobs whose recorded progress is wanted. ProgressTold is called with it.
	ProgressRequests []ProgressRequest
	Notes            []Note
}

// ProgressRequest asks what control has recorded of a stored job, as of now or later.
type ProgressRequest struct {
	Job string
	// Number is handed back with the answer.
	Number uint64
}

// Record is the end of a run that has to be recorded.
type Record struct {
	work.RunID
	IsFailure bool
}

// StoredState is how far a stored job is, as control has it.
type StoredState uint8

// States of stored jobs.
const (
	// StoredUnknown means that control does not keep the job.
	StoredUnknown StoredState = iota
	// StoredOpen means that it has not ended.
	StoredOpen
	// StoredCompleted means that every task is done.
	StoredCompleted
	// StoredFailed means that a task has failed too often.
	StoredFailed
	// StoredCancelled was asked for.
	StoredCancelled
)

// Frame goes to one worker's sidecar.
type Frame struct {
	Worker string
	work.ToSidecar
}

// Note is one decision for the log.
type Note struct {
	Kind NoteKind
	work.RunID
	Worker string
	Reason string
	// Age is how old the load was on which an offer was made, or a move was decided, and of a lost session its silence.
	Age time.Duration
}

// NoteKind says what was decided.
type NoteKind uint8

// Kinds of notes.
const (
	// OfferRejected means that a sidecar refused an offer.
	OfferRejected NoteKind = iota + 1
	// RunUnsuccessful means that a run failed, stalled or was lost.
	RunUnsuccessful
	// SessionLost means that a sidecar is out of reach; its tasks wait until they are over for certain.
	SessionLost
	// SessionEstablished means that a sidecar is in reach.
	SessionEstablished
	// WorkerEjected means that a worker fails work that succeeds elsewhere.
	WorkerEjected
	// WorkerOnProbation means that a worker set aside gets a little work again.
	WorkerOnProbation
	// RunMoved means that a run is stopped since another worker will be done sooner.
	RunMoved
	// WorkerReadmitted means that a trial succeeded.
	WorkerReadmitted
	// JobLeaseLost means that control has not answered for so long that stored jobs may be given to others: they are stopped.
	JobLeaseLost
	// JobLeaseAcquired means that control has confirmed that this entry runs its stored jobs.
	JobLeaseAcquired
	// JobTakenOver means that a stored job came from another holder.
	JobTakenOver
	// JobReleased means that a stored job is not this entry's any more.
	JobReleased
)
