package work

import "strings"

// ToSidecar is one frame from an entry to a sidecar.
type ToSidecar struct {
	// Hello is set in the first frame of a session only.
	Hello *Hello `cbor:"1,keyasint,omitempty"`
	// Echo is the number of the last probe received; 0 for none.
	Echo   uint64  `cbor:"2,keyasint,omitempty"`
	Offers []Offer `cbor:"3,keyasint,omitempty"`
	// Stops withdraw offers, started or not.
	Stops []RunID `cbor:"4,keyasint,omitempty"`
	// CancelledJobs are jobs of which no task may keep running, whichever entry offered it.
	CancelledJobs []string `cbor:"5,keyasint,omitempty"`
	// Confirmed are ends that are recorded, or that do not need to be.
	Confirmed []Confirmed `cbor:"6,keyasint,omitempty"`
	// Backlog is the entry's backlog in the worker's pool; nil if the entry doesn't report it.
	Backlog *Backlog `cbor:"7,keyasint,omitempty"`
}

// Confirmed says that an end no longer needs to be reported.
type Confirmed struct {
	RunID
	// IsRecorded is false for the end of a run whose job control does not store.
	IsRecorded bool `cbor:"3,keyasint,omitempty"`
}

// Backlog is the work that waits for its start, and the rate at which work starts.
type Backlog struct {
	// WaitingMilliCores is what the waiting tasks need in total.
	WaitingMilliCores int64 `cbor:"1,keyasint,omitempty"`
	// MilliCoresPerSecond is the total of what the tasks need that start within a second.
	MilliCoresPerSecond int64 `cbor:"2,keyasint,omitempty"`
}

// Plus returns the sum.
func (b Backlog) Plus(other Backlog) Backlog {
	return Backlog{
		WaitingMilliCores:   b.WaitingMilliCores + other.WaitingMilliCores,
		MilliCoresPerSecond: b.MilliCoresPerSecond + other.MilliCoresPerSecond,
	}
}

// Hello identifies the entry that opens a session.
type Hello struct {
	Entry string `cbor:"1,keyasint"`
}

// RunID identifies one run of a task.
type RunID struct {
	// Task has the form JOB.OCCURRENCE.STEP.INDEX.
	Task string `cbor:"1,keyasint"`
	// Run numbers the runs of the task, from 1.
	Run uint32 `cbor:"2,keyasint"`
}

// Offer asks a sidecar to run a task.
type Offer struct {
	RunID
	// Sequence numbers the offers of a session, from 1.
	Sequence uint64 `cbor:"3,keyasint"`
	Spec     string `cbor:"4,keyasint,omitempty"`
	Needs    Needs  `cbor:"5,keyasint"`
	// ExpectedMS is the expected run time.
	ExpectedMS int64 `cbor:"6,keyasint,omitempty"`
	// StartWithinMS is how long the offer may wait for free capacity; then it is rejected.
	StartWithinMS int64 `cbor:"7,keyasint"`
	// SlackMS is how long the start may be delayed from now for the run to end in time. Offers with less slack start
	// first.
	SlackMS int64 `cbor:"8,keyasint,omitempty"`
	// Checkpoint lets the task resume; empty to start from the beginning.
	Checkpoint string `cbor:"9,keyasint,omitempty"`
	// IsStored means that the worker must keep the end of the run until it is confirmed.
	IsStored bool `cbor:"10,keyasint,omitempty"`
	// Queue is the name of the task's queue.
	Queue string `cbor:"11,keyasint,omitempty"`
	// Crashes is the number of workers that have ended under the task, as far as the entry knows.
	Crashes uint32 `cbor:"12,keyasint,omitempty"`
	// IsExclusive means that the task runs beside tasks of its own job only.
	IsExclusive bool `cbor:"13,keyasint,omitempty"`
	// YieldsWhenLate means that the task starts after those that can still end in time, once it can't itself.
	YieldsWhenLate bool `cbor:"15,keyasint,omitempty"`
	// SpareMS is how long the start may be delayed from now for the job to end in time; unlike SlackMS it includes no priority.
	SpareMS int64 `cbor:"16,keyasint,omitempty"`
	// MayReserve means that capacity may be kept idle for the task while it waits.
	MayReserve bool `cbor:"14,keyasint,omitempty"`
}

