package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/job"
	"flamingohall.example/core/placement"
)

const (
	// inboxSize bounds the messages that wait for the loop.
	inboxSize = 8192
	// batchSize bounds the messages applied before tasks are placed.
	batchSize = 256
	// retryPeriod is how often placement is tried again while tasks wait: reports of load fade with time.
	retryPeriod = 5 * time.Millisecond
	// reviewPeriod is how often targets set aside and jobs that can't meet their deadline are looked at.
	reviewPeriod = 50 * time.Millisecond
	// suspectPeriod is how long a target that could not be reached gets no new work.
	suspectPeriod = 500 * time.Millisecond
	// sealMargin is how long before the deadline a never-repeated job seals what has not started.
	sealMargin = 50 * time.Millisecond
	// finishGrace is how long after the deadline a final answer may take to be stored.
	finishGrace = time.Second
)

// message is something that the loop applies.
type message interface {
	apply(l *loop, now time.Time)
}

// loop owns the jobs, the board and the queues.
type loop struct {
	entry  *Entry
	life   context.Context //nolint:containedctx // It is the life of the loop itself.
	inbox  chan message
	store  *store
	board  *placement.LoadTable
	queues map[string]*placement.Queue
	dirty  map[string]bool
	// cancels collects what is cancelled at each target while a call to it is on its way.
	cancels map[job.Target]*cancelBatch
	// addresses holds where each incarnation of a target was last known to be.
	addresses map[job.Target]string
	doubtful  doubt
	learned
	// pending collects the Runs of one pass.
	pending []pendingRun
	// active mirrors store.active for a planned stop.
	active atomic.Int64
}

func newLoop(e *Entry) (*loop, error) {
	policy, err := placement.NewPolicy(e.file.Entry.Policy)
	if err != nil {
		return nil, err
	}
	return &loop{
		entry: e, inbox: make(chan message, inboxSize),
		store: newStore(e.file.Entry.AnswerMemoryMB << 20),
		board: placement.NewLoadTable(placement.Options{
			DataCentre: e.file.Node.DataCentre, Policy: policy, Lookahead: e.file.Entry.Lookahead,
			Seed: rand.Uint64(), //nolint:gosec // Placement needs no secrecy.
		}),
		queues: map[string]*placement.Queue{}, dirty: map[string]bool{},
		cancels: map[job.Target]*cancelBatch{}, addresses: map[job.Target]string{},
		doubtful: doubt{jobs: map[string]bool{}}, learned: newLearned(),
	}, nil
}

// post hands a message to the loop; it is dropped once the loop has ended.
func (l *loop) post(m message) {
	select {
	case l.inbox <- m:
	case <-l.life.Done():
	}
}

// run applies messages until the role's life ends.
func (l *loop) run() {
	ticker := time.NewTicker(retryPeriod)
	defer ticker.Stop()
	review := time.NewTicker(reviewPeriod)
	defer review.Stop()
	for {
		select {
		case <-l.life.Done():
			return
		case m := <-l.inbox:
			l.batch(m)
		case <-ticker.C:
			l.retry()
		case <-review.C:
			l.review(time.Now())
		}
		l.active.Store(int64(l.store.active))
	}
}

// batch applies what has arrived, then places tasks once.
func (l *loop) batch(first message) {
	now := time.Now()
	first.apply(l, now)
	for range batchSize {
		select {
		case m := <-l.inbox:
			m.apply(l, now)
			continue
		default:
		}
		break
	}
	l.dispatch(now)
	l.flushCancels()
}

// retry marks the pools in which tasks wait, and hedges what is slow.
func (l *loop) retry() {
	l.hedgeDue(time.Now())
	for pool, queue := range l.queues {
		if queue.Len() > 0 {
			l.dirty[pool] = true
		}
	}
	if len(l.dirty) > 0 {
		l.dispatch(time.Now())
	}
}

// step applies an event to a job and carries the effects out.
func (l *loop) step(r *record, now time.Time, event job.Event) {
	if r.job == nil || r.job.IsAnswered() {
		return
	}
	// The effects outlive the next Step of this job only when an effect is carried out by a later one.
	for _, effect := range r.job.Step(now, event) {
		l.carryOut(r, now, effect)
	}
	l.rearm(r)
}

func (l *loop) carryOut(r *record, now time.Time, effect job.Effect) {
	switch effect.Kind {
	case job.EffectClaim:
		l.startClaim(r, now)
	case job.EffectAwaitPlacement:
		l.enqueue(r)
	case job.EffectRun:
		l.sendRun(r, now, effect)
	case job.EffectStatus:
		go l.callStatus(l.newCall(r, now, effect))
	case job.EffectSeal:
		go l.callSeal(l.newCall(r, now, effect))
	case job.EffectCancel:
		l.addCancel(r, effect)
	case job.EffectFinish:
		l.startFinish(r, now)
	case job.EffectAnswer:
		l.answer(r, now)
	case job.EffectEnded:
		l.board.Ended(effect.Target, r.accepted.entry.Slots)
		l.quotas.Ended(r.accepted.Owner)
		l.dirty[r.accepted.entry.Pool] = true
	case job.EffectAdopted:
		l.board.Started(effect.Target, r.accepted.entry.Slots)
		l.quotas.Started(r.accepted.Owner)
	}
}

// rearm sets the job's timer to its next wake.
func (l *loop) rearm(r *record) {
	if r.isAnswered() {
		return
	}
	wake := r.job.NextTick()
	if wake.Equal(r.wake) {
		return
	}
	r.wake = wake
	wait := time.Until(wake)
	if r.timer == nil {
		r.timer = time.AfterFunc(wait, func() { l.post(ticked{record: r}) })
		return
	}
	r.timer.Reset(wait)
}

// ticked says that a job's time has come.
type ticked struct{ record *record }

func (m ticked) apply(l *loop, now time.Time) {
	m.record.wake = time.Time{}
	l.step(m.record, now, job.Tick{})
}

// answer closes a job: its record keeps the answer for resubmissions.
func (l *loop) answer(r *record, now time.Time) {
	l.unqueue(r)
	isComplete := r.job.IsComplete()
	r.isPinned = r.job.Epoch() > 0 && !r.isStored
	l.measure(r, now)
	l.conclude(r, newResult(newAnswer(r, now).final(isComplete)), nil)
}

// conclude sets the outcome of a record and wakes those who wait for it.
func (l *loop) conclude(r *record, found *result, failure *fault.Error) {
	if r.isAnswered() {
		return
	}
	r.result, r.failure = found, failure
	close(r.done)
	if r.timer != nil {
		r.timer.Stop()
	}
	if failure != nil {
		l.store.drop(r)
		return
	}
	if !r.isPinned {
		l.store.keep(r)
	}
}
