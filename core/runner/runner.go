package runner

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"time"

	"flamingohall.example/core/work"
)

// state is the state of a run.
type state uint8

const (
	// queued means waiting for capacity.
	queued state = iota
	// ordered means that the Start awaits the worker's answer.
	ordered
	// running means that the worker has confirmed the start.
	running
	// stopping means that the Stop awaits the worker's answer.
	stopping
	// stopped means that the worker has confirmed the Stop and the run awaits a later report of ends.
	stopped
)

// taskRun is one offer from its arrival to the end of its run.
type taskRun struct {
	work.Offer
	session Session
	// offeredBy remains accessible after the session has ended.
	offeredBy *session
	state     state
	// arrivedAt is when the offer arrived, changedAt when it entered its state.
	arrivedAt time.Duration
	changedAt time.Duration
	startedAt time.Duration
	// wasStarted is true once the worker has confirmed the start.
	wasStarted bool
	// retryAt is when the next call for this run is due.
	retryAt time.Duration
	// confirmingHold is the number of the first Hold sent after the state was entered.
	confirmingHold uint64
	// orderFence is the fence of the last Start or Stop of this run.
	orderFence uint64
	// startOverdueHold is the number of the first Hold sent after the answer to the Start became overdue, 0 before.
	startOverdueHold uint64
	// missedReports counts consecutive reports that should have listed the run but did not.
	missedReports int
	// lostBy says how a lost run is known to be over.
	lostBy proof
	// outcome is the one that a stopped run is reported with.
	outcome    work.Outcome
	checkpoint string
	// percent is the progress last reported, at reportedAt. It last changed at progressAt.
	percent    float64
	reportedAt time.Duration
	progressAt time.Duration
	// overdueSentAt is when the entry was last informed that the run is overdue.
	overdueSentAt time.Duration
}

// usesCapacity reports whether the run may be using the worker's resources.
func (r *taskRun) usesCapacity() bool {
	return r.state != queued
}

// session is one entry's connection.
type session struct {
	entry string
	// answeredAt is the sending time of the newest probe that the entry has answered; the session's start if there is none.
	answeredAt time.Duration
	// hasAnswered is true once the entry has answered a probe. Its tasks are not started before.
	hasAnswered bool
	// probes holds the sending times of unanswered probes by number.
	probes map[uint64]time.Duration
	// probedAt is when the last probe was sent; 0 for none.
	probedAt time.Duration
	// runs is the number of the entry's runs at the last Advance.
	runs int
	// lastOffer is the sequence of the last offer handled.
	lastOffer uint64
	// backlog is what the entry last reported, at backlogAt.
	backlog   work.Backlog
	backlogAt time.Duration
	// sentLoad is the load last sent, at loadSentAt.
	sentLoad   work.Load
	loadSentAt time.Duration
	frame      work.ToEntry
	// workerSent is true once the description of the worker's current incarnation was sent.
	workerSent bool
}

// Runner holds all runs of one worker. It is not safe for concurrent use.
type Runner struct {
	limits   Limits
	sessions map[Session]*session
	runs     map[string]*taskRun
	worker   worker
	// candidate is an incarnation that was announced and is being verified.
	candidate *candidate
	// draining is true once this process is shutting down.
	draining bool
	// drained is true while an operator has drained the worker or evacuated its data centre.
	drained bool
	// lateUntil is until when a call that was given up may still be carried out.
	lateUntil time.Duration
	// coldUntil is when the worker is no longer slow after its start.
	coldUntil time.Duration
	nextProbe uint64
	effects   Effects
	// meanShare is the moving average of the share of the worker's capacity that an offer needs.
	meanShare    float64
	runTimeRatio runTimeRatio
	speed        measuredSpeed
	// advancedAt is the time of the last Advance.
	advancedAt   time.Duration
	reservations reservations
	// unconfirmed are the ends that await their confirmation, in the order of their numbers.
	unconfirmed []unconfirmedEnd
	// crashes are the latest crashes of the worker, oldest first. Sessions that open later are told of them.
	crashes []crash
}

// New returns a runner whose orders carry the given fence, or a higher one if the worker rejects it as too low.
func New(limits Limits, fence uint64) *Runner {
	return &Runner{
		limits: limits, sessions: map[Session]*session{}, runs: map[string]*taskRun{}, worker: worker{fence: fence},
	}
}

