package target

import (
	"encoding/hex"
	"time"
)

// JobID names a job.
type JobID [16]byte

// ParseJobID reads the 32 hexadecimal digits of an id and reports whether they are well formed.
func ParseJobID(text string) (JobID, bool) {
	var id JobID
	if len(text) != hex.EncodedLen(len(id)) {
		return id, false
	}
	_, err := hex.Decode(id[:], []byte(text))
	return id, err == nil
}

// String returns the id as 32 hexadecimal digits.
func (id JobID) String() string {
	return hex.EncodeToString(id[:])
}

// Outcome is the state of a task. Its numbers are those of the protocol.
type Outcome uint8

// States of a task; those from Done on are final for their attempt.
const (
	// Unseen means that nothing is known of the task, and nothing was forgotten either.
	Unseen Outcome = iota
	Queued
	Running
	Done
	Failed
	// NotRun means that the attempt has not run and never will.
	NotRun
	// Cancelled means that it never started, or, for repeatable work only, that it was stopped.
	Cancelled
	// Unknown means that it may have run.
	Unknown
)

// Final reports whether the attempt has ended.
func (o Outcome) Final() bool {
	return o >= Done
}

// Cause tells why an outcome is not Done. Its numbers are those of the protocol.
type Cause uint8

// Causes.
const (
	CauseNone Cause = iota
	CauseTask
	CauseTarget
	CauseBusy
	CauseLeaving
	CauseFenced
	CauseIncarnation
	CauseDeadline
	CauseCancelled
	CauseLost
	CauseSealed
)

// TaskOutcome is what is known of one task.
type TaskOutcome struct {
	Index, Attempt uint32
	Outcome        Outcome
	Cause          Cause
	Reason         string
	Result         []byte
	// QueueTime was spent in the queue, RunTime at the target.
	QueueTime, RunTime time.Duration
}

// Load is the target's load. Sequence grows with each answer.
type Load struct {
	Slots, Busy, Queued int
	Leaving             bool
	Sequence            uint64
}

// firstEpoch is the oldest epoch under which the job may have been here.
func (r Run) firstEpoch() uint64 {
	if r.FirstEpoch == 0 {
		return r.Epoch
	}
	return r.FirstEpoch
}

// Event is something that happens to a target: one of the types below.
type Event interface{ isEvent() }

// Run asks for the outcomes of tasks of one job and starts those that may start.
type Run struct {
	// Waiter names the request; it is unused before and gets exactly one Answer.
	Waiter uint64
	Job    JobID
	// Incarnation is the process meant; empty accepts any, for repeatable work only.
	Incarnation string
	Epoch       uint64
	// FirstEpoch is that of the job's first claim; 0 stands for Epoch.
	FirstEpoch uint64
	Repeatable bool
	// Entry is the catalogue entry's name.
	Entry string
	// Deadline counts from the start of the process, as the time given to Step does.
	Deadline time.Duration
	// Slots is what each task takes; 0 counts as 1.
	Slots int
	Tasks []Spec
}

// Spec is one task of a Run.
type Spec struct {
	Index, Attempt uint32
	Payload        []byte
}

// HoldOver answers a Run with what is known by now; its caller waits no longer.
type HoldOver struct{ Waiter uint64 }

// Seal raises the fence of a job to an epoch: nothing starts under an older one. With All, nothing starts under this
// epoch up to Attempt either. Without All, the tasks in Indexes don't start up to Attempt under this epoch; 0 stands
// for every attempt.
type Seal struct {
	Waiter      uint64
	Job         JobID
	Incarnation string
	Epoch       uint64
	Attempt     uint32
	Indexes     []uint32
	All         bool
	// FirstEpoch is that of the job's first claim; 0 stands for Epoch, and with All for not known.
	FirstEpoch uint64
}

// Cancel ends queued tasks and asks running ones to stop.
type Cancel struct {
	Waiter uint64
	Jobs   []CancelledJob
}

// CancelledJob names tasks of one job, or all.
type CancelledJob struct {
	Job     JobID
	Indexes []uint32
	All     bool
}

// Status asks what is known of tasks; no index stands for all that are known.
type Status struct {
	Waiter  uint64
	Job     JobID
	Indexes []uint32
}

// Finished reports how a Start ended.
type Finished struct {
	Job            JobID
	Index, Attempt uint32
	// Outcome is Done, Failed, NotRun or Unknown.
	Outcome Outcome
	Cause   Cause
	Reason  string
	Result  []byte
}

// Leave ends new work for good: the process is stopping.
type Leave struct{}

// Drain says whether the operator has drained the target.
type Drain struct{ Drained bool }

// Reach says whether the target can be reached.
type Reach struct{ Up bool }

// Tick lets time pass: queued tasks past their deadline end, old outcomes are forgotten.
type Tick struct{}

func (Run) isEvent()      {}
func (HoldOver) isEvent() {}
func (Seal) isEvent()     {}
func (Cancel) isEvent()   {}
func (Status) isEvent()   {}
func (Finished) isEvent() {}
func (Leave) isEvent()    {}
func (Drain) isEvent()    {}
func (Reach) isEvent()    {}
func (Tick) isEvent()     {}

// Effect is something to carry out: one of the types below.
type Effect interface{ isEffect() }

// Start sends a task to the target. It is answered by exactly one Finished.
type Start struct {
	Job            JobID
	Index, Attempt uint32
	Repeatable     bool
	Entry          string
	// Deadline is when the call ends at the latest.
	Deadline time.Duration
	Payload  []byte
}

// Abort closes the request of a Start that has not finished.
type Abort struct {
	Job            JobID
	Index, Attempt uint32
}

// Answer answers a request.
type Answer struct {
	Waiter   uint64
	Outcomes []TaskOutcome
	Load     Load
	// Freed and Stopping count the tasks that a Cancel ended and asked to stop.
	Freed, Stopping int
	// Lost, for a Seal, means that tasks not listed may have been started here.
	Lost bool
	// Repeated, for a Run, means that it brought nothing new.
	Repeated bool
}

func (Start) isEffect()  {}
func (Abort) isEffect()  {}
func (Answer) isEffect() {}
