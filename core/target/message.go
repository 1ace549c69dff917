package target

import (
	"encoding/hex"
	"time"
)

// JobID identifies a job.
type JobID [16]byte

// ParseJobID parses an id of 32 hexadecimal digits and reports whether it is well formed.
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

// Outcome is the state of a task. Its values are those of the protocol.
type Outcome uint8

// States of a task; those from Done on are final for their attempt.
const (
	// Unseen means that there is no record of the task and, if it is never-repeated, that it was not started here.
	Unseen Outcome = iota
	Queued
	Running
	Done
	Failed
	// NotRun means that the attempt has not started and never will.
	NotRun
	// Cancelled means that the attempt never started or, for repeatable work only, that it was stopped.
	Cancelled
	// Unknown means that the attempt may have run.
	Unknown
)

// Final reports whether the attempt has ended.
func (o Outcome) Final() bool {
	return o >= Done
}

// Cause is the reason for an outcome other than Done. Its values are those of the protocol.
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

// TaskOutcome is the known state of one task.
type TaskOutcome struct {
	Index, Attempt uint32
	Outcome        Outcome
	Cause          Cause
	Reason         string
	Result         []byte
	// QueueTime was spent in the queue, RunTime on the target.
	QueueTime, RunTime time.Duration
}

// Load is the load of a target. Sequence increases with each answer.
type Load struct {
	Slots, Busy, Queued int
	Leaving             bool
	Sequence            uint64
}

// firstEpoch returns the oldest epoch under which the job may have been sent here.
func (r Run) firstEpoch() uint64 {
	if r.FirstEpoch == 0 {
		return r.Epoch
	}
	return r.FirstEpoch
}

// Event is an input of a Target: one of the types below.
type Event interface{ isEvent() }

// Run requests the outcomes of tasks of one job and starts the tasks that may start.
type Run struct {
	// Waiter identifies the request. It must be new, and gets exactly one Answer.
	Waiter uint64
	Job    JobID
	// Incarnation identifies the process addressed. Empty accepts any process, for repeatable work only.
	Incarnation string
	Epoch       uint64
	// FirstEpoch is the epoch of the job's first claim; 0 means Epoch.
	FirstEpoch uint64
	Repeatable bool
	// Entry is the name of the catalogue entry.
	Entry string
	// Deadline is relative to the start of the process, like the time given to Step.
	Deadline time.Duration
	// Slots is the number of slots that each task takes; 0 means 1.
	Slots int
	Tasks []Spec
}

// Spec is one task of a Run.
type Spec struct {
	Index, Attempt uint32
	Payload        []byte
}

// HoldOver answers a Run with the present outcomes, because the hold of its caller has ended.
type HoldOver struct{ Waiter uint64 }

// Seal raises the fence of a job to Epoch: none of its tasks starts under an older epoch. With All, no attempt up to
// Attempt starts under this epoch either. Without All, that holds for the tasks in Indexes only, and Attempt 0 means
// every attempt.
type Seal struct {
	Waiter      uint64
	Job         JobID
	Incarnation string
	Epoch       uint64
	Attempt     uint32
	Indexes     []uint32
	All         bool
	// FirstEpoch is the epoch of the job's first claim; 0 means Epoch, or with All that it is not known.
	FirstEpoch uint64
}

// Cancel ends queued tasks and asks running ones to stop.
type Cancel struct {
	Waiter uint64
	Jobs   []CancelledJob
}

// CancelledJob selects tasks of one job by index, or all of them.
type CancelledJob struct {
	Job     JobID
	Indexes []uint32
	All     bool
}

// Status requests the outcomes of tasks without starting any. No indexes means all known tasks.
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

// Leave refuses new work for good, because the process is stopping.
type Leave struct{}

// Drain sets whether the operator has drained the target.
type Drain struct{ Drained bool }

// Reach sets whether the target is reachable.
type Reach struct{ Up bool }

// Tick advances the time: queued tasks past their deadline end, and old outcomes are evicted.
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

// Effect is an action for the owner of a Target to carry out: one of the types below.
type Effect interface{ isEffect() }

// Start sends a task to the target. Exactly one Finished follows it.
type Start struct {
	Job            JobID
	Index, Attempt uint32
	Repeatable     bool
	Entry          string
	// Deadline is the latest end of the call.
	Deadline time.Duration
	Payload  []byte
}

// Abort closes the request of an unfinished Start.
type Abort struct {
	Job            JobID
	Index, Attempt uint32
}

// Answer answers a request.
type Answer struct {
	Waiter   uint64
	Outcomes []TaskOutcome
	Load     Load
	// Freed counts the queued tasks that a Cancel ended, Stopping the running ones that it asked to stop.
	Freed, Stopping int
	// Lost is set for a Seal when tasks that are not listed may have been started here.
	Lost bool
	// Repeated is set for a Run that contained no new attempt.
	Repeated bool
}

func (Start) isEffect()  {}
func (Abort) isEffect()  {}
func (Answer) isEffect() {}