// Open starts a session.
func (r *Runner) Open(now time.Duration, id Session, hello work.Hello) {
	r.sessions[id] = &session{entry: hello.Entry, probes: map[uint64]time.Duration{}, answeredAt: now}
	r.sendRecentCrashes(now, r.sessions[id])
	r.sendSuspicion(now, r.sessions[id])
}

// Closed ends a session whose connection broke. Its tasks are stopped, because nothing waits for their results any more.
func (r *Runner) Closed(now time.Duration, id Session) {
	delete(r.sessions, id)
	for _, run := range r.sorted() {
		if run.session == id {
			r.stop(now, run, work.Stopped)
		}
	}
}

// sessionsInOrder iterates over the sessions in the order of their numbers, so that equal inputs have equal effects.
func (r *Runner) sessionsInOrder() iter.Seq2[Session, *session] {
	return func(yield func(Session, *session) bool) {
		for _, id := range slices.Sorted(maps.Keys(r.sessions)) {
			if s := r.sessions[id]; s != nil && !yield(id, s) {
				return
			}
		}
	}
}

// Take handles one frame of a session; frames of unknown sessions are ignored.
func (r *Runner) Take(now time.Duration, id Session, frame *work.ToSidecar) {
	s := r.sessions[id]
	if s == nil {
		return
	}
	if sentAt, known := s.probes[frame.Echo]; known {
		s.answeredAt, s.hasAnswered = max(s.answeredAt, sentAt), true
		for number := range s.probes {
			if number <= frame.Echo {
				delete(s.probes, number)
			}
		}
	}
	if frame.Backlog != nil {
		s.backlog, s.backlogAt = *frame.Backlog, now
	}
	for i := range frame.Offers {
		r.offer(now, id, s, frame.Offers[i])
	}
	for _, runID := range frame.Stops {
		if run := r.runs[runID.Task]; run != nil && run.session == id && run.Run == runID.Run {
			r.stop(now, run, work.Stopped)
		}
	}
	for _, job := range frame.CancelledJobs {
		r.cancelJob(now, id, job)
	}
	for _, confirmed := range frame.Confirmed {
		r.confirm(now, confirmed)
	}
}

func (r *Runner) offer(now time.Duration, id Session, s *session, offer work.Offer) {
	s.lastOffer = max(s.lastOffer, offer.Sequence)
	if reason := r.refusalReason(offer); reason != 0 {
		r.refuse(s, id, offer.RunID, reason)
		return
	}
	share := offer.Needs.ShareOf(r.worker.Capacity)
	if wait := r.offerWait(now, &offer); wait > time.Duration(offer.StartWithinMS)*time.Millisecond {
		// The entry chose by an older load. It learns the current one with the refusal, while there is time to go elsewhere.
		r.refuse(s, id, offer.RunID, work.Full)
		return
	}
	const weight = 0.1
	expected := time.Duration(offer.ExpectedMS) * time.Millisecond
	if r.meanShare == 0 {
		r.meanShare, r.reservations.meanExpected = share, expected
	}
	r.meanShare += weight * (share - r.meanShare)
	r.reservations.meanExpected += time.Duration(weight * float64(expected-r.reservations.meanExpected))
	r.runs[offer.Task] = &taskRun{
		Offer: offer, session: id, offeredBy: s, arrivedAt: now, changedAt: now, checkpoint: offer.Checkpoint,
	}
}

// refusalReason returns why an offer is refused, or 0 if it is accepted.
func (r *Runner) refusalReason(offer work.Offer) work.Reason {
	switch {
	case r.draining || r.drained || !r.worker.accepts():
		return work.Unavailable
	case r.runs[offer.Task] != nil:
		return work.Busy
	case !offer.Needs.FitsIn(r.worker.Capacity):
		return work.TooLarge
	}
	return 0
}

func (r *Runner) refuse(s *session, id Session, runID work.RunID, reason work.Reason) {
	if s != nil {
		s.frame.Refused = append(s.frame.Refused, work.Refused{RunID: runID, Reason: reason})
	}
	r.note(Note{Kind: OfferRefused, RunID: runID, Session: id, Reason: reason.String()})
}

// cancelJob stops every task of a job and forwards the cancellation to the other entries.
func (r *Runner) cancelJob(now time.Duration, from Session, job string) {
	for _, run := range r.sorted() {
		if work.JobOf(run.Task) == job {
			r.stop(now, run, work.Stopped)
		}
	}
	for id, s := range r.sessionsInOrder() {
		if id != from {
			s.frame.CancelledJobs = append(s.frame.CancelledJobs, job)
		}
	}
}

