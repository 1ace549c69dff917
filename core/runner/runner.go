package runner

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"time"

	"flamingohall.example/core/work"
)

// state is how far a run has come.
type state uint8

const (
	// queued waits for room.
	queued state = iota
	// ordered waits for the worker's answer.
	ordered
	// running was confirmed by the worker.
	running
	// stopping waits for the worker to confirm a stop.
	stopping
	// stopped was confirmed, and waits for a list of ends that includes it.
	stopped
)

// run is one offer from its arrival to its end.
type run struct {
	work.Offer
	session Session
	// offeredBy stays readable after the session has ended.
	offeredBy *session
	state     state
	// arrivedAt is when the offer came, changedAt when it got into its state.
	arrivedAt time.Duration
	changedAt time.Duration
	startedAt time.Duration
	// wasStarted is true once the worker has confirmed the start.
	wasStarted bool
	// retryAt is when a call for this run is due again.
	retryAt time.Duration
	// confirmedBy is the number of the first Hold sent after the state was reached.
	confirmedBy uint64
	// doubtedBy is the number of the first Hold sent once an answer to the Start was overdue, 0 before.
	doubtedBy uint64
	// absences counts reports in a row that should have listed the run.
	absences int
	// outcome is what a stopped run is told to be.
	outcome    work.Outcome
	checkpoint string
	// percent is the progress last reported, at reportedAt; it last changed at progressAt.
	percent    float64
	reportedAt time.Duration
	progressAt time.Duration
	// toldBehindAt is when the entry was last told that the run is behind.
	toldBehindAt time.Duration
}

// takesRoom reports whether the run may use the worker's resources.
func (r *run) takesRoom() bool {
	return r.state != queued
}

// session is one entry's connection.
type session struct {
	entry string
	// answeredAt is when the newest probe was sent that the entry has answered; at first, when the session began.
	answeredAt time.Duration
	// hasAnswered is true once the entry has answered a probe: only then may its tasks run.
	hasAnswered bool
	// probes holds the sending times of probes that have no answer yet, by number.
	probes    map[uint64]time.Duration
	nextProbe time.Duration
	// through is the sequence of the last offer taken in.
	through uint64
	// toldLoad is the load last sent, at toldAt.
	toldLoad work.Load
	toldAt   time.Duration
	frame    work.ToEntry
	// knowsWorker is false until the worker's record was sent.
	knowsWorker bool
}

// Runner holds all runs of one worker. It is not safe for concurrent use.
type Runner struct {
	limits   Limits
	sessions map[Session]*session
	runs     map[string]*run
	worker   worker
	// draining is true once this process is about to stop.
	draining  bool
	nextProbe uint64
	effects   Effects
	meanNeeds float64
	pace      pace
	// unconfirmed are ends that wait to be recorded, in the order of their numbers.
	unconfirmed []unconfirmedEnd
}

// New returns a runner whose orders carry the fence, or a higher one if the worker asks for it.
func New(limits Limits, fence uint64) *Runner {
	return &Runner{
		limits: limits, sessions: map[Session]*session{}, runs: map[string]*run{}, worker: worker{fence: fence},
	}
}

// Open begins a session.
func (r *Runner) Open(now time.Duration, id Session, hello work.Hello) {
	r.sessions[id] = &session{entry: hello.Entry, probes: map[uint64]time.Duration{}, answeredAt: now}
}

// Closed ends a session whose connection broke. Its tasks are stopped: nobody waits for them.
func (r *Runner) Closed(now time.Duration, id Session) {
	delete(r.sessions, id)
	for _, one := range r.sorted() {
		if one.session == id {
			r.stop(now, one, work.Stopped)
		}
	}
}

// inOrder iterates over the sessions by their numbers, so that the same inputs have the same effects.
func (r *Runner) inOrder() iter.Seq2[Session, *session] {
	return func(yield func(Session, *session) bool) {
		for _, id := range slices.Sorted(maps.Keys(r.sessions)) {
			if s := r.sessions[id]; s != nil && !yield(id, s) {
				return
			}
		}
	}
}

