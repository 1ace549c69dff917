package sidecar

import (
	"context"
	"time"

	"flamingohall.example/core/target"
)

// request is one event for the loop. reply is nil when the sender expects no answer.
type request struct {
	event  target.Event
	waiter uint64
	reply  chan<- target.Answer
}

// attemptKey identifies a running attempt.
type attemptKey struct {
	job     target.JobID
	index   uint32
	attempt uint32
}

// call is one task to be sent to the target.
type call struct {
	start target.Start
	ctx   context.Context //nolint:containedctx // It is the call's own, made where its deadline is known.
}

// loop runs the state machine until ctx ends. calls is the parent of the contexts of calls to the target.
func (s *Sidecar) loop(ctx, calls context.Context) {
	defer close(s.stopped)
	defer s.closeRecorder()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case arrived := <-s.requests:
			s.step(calls, arrived)
		case <-ticker.C:
			s.step(calls, request{event: target.Tick{}})
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sidecar) step(calls context.Context, arrived request) {
	if arrived.reply != nil {
		s.replies[arrived.waiter] = arrived.reply
	}
	if finished, ok := arrived.event.(target.Finished); ok {
		s.forgetCall(attemptKey{finished.Job, finished.Index, finished.Attempt})
	}
	at := time.Since(s.startedAt)
	effects := s.core.Step(at, arrived.event)
	s.recorder.record(at, arrived.event, effects)
	for _, effect := range effects {
		s.carryOut(calls, effect)
	}
	s.publish()
}

func (s *Sidecar) carryOut(calls context.Context, effect target.Effect) {
	switch effect := effect.(type) {
	case target.Start:
		ctx, cancel := context.WithDeadline(calls, s.startedAt.Add(effect.Deadline))
		s.running[attemptKey{effect.Job, effect.Index, effect.Attempt}] = cancel
		s.metrics.Add("tasks_started", 1)
		// This never blocks: each call holds a slot, and the channel has room for one call per slot.
		s.calls <- call{start: effect, ctx: ctx}
	case target.Abort:
		if cancel, found := s.running[attemptKey{effect.Job, effect.Index, effect.Attempt}]; found {
			cancel()
		}
	case target.Answer:
		if reply, found := s.replies[effect.Waiter]; found {
			delete(s.replies, effect.Waiter)
			reply <- effect
		}
	}
}

func (s *Sidecar) forgetCall(key attemptKey) {
	if cancel, found := s.running[key]; found {
		cancel()
		delete(s.running, key)
	}
}

// publish copies the state to the snapshot that the other goroutines read.
func (s *Sidecar) publish() {
	load := s.core.Load()
	tasks, bytes, dropped := s.core.Remembered()
	s.snapshot.busy.Store(int64(load.Busy))
	s.snapshot.queued.Store(int64(load.Queued))
	s.snapshot.remembered.Store(int64(tasks))
	s.snapshot.bytes.Store(int64(bytes))
	s.snapshot.dropped.Store(int64(dropped))
	s.snapshot.undelivered.Store(int64(s.core.Undelivered()))
	s.snapshot.idle.Store(s.core.Idle())
}

// post sends a request to the loop and reports whether it was queued.
func (s *Sidecar) post(ctx context.Context, r request) bool {
	select {
	case s.requests <- r:
		return true
	case <-ctx.Done():
		return false
	case <-s.stopped:
		return false
	}
}
