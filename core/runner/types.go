package runner

import (
	"time"

	"flamingohall.example/core/policy"
	"flamingohall.example/core/work"
)

// Session identifies one connection of an entry. Numbers are never reused.
type Session uint64

// Limits are the timing parameters of a runner.
type Limits struct {
	// Lease is the longest lease that the worker accepts.
	Lease time.Duration
	// Grant is how long an entry's tasks may run after the sending of the last probe that the entry answered.
	Grant time.Duration
	// StopAhead is how long before the end of a grant its tasks are stopped. The lease covers all running tasks and ends
	// with the earliest grant, so without the stop the tasks of other entries would end too.
	StopAhead time.Duration
	// Probe is the interval between probes of a session with runs.
	Probe time.Duration
	// QuietProbe is the interval between probes of a session without runs. It leaves an entry that answered the last probe
	// enough of its grant to start a task at once.
	QuietProbe time.Duration
	// Policy holds the switches and weights of the decisions.
	Policy policy.Policy
}

// DefaultLimits are for workers with a lease of one second.
var DefaultLimits = Limits{
	Lease:     time.Second,
	Grant:     time.Second,
	StopAhead: 200 * time.Millisecond,
	Probe:     200 * time.Millisecond,

	QuietProbe: 350 * time.Millisecond,
	Policy:     policy.Default(),
}

// Announcement is the worker's description of itself.
type Announcement struct {
	work.Worker `cbor:"1,keyasint"`
	// Leaving means that the worker takes no new tasks.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// StartedAt is the Unix time, in milliseconds, at which the incarnation started. It orders the incarnations.
	StartedAt int64 `cbor:"4,keyasint,omitempty"`
	// ColdMS is how much longer the worker is slow after its start, in milliseconds.
	ColdMS int64 `cbor:"5,keyasint,omitempty"`
}

// Effects are the actions that the caller has to carry out, in the order of the fields.
type Effects struct {
	Frames []Frame
	Starts []Start
	Stops  []Stop
	// Hold is the next Hold to send, nil for none.
	Hold *Hold
	// Verify is a call to the incarnation that an announcement names; nil for none. Its answer goes to Runner.Verified.
	Verify *Order
	// Close lists the sessions to close because their entry stopped answering.
	Close []Session
	// Record is the announcement to store for a successor of this process; nil if it has not changed.
	Record *Announcement
	// Notes are decisions to log.
	Notes []Note
	// Waits has an element for each run that is ordered for the first time.
	Waits []QueueWait
	// IdleReserved is the time for which capacity was idle for a reservation while a task that fits waited.
	IdleReserved time.Duration
}

// Frame is a message to the entry of one session.
type Frame struct {
	Session Session
	work.ToEntry
}

// Order holds the fields that all calls to the worker have in common.
type Order struct {
	// Incarnation is the one that the call addresses; any other incarnation of the worker rejects the call.
	Incarnation string
	Fence       uint64
	// LeaseUntilMS is the end of the lease on the worker's clock; 0 leaves the lease unchanged.
	LeaseUntilMS int64
}

// Start orders the worker to start a run.
type Start struct {
	Order
	work.RunID
	Spec       string
	Checkpoint string
}

// Stop orders the worker to end a run, or not to start it if its Start arrives later.
type Stop struct {
	Order
	work.RunID
}

// Hold renews the lease and requests a Report. It is a long poll.
type Hold struct {
	Order
	// Number is returned in the Report.
	Number uint64
	// Confirmed is the number of the last end that the worker may forget.
	Confirmed uint64
	// Wait is how long the worker may delay the answer until a run ends.
	Wait time.Duration
}

// Answer is the result of a call to the worker.
type Answer uint8

// Answers of the worker.
const (
	// Accepted means that the order was carried out.
	Accepted Answer = iota + 1
	// NoAnswer means that the result is unknown: the order may have been carried out, or may still be.
	NoAnswer
	// ConnectionRefused means that no process is listening at the worker's address.
	ConnectionRefused
	// Fenced means that the worker has seen a higher fence.
	Fenced
	// Superseded means that for the worker this run, or a later run of the task, has already ended.
	Superseded
	// LeaseExpired means that the order's lease has already ended on the worker's clock.
	LeaseExpired
	// NoCapacity means that the worker has no free capacity for the run.
	NoCapacity
	// Unreadable means that the worker can't decode the order.
	Unreadable
	// Unhealthy means that the worker is in a failed state and did not carry out the order.
	Unhealthy
	// WrongIncarnation means that another incarnation of the worker answered.
	WrongIncarnation
)

