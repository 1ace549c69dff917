package runner

import (
	"time"

	"flamingohall.example/core/work"
)

// Session is one connection of an entry. Numbers are never used again.
type Session uint64

// Limits are the fixed times of a runner.
type Limits struct {
	// Lease is the longest lease that the worker grants.
	Lease time.Duration
	// Grant is how long an answered probe lets an entry's tasks run, from the probe's sending.
	Grant time.Duration
	// StopAhead is how long before the end of a grant the tasks under it are stopped, so that the lease of the other
	// entries' tasks does not lapse with it.
	StopAhead time.Duration
	// Probe is the time between two probes of a session.
	Probe time.Duration
}

// DefaultLimits suit workers whose lease is one second.
var DefaultLimits = Limits{
	Lease:     time.Second,
	Grant:     time.Second,
	StopAhead: 200 * time.Millisecond,
	Probe:     200 * time.Millisecond,
}

// Announcement is what the worker says of itself.
type Announcement struct {
	work.Worker `cbor:"1,keyasint"`
	// Leaving means that the worker takes no new tasks.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Born orders the incarnations, by the time of day at which they started.
	Born int64 `cbor:"4,keyasint,omitempty"`
}

// Effects are what the runner wants done, in the order of the fields.
type Effects struct {
	Frames []Frame
	Starts []Start
	Stops  []Stop
	// Hold is nil when there is none to be sent.
	Hold *Hold
	// Close lists sessions whose grant has ended.
	Close []Session
	// Record is what is to be remembered for a successor of this process; nil when that has not changed.
	Record *Announcement
	// Notes are decisions for the log.
	Notes []Note
}

// Frame goes to one session.
type Frame struct {
	Session Session
	work.ToEntry
}

// Order is what all calls to the worker carry.
type Order struct {
	// Incarnation is the life of the worker that is meant; another one refuses the call.
	Incarnation string
	Fence       uint64
	// LeaseUntilMS is a time on the worker's clock; 0 leaves the lease as it is.
	LeaseUntilMS int64
}

// Start orders a run.
type Start struct {
	Order
	work.RunID
	Spec       string
	Checkpoint string
}

// Stop ends a run, and keeps it from starting.
type Stop struct {
	Order
	work.RunID
}

// Hold extends the lease and asks what runs and what has ended.
type Hold struct {
	Order
	// Number is handed back with the answer.
	Number uint64
	// Confirmed is the last end that the worker may forget.
	Confirmed uint64
	// Wait is how long the worker may hold the answer until something ends.
	Wait time.Duration
}

// Answer is what became of a call to the worker.
type Answer uint8

// Answers of workers.
const (
	// Accepted means that the order is carried out.
	Accepted Answer = iota + 1
	// NoAnswer means that the order may be carried out, now or later.
	NoAnswer
	// ConnectionRefused means that no process listens at the worker's address.
	ConnectionRefused
	// Fenced means that the worker has seen a higher fence.
	Fenced
	// Outrun means that the worker knows this run, or a later one, as ended.
	Outrun
	// LeaseExpired means that the lease given is in the past on the worker's clock.
	LeaseExpired
	// NoCapacity means that the worker's capacity is taken.
	NoCapacity
	// Unreadable means that the worker can't read the order.
	Unreadable
	// Unhealthy means that the worker did nothing.
	Unhealthy
	// WrongIncarnation means that another life of the worker answered.
	WrongIncarnation
)

// ClockReading is a time on the worker's clock that came with an answer.
type ClockReading struct {
	// ClockMS is 0 when the answer carried none.
	ClockMS int64
}

// ReportedRun is one run that the worker lists as running.
type ReportedRun struct {
	work.RunID
	Checkpoint string
	// Percent is how much of the run is done.
	Percent float64
}

// ReportedEnd is one end that the worker lists.
type ReportedEnd struct {
	work.RunID
	// Number counts the ends of one incarnation, from 1.
	Number     uint64
	Outcome    work.Outcome
	Checkpoint string
}

// Report is a worker's answer to a Hold.
type Report struct {
	ClockReading
	// Number is that of the Hold.
	Number  uint64
	Answer  Answer
	Running []ReportedRun
	Ended   []ReportedEnd
}

// Note is one decision for the log.
type Note struct {
	Kind NoteKind
	work.RunID
	Session Session
	Reason  string
	// Age is how old the newest information from the worker is.
	Age time.Duration
}

// NoteKind says what was decided.
type NoteKind uint8

// Kinds of notes.
const (
	// RunRevoked means that an order got no answer and is revoked.
	RunRevoked NoteKind = iota + 1
	// RunUnknown means that the worker ran something that nobody here ordered.
	RunUnknown
	// RunLost means that a run ended with its worker or lease.
	RunLost
	// RunStalled means that a run made no progress.
	RunStalled
	// OfferRefused means that an offer was turned down.
	OfferRefused
	// GrantEnded means that an entry has not answered in time.
	GrantEnded
	// WorkerChanged means that a worker started anew, left or came back.
	WorkerChanged
)
