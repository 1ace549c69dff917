package work

// ToSidecar is one frame from an entry to a sidecar.
type ToSidecar struct {
	// Hello is set in the first frame of a session only.
	Hello *Hello `cbor:"1,keyasint,omitempty"`
	// Echo is the number of the last probe received; 0 for none.
	Echo   uint64  `cbor:"2,keyasint,omitempty"`
	Offers []Offer `cbor:"3,keyasint,omitempty"`
	// Stops withdraw offers, started or not.
	Stops []RunID `cbor:"4,keyasint,omitempty"`
	// CancelledJobs are jobs of which no task may run on, whoever offered it.
	CancelledJobs []string `cbor:"5,keyasint,omitempty"`
	// Confirmed are ends that are recorded, or that nobody needs any more.
	Confirmed []Confirmed `cbor:"6,keyasint,omitempty"`
}

// Confirmed tells that an end needs to be told no more.
type Confirmed struct {
	RunID
	// IsRecorded is false for the end of a run that control does not keep.
	IsRecorded bool `cbor:"3,keyasint,omitempty"`
}

// Hello names the entry that opens a session.
type Hello struct {
	Entry string `cbor:"1,keyasint"`
}

// RunID names one run of a task.
type RunID struct {
	// Task is JOB.OCCURRENCE.STEP.INDEX.
	Task string `cbor:"1,keyasint"`
	// Run numbers the starts of the task, from 1.
	Run uint32 `cbor:"2,keyasint"`
}

// Offer asks a sidecar to run a task.
type Offer struct {
	RunID
	// Sequence numbers the offers of a session, from 1.
	Sequence uint64 `cbor:"3,keyasint"`
	Spec     string `cbor:"4,keyasint,omitempty"`
	Needs    Needs  `cbor:"5,keyasint"`
	// ExpectedMS is how long the run is expected to take.
	ExpectedMS int64 `cbor:"6,keyasint,omitempty"`
	// StartWithinMS is how long the offer may wait for room; then it is refused.
	StartWithinMS int64 `cbor:"7,keyasint"`
	// SlackMS is how much later than now the run may start and still end in time. Offers with less go first.
	SlackMS int64 `cbor:"8,keyasint,omitempty"`
	// Checkpoint lets the task resume; empty to start from its beginning.
	Checkpoint string `cbor:"9,keyasint,omitempty"`
	// IsStored means that the end of the run has to be confirmed before the worker may forget it.
	IsStored bool `cbor:"10,keyasint,omitempty"`
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
	// CancelledJobs pass on a cancel that another entry was asked for.
	CancelledJobs []string `cbor:"7,keyasint,omitempty"`
	// Overdue are runs that take much longer than expected.
	Overdue []Overdue `cbor:"8,keyasint,omitempty"`
}

// Overdue tells of a run that takes much longer than expected.
type Overdue struct {
	RunID
	// RemainingMS is how much longer it will take at the pace that it has.
	RemainingMS int64 `cbor:"3,keyasint"`
}

// Worker is what stays the same during one incarnation of a worker.
type Worker struct {
	// Incarnation changes whenever the worker starts anew.
	Incarnation string   `cbor:"1,keyasint"`
	Pool        string   `cbor:"2,keyasint"`
	Capacity    Needs    `cbor:"3,keyasint"`
	Labels      []string `cbor:"4,keyasint,omitempty"`
}

// SlackLevels is the number of SlackBounds.
const SlackLevels = 3

// SlackBounds divide offers by their slack in milliseconds, as waits differ: offers with less slack go first. The last
// level has no bound.
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
	// Accepts is false while the worker leaves, fails or can't be reached.
	Accepts bool `cbor:"1,keyasint,omitempty"`
	// Committed is what runs and what waits take together.
	Committed Needs `cbor:"2,keyasint"`
	// Waiting is the number of offers that have not started.
	Waiting uint32 `cbor:"3,keyasint,omitempty"`
	// WaitMS is how long one more offer is expected to wait, by its slack: one value for each of SlackBounds.
	WaitMS [SlackLevels]int64 `cbor:"4,keyasint,omitempty"`
	// RunTimePercent is how long runs take there at present, in percent of what is expected.
	RunTimePercent int64 `cbor:"6,keyasint,omitempty"`
	// LastSequence is the sequence of the last offer of this session that is counted above.
	LastSequence uint64 `cbor:"5,keyasint,omitempty"`
}

// Outcome says how a run ended.
type Outcome uint8

// Outcomes of runs. Only Done and Failed tell of the task itself.
const (
	Done Outcome = iota + 1
	// Failed is a failure of the task or of the worker.
	Failed
	// Stopped was asked for.
	Stopped
	// Lost ended with its worker, or with the lease on it.
	Lost
	// Stalled made no progress and was stopped.
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

// Ended tells that a run is over and works no more.
type Ended struct {
	RunID
	Outcome Outcome `cbor:"3,keyasint"`
	// RanMS is the time from the start to the end.
	RanMS int64 `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the last one seen.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// AwaitsConfirmation means that the end is told again until it is confirmed. The run may be one of another entry, or of
	// an earlier process.
	AwaitsConfirmation bool `cbor:"6,keyasint,omitempty"`
}

// Reason says why an offer was refused.
type Reason uint8

// Reasons for refusals. After each of them the run never starts.
const (
	// Expired means that no room came in time.
	Expired Reason = iota + 1
	// Unavailable means that the worker leaves, fails or can't be reached.
	Unavailable
	// Outrun means that the worker knows a later run of the task.
	Outrun
	// Malformed means that the worker can't read the order.
	Malformed
	// Unanswered means that the order got no answer, and was revoked.
	Unanswered
	// TooLarge means that the task exceeds the worker.
	TooLarge
	// Busy means that another run of the task is not over there.
	Busy
	// Cancelled means that the job was cancelled.
	Cancelled
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	names := [...]string{
		"none", "expired", "unavailable", "outrun", "malformed", "unanswered", "too large", "busy", "cancelled",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Refused tells that an offer was not and will not be started.
type Refused struct {
	RunID
	Reason Reason `cbor:"3,keyasint"`
}
