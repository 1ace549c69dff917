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
	// inboxSize limits the messages that wait for the loop.
	inboxSize = 8192
	// batchSize limits the messages applied before tasks are placed.
	batchSize = 256
	// retryPeriod is how often placement is retried while tasks wait: load reports decay with time.
	retryPeriod = 5 * time.Millisecond
	// reviewPeriod is how often ejected targets and the deadlines of waiting jobs are checked.
	reviewPeriod = 50 * time.Millisecond
	// suspectPeriod is how long a target gets no new work after it could not be reached.
	suspectPeriod = 500 * time.Millisecond
	// sealMargin is how long before the deadline a never-repeated job seals its unstarted tasks.
	sealMargin = 50 * time.Millisecond
	// finishGrace is how long after the deadline a final answer may still be stored.
	finishGrace = time.Second
)

// message is a message to the loop, which applies it to its state.
type message interface {
	apply(l *loop, now time.Time)
}

// loop owns the jobs, the load table and the queues.
type loop struct {
	entry     *Entry
	loopCtx   context.Context //nolint:containedctx // It is the life of the loop itself.
	inbox     chan message
	store     *store
	loadTable *placement.LoadTable
	// queues holds the waiting jobs by pool. dirty marks the pools in which the next placement pass places tasks.
	queues map[string]*placement.Queue
	dirty  map[string]bool
	// cancels collects the cancellations for each target while a Cancel call to it is in flight.
	cancels map[job.Target]*cancelBatch
	// addresses holds the last known address of each incarnation of a target.
	addresses map[job.Target]string
	inDoubt   inDoubtClaims
	learnedState
	// pending collects the Runs of one placement pass.
	pending []pendingRun
	// active mirrors store.active for Stop, which runs outside the loop.
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
		loadTable: placement.NewLoadTable(placement.Options{
			DataCentre: e.file.Node.DataCentre, Policy: policy, Lookahead: e.file.Entry.Lookahead,
			Seed: rand.Uint64(), //nolint:gosec // Placement needs no secrecy.
		}),
		queues: map[string]*placement.Queue{}, dirty: map[string]bool{},
		cancels: map[job.Target]*cancelBatch{}, addresses: map[job.Target]string{},
		inDoubt: inDoubtClaims{jobs: map[string]bool{}}, learnedState: newLearnedState(),
	}, nil
}

// post sends a message to the loop. The message is dropped once the loop has ended.
func (l *loop) post(m message) {
	select {
	case l.inbox <- m:
	case <-l.loopCtx.Done():
	}
}

// run applies messages until loopCtx ends.
func (l *loop) run() {
	ticker := time.NewTicker(retryPeriod)
	defer ticker.Stop()
	review := time.NewTicker(reviewPeriod)
	defer review.Stop()
	for {
		select {
		case <-l.loopCtx.Done():
			return
		case m := <-l.inbox:
			l.batch(m)
		case <-ticker.C:
			l.retryPlacement()
		case <-review.C:
			l.review(time.Now())
		}
		l.active.Store(int64(l.store.active))
	}
}

// batch applies the first message and up to batchSize others that have arrived, then places tasks once.
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

// retryPlacement hedges slow tasks and retries placement in the pools where tasks wait.
func (l *loop) retryPlacement() {
	l.startDueHedges(time.Now())
	for pool, queue := range l.queues {
		if queue.Len() > 0 {
			l.dirty[pool] = true
		}
	}
	if len(l.dirty) > 0 {
		l.dispatch(time.Now())
	}
}

// step applies an event to a job and carries out the effects.
func (l *loop) step(r *record, now time.Time, event job.Event) {
	if r.job == nil || r.job.IsAnswered() {
		return
	}
	// The effects are valid until the next Step of this job, so carryOut must not step it.
	for _, effect := range r.job.Step(now, event) {
		l.carryOut(r, now, effect)
	}
	l.resetTimer(r)
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
		l.loadTable.Ended(effect.Target, r.accepted.entry.Slots)
		l.quotas.Ended(r.accepted.Owner)
		l.dirty[r.accepted.entry.Pool] = true
	case job.EffectAdopted:
		l.loadTable.Started(effect.Target, r.accepted.entry.Slots)
		l.quotas.Started(r.accepted.Owner)
	}
}

// resetTimer sets the job's timer to the time of its next tick.
func (l *loop) resetTimer(r *record) {
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
		r.timer = time.AfterFunc(wait, func() { l.post(timerFired{record: r}) })
		return
	}
	r.timer.Reset(wait)
}

// timerFired reports that the timer of a job has fired.
type timerFired struct{ record *record }

func (m timerFired) apply(l *loop, now time.Time) {
	m.record.wake = time.Time{}
	l.step(m.record, now, job.Tick{})
}

// answer ends a job. Its record keeps the answer for resubmissions.
func (l *loop) answer(r *record, now time.Time) {
	l.unqueue(r)
	isComplete := r.job.IsComplete()
	r.isPinned = r.job.Epoch() > 0 && !r.isStored
	l.recordBurn(r, now)
	l.conclude(r, newResult(newAnswer(r, now).final(isComplete)), nil)
}

// conclude sets the answer or the failure of a record and wakes the goroutines that wait for it.
func (l *loop) conclude(r *record, finalResult *result, failure *fault.Error) {
	if r.isAnswered() {
		return
	}
	r.result, r.failure = finalResult, failure
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
