package dispatch

import (
	"time"

	"flamingohall.example/core/policy"
	"flamingohall.example/core/work"
)

// Limits are the fixed durations of a dispatcher.
type Limits struct {
	// Grant is how long offered work may keep running after this entry last answered a probe.
	Grant time.Duration
	// JobLease is how long stored jobs may run after the sending of a call that control answered.
	JobLease time.Duration
	// RemoteDataFactor is how many times as long a task runs away from the rack of its data.
	RemoteDataFactor float64
	// Policy holds the switches and weights of the decisions.
	Policy policy.Policy
}

// DefaultLimits agree with runner.DefaultLimits: Grant covers the sidecar's grant, the rate error of a slow worker
// clock, and the time that a stop takes. Control reassigns jobs only after both the job lease and the grant have expired
// (see holderTimeout in node/control); the job lease outlasts a usual election
// there, but not one that is delayed by slow disks.
var DefaultLimits = Limits{Grant: 1100 * time.Millisecond, JobLease: 2 * time.Second, RemoteDataFactor: 1.5, Policy: policy.Default()}

// Submission is one job as its caller sent it.
type Submission struct {
	// ID is unique in the whole system. Submissions with the same ID are the same job.
	ID string `cbor:"1,keyasint"`
	// Request identifies the caller's request in the log.
	Request string `cbor:"2,keyasint,omitempty"`
	Queue   Queue  `cbor:"3,keyasint"`
	Spec    string `cbor:"4,keyasint,omitempty"`
	Steps   []Step `cbor:"5,keyasint"`
	// Waited is how long the job waited at this entry before it was submitted to the dispatcher.
	Waited time.Duration `cbor:"-"`
	// Unread is how long the request waited in its socket before this process read it.
	Unread time.Duration `cbor:"-"`
	// Timeout is how long the caller waits for the answer; 0 means no limit.
	Timeout time.Duration `cbor:"-"`
	// IsStored means that control stores the job, and that it continues without its caller.
	IsStored bool `cbor:"-"`
	// Epoch numbers the holders of a stored job, from 1. Progress is what earlier holders have recorded.
	Epoch    uint32         `cbor:"-"`
	Progress []TaskProgress `cbor:"-"`
}

// TaskProgress is the recorded progress of one task of a stored job.
type TaskProgress struct {
	Step, Index int
	IsDone      bool
	// Failures is the number of failed runs, FailedRuns are their numbers. A version of control that tells only the first may run
	// during an upgrade.
	Failures   int
	FailedRuns []uint32
	// Crashes is the number of workers that have ended under the task.
	Crashes int
}

// Queue holds the settings of a catalogue entry that matter to its jobs.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Pool names the workers that run the tasks.
	Pool string `cbor:"2,keyasint"`
	// Priority orders queues; 0 is the most urgent.
	Priority int `cbor:"3,keyasint,omitempty"`
	// Attempts is the number of failed runs after which a task fails for good.
	Attempts int `cbor:"4,keyasint,omitempty"`
	// Slack and Target define the time in which a job should end: Slack times its longest chain of work, plus Target.
	Slack  float64       `cbor:"5,keyasint,omitempty"`
	Target time.Duration `cbor:"6,keyasint,omitempty"`
	// IsShared means that the queues of the pool share its capacity: when it is scarce, the same part of the jobs of each is
	// refused, somewhat more of those with lower priority.
	IsShared bool `cbor:"8,keyasint,omitempty"`
	// MayReserve means that workers may keep capacity idle for the queue's tasks while these wait there.
	MayReserve bool `cbor:"7,keyasint,omitempty"`
}