// ClockReading is the time on the worker's clock when it answered.
type ClockReading struct {
	// ClockMS is in milliseconds; 0 if the answer carried no time.
	ClockMS int64
}

// ReportedRun is one run that the worker reports as running.
type ReportedRun struct {
	work.RunID
	Checkpoint string
	// Percent is the progress of the run.
	Percent float64
}

// ReportedEnd is the end of one run as the worker reports it.
type ReportedEnd struct {
	work.RunID
	// Number numbers the ends of one incarnation, from 1.
	Number     uint64
	Outcome    work.Outcome
	Checkpoint string
}

// Report is the worker's answer to a Hold.
type Report struct {
	ClockReading
	// Number is that of the Hold.
	Number  uint64
	Answer  Answer
	Running []ReportedRun
	Ended   []ReportedEnd
	// IsPartial means that the lists may lack runs and ends. A run that is missing isn't over.
	IsPartial bool
	// Failure is the error of a call without an answer, for the log.
	Failure string
	// AnsweredBy is the incarnation that answered instead of the one that the call names, for the answer WrongIncarnation; empty if it
	// isn't known. Running is its list then.
	AnsweredBy string
}

// Evidence is what is known about the worker when a decision about it or its runs is made.
type Evidence struct {
	// Incarnation is the one that the decision is about.
	Incarnation string
	// Hold is the number of the last Hold that was sent, AnsweredHold that of the last one that the worker answered.
	Hold, AnsweredHold uint64
	// OpenHolds is the number of Holds that have neither an answer nor an error.
	OpenHolds int
	// Failure is the error of the last Hold without an answer since the worker last answered one.
	Failure string
	// RefusedFor is how long the worker has refused connections, 0 if it doesn't.
	RefusedFor time.Duration
	// LeaseLeft is the time until the lease has certainly expired; below 0 if it has.
	LeaseLeft time.Duration
	// Runs is the number of runs that may use the worker, Listed that of runs in the answer that led to the decision.
	Runs, Listed int
}

// Note is one decision to log.
type Note struct {
	Kind NoteKind
	work.RunID
	Session Session
	Reason  string
	// Age is the time since the worker last answered.
	Age time.Duration
	// Ran is the time since the start of a lost run; 0 if the worker did not confirm the start.
	Ran time.Duration
	// Waited is how long a reservation was held; of one that is made, when its task is expected to start.
	Waited time.Duration
	// MilliCores is the capacity of the worker, for WorkerChanged.
	MilliCores int64
	// Tasks are those under which the worker ended.
	Tasks []string
	// Fence is that of the call, for OtherIncarnationAnswered.
	Fence uint64
	// Evidence is set for the kinds RunLost, WorkerChanged, WorkerSuspected, WorkerEnded, AnnouncementIgnored, ConnectionsRefused, ConnectionsAccepted
	// and OtherIncarnationAnswered.
	Evidence Evidence
}

// NoteKind is the kind of a decision.
type NoteKind uint8

// Kinds of notes.
const (
	// RunRevoked means that a Start got no answer and is being revoked.
	RunRevoked NoteKind = iota + 1
	// RunUnknown means that the worker reported a run that this process did not order.
	RunUnknown
	// RunLost means that a run ended because its worker or lease did.
	RunLost
	// RunStalled means that a run is being stopped for lack of progress.
	RunStalled
	// OfferRefused means that an offer was refused.
	OfferRefused
	// GrantEnded means that an entry did not answer its probes in time.
	GrantEnded
	// WorkerChanged means that the worker restarted, left or became available again.
	WorkerChanged
	// AnnouncementIgnored means that another incarnation was announced than the one at the worker's address. Reason names it.
	AnnouncementIgnored
	// OtherIncarnationAnswered means that another incarnation than the known one answered a Hold. Reason names it if it is known. It is
	// noted once for each of them.
	OtherIncarnationAnswered
	// WorkerSuspected means that the worker seems to have ended while it had runs, which still count.
	WorkerSuspected
	// WorkerEnded means that the worker ended while it had runs, without having said that it leaves.
	WorkerEnded
	// ConnectionsRefused means that the worker's address has begun to refuse connections.
	ConnectionsRefused
	// ConnectionsAccepted means that the worker has answered after it had refused connections.
	ConnectionsAccepted
	// ReservationMade means that a queued run got the reservation of the worker.
	ReservationMade
	// ReservationKept means that the run with the reservation is started.
	ReservationKept
	// ReservationGivenUp means that the reservation ended without a start.
	ReservationGivenUp
)