// Take handles one frame of a session.
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
	for i := range frame.Offers {
		r.offer(now, id, s, frame.Offers[i])
	}
	for _, one := range frame.Stops {
		if found := r.runs[one.Task]; found != nil && found.session == id && found.Run == one.Run {
			r.stop(now, found, work.Stopped)
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
	s.through = max(s.through, offer.Sequence)
	if reason := r.objection(offer); reason != 0 {
		r.refuse(s, id, offer.RunID, reason)
		return
	}
	const weight = 0.1
	share := offer.Needs.ShareOf(r.worker.Capacity)
	if r.meanNeeds == 0 {
		r.meanNeeds = share
	}
	r.meanNeeds += weight * (share - r.meanNeeds)
	r.runs[offer.Task] = &run{
		Offer: offer, session: id, offeredBy: s, arrivedAt: now, changedAt: now, checkpoint: offer.Checkpoint,
	}
}

// objection returns why an offer can't be taken, 0 when it can.
func (r *Runner) objection(offer work.Offer) work.Reason {
	switch {
	case r.draining || !r.worker.accepts():
		return work.Unavailable
	case r.runs[offer.Task] != nil:
		return work.Busy
	case !offer.Needs.FitsIn(r.worker.Capacity):
		return work.TooLarge
	}
	return 0
}

func (r *Runner) refuse(s *session, id Session, which work.RunID, reason work.Reason) {
	if s != nil {
		s.frame.Refused = append(s.frame.Refused, work.Refused{RunID: which, Reason: reason})
	}
	r.note(Note{Kind: OfferRefused, RunID: which, Session: id, Reason: reason.String()})
}

// cancelJob stops every task of a job and passes the cancel on to the other entries.
func (r *Runner) cancelJob(now time.Duration, from Session, job string) {
	for _, one := range r.sorted() {
		if jobOf(one.Task) == job {
			r.stop(now, one, work.Stopped)
		}
	}
	for id, s := range r.inOrder() {
		if id != from {
			s.frame.CancelledJobs = append(s.frame.CancelledJobs, job)
		}
	}
}

// jobOf returns the job's part of a task's name.
func jobOf(task string) string {
	for i := range len(task) {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

// Drain makes the runner refuse what has not started and every new offer.
func (r *Runner) Drain() {
	r.draining = true
	r.refuseQueued()
}

// Idle reports whether nothing runs or is about to, and no end waits to be confirmed.
func (r *Runner) Idle() bool {
	return len(r.runs) == 0 && len(r.unconfirmed) == 0
}

func (r *Runner) refuseQueued() {
	for _, one := range r.sorted() {
		if one.state == queued {
			r.turnDown(one, work.Unavailable)
		}
	}
}

// sorted returns the runs in the order in which they are to start: those with the least slack first, so that a job that
// is late already is not left with some of its tasks done.
func (r *Runner) sorted() []*run {
	all := make([]*run, 0, len(r.runs))
	for _, one := range r.runs {
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b *run) int {
		if first, second := a.latestStart(), b.latestStart(); first != second {
			return int(first - second)
		}
		if a.Task < b.Task {
			return -1
		}
		return 1
	})
	return all
}

// latestStart is when the run has to start to end in time.
func (r *run) latestStart() time.Duration {
	return r.arrivedAt + time.Duration(r.SlackMS)*time.Millisecond
}

func (r *Runner) drop(one *run) {
	delete(r.runs, one.Task)
}

// end tells the entry that a run is over.
func (r *Runner) end(now time.Duration, one *run, outcome work.Outcome) {
	r.drop(one)
	s := r.sessions[one.session]
	if s == nil {
		return
	}
	ended := work.Ended{RunID: one.RunID, Outcome: outcome, Checkpoint: one.checkpoint}
	ended.AwaitsConfirmation = one.IsStored && (outcome == work.Done || outcome == work.Failed)
	if one.wasStarted {
		ended.RanMS = (now - one.startedAt).Milliseconds()
	}
	s.frame.Ended = append(s.frame.Ended, ended)
}

func (r *Runner) note(n Note) {
	n.Age = r.worker.silence
	r.effects.Notes = append(r.effects.Notes, n)
}

// Effects returns what is to be done since the last call. Advance is to be called first.
func (r *Runner) Effects() Effects {
	effects := r.effects
	r.effects = Effects{}
	return effects
}

// Entry returns the name of a session's entry.
func (r *Runner) Entry(id Session) string {
	if s := r.sessions[id]; s != nil {
		return s.entry
	}
	return "session " + strconv.FormatUint(uint64(id), 10)
}