// Step is a set of identical tasks.
type Step struct {
	Count int        `cbor:"1,keyasint"`
	Needs work.Needs `cbor:"2,keyasint"`
	// Expected is a rough estimate of one task's run time.
	Expected time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Label must be among the worker's labels; empty matches any worker.
	Label string `cbor:"5,keyasint,omitempty"`
	// DataRack is the label of the rack on which the tasks run fastest.
	DataRack string `cbor:"6,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `cbor:"7,keyasint,omitempty"`
}

// Result is how a job ended.
type Result uint8

// Results of jobs.
const (
	// Completed means that every task is done.
	Completed Result = iota + 1
	// JobFailed means that a task has failed as often as its queue allows, or that a worker cannot decode a task.
	JobFailed
	// Refused means that no part of the job ran or will run.
	Refused
	// GivenUp means that the job was abandoned before its end. Parts of it may have run, and may run again if it is
	// resubmitted.
	GivenUp
	// JobCancelled means that a cancel was requested.
	JobCancelled
	// Accepted means that control has stored the job, which runs without its caller.
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

// Cause says why a job did not complete.
type Cause uint8

// Causes of results.
const (
	// NoWorkers means that no suitable worker of the pool is reachable and accepts tasks.
	NoWorkers Cause = iota + 1
	// Overloaded means that the tasks would wait too long.
	Overloaded
	// TooLarge means that no worker is large enough for a task.
	TooLarge
	// DeadlinePassed means that the job's deadline has passed.
	DeadlinePassed
	// TaskFailed means that the task itself failed.
	TaskFailed
	// CallerGone means that the caller has closed its connection.
	CallerGone
	// Stopping means that this entry is shutting down.
	Stopping
	// Requested means that a cancel was requested.
	Requested
	// ControlUnavailable means that the job could not be stored.
	ControlUnavailable
	// WorkersCrashed means that workers have ended under a task of the job.
	WorkersCrashed
	// Contained means that the job's queue may use few workers, because some of its tasks end their workers, and that none of
	// these can serve the job in time.
	Contained
	// AnsweredBefore means that an entry has answered the job before, and that this submission of it ran nothing that counts.
	AnsweredBefore
)

// String returns the cause's name in logs.
func (c Cause) String() string {
	names := [...]string{
		"none", "no workers", "overloaded", "too large", "deadline passed", "task failed", "caller gone", "stopping",
		"requested", "control away", "workers crashed under a task", "queue contained after crashes",
		"answered before",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Answer reports the end of a job.
type Answer struct {
	Job string
	// Request is the request of the first caller.
	Request string
	Queue   string
	Result  Result
	Cause   Cause
	// IsStored means that control stores the job.
	IsStored bool
	// RetryAfter is how long the caller should wait before it tries again, if the job was refused.
	RetryAfter time.Duration
	Trace      Trace
}

// Trace summarises a job for the log.
type Trace struct {
	Tasks int
	// Waited is the time until the last start of a task, retries included; Took is the time until the answer.
	Waited time.Duration
	Took   time.Duration
	// Objective is the time in which the job should have ended.
	Objective time.Duration
	// Offers and Failures are totals over all tasks.
	Offers   int
	Failures int
	// PredictedWait is the longest wait that was expected when the job arrived.
	PredictedWait time.Duration
	// Worker is the one whose run ended last or failed.
	Worker string
	// Expected is the longest chain of expected run times, Target the part of the objective that doesn't depend on it, and
	// MilliCores what one task of the first step needs.
	Expected   time.Duration
	Target     time.Duration
	MilliCores int64
	// Held is how long the job waited for the start of the entry.
	Held time.Duration
	// Slowest says where the task that ended last spent its time.
	Slowest Stages
	// FreeMilliCores and PoolMilliCores are the free and the whole capacity of the pool when the job was refused, as this entry knew it.
	FreeMilliCores, PoolMilliCores int64
}

// Stages are the times that a task spent in each stage.
type Stages struct {
	// Offered is the time from the job's arrival, or the end of the last unsuccessful run, to the first offer; Reoffered from
	// the first to the last offer; Queued from there to the start; Run to the end.
	Offered, Reoffered, Queued, Run time.Duration
}

// Effects are the actions that the dispatcher wants performed.
type Effects struct {
	Frames  []Frame
	Answers []Answer
	// Records are ends of runs for control to record. The caller passes the result of each to Recorded.
	Records []Record
	// ProgressRequests are jobs whose recorded progress is needed. The caller passes it to ProgressReported.
	ProgressRequests []ProgressRequest
	Notes            []Note
	// Close lists the workers whose sessions have ended and are to be closed.
	Close []string
	// Answered are the answers of this entry that the other entries have to know, so that none runs these jobs again.
	Answered []AnsweredJob
}

// ProgressRequest asks what control has recorded of a stored job, at the time of the request or later.
type ProgressRequest struct {
	Job string
	// Number identifies the request; ProgressReported gets it back.
	Number uint64
}

// Record is the end of a run that control has to record.
type Record struct {
	work.RunID
	IsFailure bool
	// IsCrash means that the worker ended under the run. No result is awaited.
	IsCrash bool
}

// StoredState is the state of a stored job at control.
type StoredState uint8

// States of stored jobs.
const (
	// StoredUnknown means that control does not store the job.
	StoredUnknown StoredState = iota
	// StoredOpen means that the job has not ended.
	StoredOpen
	// StoredCompleted means that every task is done.
	StoredCompleted
	// StoredFailed means that a task has failed too often.
	StoredFailed
	// StoredCancelled means that a cancel was requested.
	StoredCancelled
)

// Frame is a message to one worker's sidecar.
type Frame struct {
	Worker string
	work.ToSidecar
}

// Note is one decision or event to log.
type Note struct {
	Kind NoteKind
	// RunID is the run; for JobTakenOver and JobReleased, Task is the job's ID, and for JobTakenOver, Run is the epoch.
	work.RunID
	Worker string
	Reason string
	// Cause says how the sidecar knows that a lost run is over.
	Cause string
	// Age depends on the kind: for runs, the age of the load report that the offer or move was based on; for a lost
	// session, the time since the last answered probe; for the job lease, the time since the sending of the last call
	// that control answered.
	Age time.Duration
	// Count depends on the kind.
	Count int
}

// NoteKind says what a note is about.
type NoteKind uint8

// Kinds of notes.
const (
	// OfferRejected means that a sidecar rejected an offer.
	OfferRejected NoteKind = iota + 1
	// RunUnsuccessful means that a run failed, stalled, was stopped or was lost.
	RunUnsuccessful
	// SessionLost means that a sidecar is unreachable. Its tasks wait until their runs must have ended.
	SessionLost
	// SessionEstablished means that a session with a sidecar has opened.
	SessionEstablished
	// WorkerEjected means that a worker fails work that succeeds elsewhere and gets no tasks.
	WorkerEjected
	// WorkerOnProbation means that an ejected worker gets a little work again.
	WorkerOnProbation
	// RunMoved means that a run is stopped because another worker would finish it sooner.
	RunMoved
	// WorkerReadmitted means that a worker on probation succeeded and is no longer ejected.
	WorkerReadmitted
	// JobLeaseLost means that control has not answered within the job lease. Stored jobs are stopped, since control may
	// assign them to other entries.
	JobLeaseLost
	// JobLeaseAcquired means that control has confirmed that this entry may run its stored jobs.
	JobLeaseAcquired
	// JobTakenOver means that a stored job was transferred from another holder to this entry.
	JobTakenOver
	// AssignmentIgnored means that control assigned a job that is known here. Run is the epoch that is known, Count the assigned one.
	AssignmentIgnored
	// CrashRecorded means that control is asked to record the end of a worker under a run of a stored task. Reason is the incarnation.
	CrashRecorded
	// JobReleased means that this entry no longer holds a stored job.
	JobReleased
	// TaskGivenUp means that a task is not started again because workers have ended under it. Count is their number.
	TaskGivenUp
	// QueueContained means that a queue may use Count workers only, because of Task. QueueReleased means that it may use all.
	QueueContained
	QueueReleased
	// SheddingBegan means that jobs of a pool are refused because its backlog is too long for the most urgent ones, which wait for
	// Age. SheddingEnded means that no job was refused for this reason for a while; Count is the number of those that were.
	SheddingBegan
	SheddingEnded
)