// ToEntry is one frame from a sidecar to an entry.
type ToEntry struct {
	// Probe asks for an Echo of this number; 0 for none.
	Probe   uint64    `cbor:"1,keyasint,omitempty"`
	Worker  *Worker   `cbor:"2,keyasint,omitempty"`
	Load    *Load     `cbor:"3,keyasint,omitempty"`
	Started []RunID   `cbor:"4,keyasint,omitempty"`
	Ended   []Ended   `cbor:"5,keyasint,omitempty"`
	Refused []Refused `cbor:"6,keyasint,omitempty"`
	// CancelledJobs forwards cancels that another entry received.
	CancelledJobs []string `cbor:"7,keyasint,omitempty"`
	// Overdue are runs that take much longer than expected.
	Overdue []Overdue `cbor:"8,keyasint,omitempty"`
	// Crashes go to every entry. One precedes, in the same frame or an earlier one, the ends of its runs.
	Crashes []Crash `cbor:"9,keyasint,omitempty"`
	// Suspicions go to every entry. They precede a Crash of the same incarnation. An entry that ignores them learns the Crash.
	Suspicions []Suspicion `cbor:"10,keyasint,omitempty"`
}

// Suspicion reports that a worker seems to have ended under runs, or that it has not. The runs may go on: they are over only when
// their ends are reported.
type Suspicion struct {
	// Incarnation of the worker.
	Incarnation string       `cbor:"1,keyasint"`
	Runs        []CrashedRun `cbor:"2,keyasint,omitempty"`
	// AgeMS is how long ago the worker seemed to end.
	AgeMS int64 `cbor:"3,keyasint,omitempty"`
	// OverInMS is the time until the lease of the runs has expired. The worker gets no other lease before it has answered.
	OverInMS int64 `cbor:"4,keyasint,omitempty"`
	// IsWithdrawn means that the worker has answered. A Crash of the same incarnation, if there was one, is void as well.
	IsWithdrawn bool `cbor:"5,keyasint,omitempty"`
}

// Crash reports that a worker ended under runs, without having said that it leaves.
type Crash struct {
	// Incarnation of the worker that ended.
	Incarnation string       `cbor:"1,keyasint"`
	Runs        []CrashedRun `cbor:"2,keyasint"`
	// AgeMS is how long ago the worker ended.
	AgeMS int64 `cbor:"3,keyasint,omitempty"`
	// IsUnconfirmed means that no later incarnation has answered yet: the runs are over with their lease, and the worker still refuses
	// connections. A Crash that is confirmed follows, or a Suspicion that is withdrawn, or neither if the worker never returns.
	IsUnconfirmed bool `cbor:"4,keyasint,omitempty"`
}

// CrashedRun is a run under which a worker ended.
type CrashedRun struct {
	Task  string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint,omitempty"`
	// Crashes is the number of workers that have ended under the task, this one included.
	Crashes uint32 `cbor:"3,keyasint,omitempty"`
	// WasStarted is false if the worker had not confirmed the start.
	WasStarted bool `cbor:"4,keyasint,omitempty"`
	// RanMS is the time from the start, or from the order to start if that was not confirmed, to the end of the worker.
	RanMS int64 `cbor:"5,keyasint,omitempty"`
	// ExpectedMS is the expected run time.
	ExpectedMS int64 `cbor:"6,keyasint,omitempty"`
}

// IsOfOneJob reports whether all runs belonged to the same job, so that one of them ended the worker unless the worker ended
// by itself.
func (c *Crash) IsOfOneJob() bool {
	for i := range c.Runs {
		if JobOf(c.Runs[i].Task) != JobOf(c.Runs[0].Task) {
			return false
		}
	}
	return len(c.Runs) > 0
}

// JobOf returns the job in a task's name: the part before the first dot.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// Overdue reports a run that takes much longer than expected.
type Overdue struct {
	RunID
	// RemainingMS is the expected remaining time of the run at its measured speed.
	RemainingMS int64 `cbor:"3,keyasint"`
}

// Worker describes a worker. Its capacity may change during one incarnation.
type Worker struct {
	// Incarnation changes whenever the worker restarts.
	Incarnation string   `cbor:"1,keyasint"`
	Pool        string   `cbor:"2,keyasint"`
	Capacity    Needs    `cbor:"3,keyasint"`
	Labels      []string `cbor:"4,keyasint,omitempty"`
}