// Drain refuses the queued offers and every new one.
func (r *Runner) Drain() {
	r.draining = true
	r.refuseQueued()
}

// Idle reports whether there is no run, queued ones included, and no unconfirmed end.
func (r *Runner) Idle() bool {
	return len(r.runs) == 0 && len(r.unconfirmed) == 0
}

func (r *Runner) refuseQueued() {
	for _, run := range r.sorted() {
		if run.state == queued {
			r.refuseRun(run, work.Unavailable)
		}
	}
}

// sorted returns the runs in the order in which they are to start: by latest start, so that a job that is already late
// is not delayed further with only some of its tasks done. Runs that yield come last once they are late.
func (r *Runner) sorted() []*taskRun {
	all := make([]*taskRun, 0, len(r.runs))
	for _, run := range r.runs {
		all = append(all, run)
	}
	slices.SortFunc(all, func(a, b *taskRun) int {
		if yields := a.yields(r.advancedAt); yields != b.yields(r.advancedAt) {
			if yields {
				return 1
			}
			return -1
		}
		if first, second := r.startOrder(a), r.startOrder(b); first != second {
			return int(first - second)
		}
		if a.Task < b.Task {
			return -1
		}
		return 1
	})
	return all
}

// startOrder returns the time by which waiting runs are ordered.
func (r *Runner) startOrder(run *taskRun) time.Duration {
	if !r.limits.Policy.Order.BySlack {
		return run.arrivedAt
	}
	return run.latestStart()
}

// latestStart returns the latest start with which the run still ends in time.
func (r *taskRun) latestStart() time.Duration {
	return r.arrivedAt + time.Duration(r.SlackMS)*time.Millisecond
}

// maxYield is how late a task may be that lets others start first. Without a limit, a job whose caller doesn't wait might never
// start while work exceeds the capacity.
const maxYield = 2 * time.Second

// yields reports whether the run lets others start first, because its job can no longer end in time. In the order of slack alone,
// late tasks come first while work exceeds the capacity, and then make all others late, too.
func (r *taskRun) yields(now time.Duration) bool {
	lateBy := now - r.arrivedAt - time.Duration(r.SpareMS)*time.Millisecond
	return r.YieldsWhenLate && r.state == queued && lateBy > 0 && lateBy <= maxYield
}

func (r *Runner) drop(run *taskRun) {
	delete(r.runs, run.Task)
}

// end removes a run and reports its end to the entry.
func (r *Runner) end(now time.Duration, run *taskRun, outcome work.Outcome) {
	r.drop(run)
	s := r.sessions[run.session]
	if s == nil {
		return
	}
	ended := work.Ended{RunID: run.RunID, Outcome: outcome, Checkpoint: run.checkpoint}
	ended.AwaitsConfirmation = run.IsStored && (outcome == work.Done || outcome == work.Failed)
	if run.lostBy != 0 {
		ended.Cause = run.lostBy.String()
	}
	if run.wasStarted {
		ended.RanMS = (now - run.startedAt).Milliseconds()
		if outcome == work.Done && run.startedAt >= r.coldUntil {
			r.speed.add(run.ExpectedMS, ended.RanMS)
		}
	}
	s.frame.Ended = append(s.frame.Ended, ended)
}

func (r *Runner) note(n Note) {
	n.Age = r.worker.silence
	switch n.Kind {
	case WorkerChanged:
		n.MilliCores = r.worker.Capacity.MilliCores
		n.Evidence = r.evidence(0)
	case RunLost, WorkerEnded, WorkerSuspected, AnnouncementIgnored, ConnectionsRefused, OtherIncarnationAnswered:
		n.Evidence = r.evidence(0)
	default:
	}
	r.effects.Notes = append(r.effects.Notes, n)
}

// Effects returns the actions gathered since the last call. Call Advance first.
func (r *Runner) Effects() Effects {
	effects := r.effects
	r.effects = Effects{}
	return effects
}

// Entry returns the name of a session's entry, or a text with the session's number if the session is over.
func (r *Runner) Entry(id Session) string {
	if s := r.sessions[id]; s != nil {
		return s.entry
	}
	return "session " + strconv.FormatUint(uint64(id), 10)
}