// SlackLevels is the number of slack levels: those below each of SlackBounds, and a last one without a bound.
const SlackLevels = 3

// SlackBounds are the upper bounds, in milliseconds, of the slack levels except the last. Waits are reported by level,
// because offers with less slack start first and so wait less.
var SlackBounds = [SlackLevels - 1]int64{120, 300}

// SlackLevel returns the level of a slack in milliseconds.
func SlackLevel(slackMS int64) int {
	for level, bound := range SlackBounds {
		if slackMS <= bound {
			return level
		}
	}
	return SlackLevels - 1
}

// Load is how busy a worker is.
type Load struct {
	// Accepts is false while the worker is leaving, failing or unreachable.
	Accepts bool `cbor:"1,keyasint,omitempty"`
	// Committed is the total of what running tasks and waiting offers need.
	Committed Needs `cbor:"2,keyasint"`
	// Waiting is the number of offers that have not started.
	Waiting uint32 `cbor:"3,keyasint,omitempty"`
	// WaitMS is how long one more offer is expected to wait, by slack level.
	WaitMS [SlackLevels]int64 `cbor:"4,keyasint,omitempty"`
	// RunTimePercent is the worker's measured speed, expressed as the run time of recent runs in percent of the expected
	// one: 200 means half the expected speed.
	RunTimePercent int64 `cbor:"6,keyasint,omitempty"`
	// LastSequence is the sequence number of the last offer of this session that this report counts.
	LastSequence uint64 `cbor:"5,keyasint,omitempty"`
	// ColdMS is how much longer the worker is slow after its start.
	ColdMS int64 `cbor:"7,keyasint,omitempty"`
	// SpeedPercent is the worker's speed, measured over the completed runs of all entries: 200 means half the expected run times.
	// It is 0 while too few runs were measured.
	SpeedPercent int64 `cbor:"8,keyasint,omitempty"`
	// Backlog is the sum of the backlogs that entries have reported lately.
	Backlog Backlog `cbor:"9,keyasint,omitempty"`
}

// Outcome says how a run ended.
type Outcome uint8

// Outcomes of runs. Only Done and Failed say something about the task itself.
const (
	Done Outcome = iota + 1
	// Failed means that the task or the worker has failed.
	Failed
	// Stopped means that a stop was requested.
	Stopped
	// Lost means that the run ended with its worker, or when the lease on the worker lapsed.
	Lost
	// Stalled means that the run made no progress and was stopped.
	Stalled
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	names := [...]string{"none", "done", "failed", "stopped", "lost", "stalled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Ended reports that a run has ended and no longer has any effect.
type Ended struct {
	RunID
	Outcome Outcome `cbor:"3,keyasint"`
	// RanMS is the time from the start to the end.
	RanMS int64 `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the last one seen.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// AwaitsConfirmation means that the end is reported again until it is confirmed. The run may have been offered by
	// another entry, or by an earlier process.
	AwaitsConfirmation bool `cbor:"6,keyasint,omitempty"`
	// Cause says how the sidecar knows that a lost run is over, for the log.
	Cause string `cbor:"7,keyasint,omitempty"`
}

// Reason says why an offer was rejected.
type Reason uint8

// Reasons for rejections. After each of them the run never starts.
const (
	// Expired means that no capacity became free in time.
	Expired Reason = iota + 1
	// Unavailable means that the worker is leaving, failing or unreachable.
	Unavailable
	// Superseded means that the worker knows a later run of the task.
	Superseded
	// Malformed means that the worker cannot decode the order.
	Malformed
	// Unanswered means that the order got no answer and was revoked.
	Unanswered
	// TooLarge means that the task needs more than the worker's capacity.
	TooLarge
	// Busy means that another run of the task has not ended there.
	Busy
	// Cancelled means that the job was cancelled.
	Cancelled
	// Full means that the offer would not start in time, by the worker's runs and the offers that wait before it.
	Full
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	names := [...]string{
		"none", "expired", "unavailable", "outrun", "malformed", "unanswered", "too large", "busy", "cancelled", "full",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Refused reports that an offer was not started and never will be.
type Refused struct {
	RunID
	Reason Reason `cbor:"3,keyasint"`
}
