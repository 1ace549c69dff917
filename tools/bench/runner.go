package bench

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/client"
)

// Bounds of a run.
const (
	// maxOutstanding bounds the submissions without an answer; further ones are not sent and counted so.
	maxOutstanding = 20_000
	// defaultPatience is how long a caller waits for an answer to a submission that names no deadline.
	defaultPatience = 60 * time.Second
	// answerGrace is how long after the deadline a caller goes on waiting.
	answerGrace = 10 * time.Second
	// cancelTimeout bounds a cancellation.
	cancelTimeout = 10 * time.Second
)

// runner sends a plan open loop.
type runner struct {
	sender       sender
	start        time.Time
	observations chan observation
	outstanding  atomic.Int64
	resent       atomic.Int64
	cancelled    atomic.Int64
	notSent      atomic.Int64
	group        sync.WaitGroup
}

// drive sends every submission at its time and returns what was seen. It ends when all are answered or ctx ends.
func (r *runner) drive(ctx context.Context, plan *Plan) []observation {
	r.observations = make(chan observation, maxOutstanding)
	r.start = time.Now()
	collected := make(chan []observation, 1)
	go func() { collected <- collect(r.observations, len(plan.Submissions)) }()
	for way := range plan.Submissions {
		planned := &plan.Submissions[way]
		if !sleepUntil(ctx, r.start.Add(planned.At)) {
			break
		}
		if r.outstanding.Load() >= maxOutstanding {
			r.notSent.Add(1)
			continue
		}
		r.outstanding.Add(1)
		r.group.Go(func() { r.send(ctx, way, planned) })
	}
	r.group.Wait()
	close(r.observations)
	return <-collected
}

// collect gathers observations until the channel closes.
func collect(observations <-chan observation, expected int) []observation {
	list := make([]observation, 0, expected)
	for seen := range observations {
		list = append(list, seen)
	}
	return list
}

// send runs one submission from its sending to its answer.
func (r *runner) send(ctx context.Context, way int, planned *PlannedSubmission) {
	defer r.outstanding.Add(-1)
	intended := r.start.Add(planned.At)
	seen := observation{planned: planned, sendDelay: time.Since(intended)}
	ctx, stop := context.WithDeadline(ctx, intended.Add(patience(planned)))
	defer stop()
	if planned.CancelAt > 0 {
		r.group.Go(func() { r.cancelLater(ctx, way, planned) })
	}
	got := r.exchange(ctx, way, planned)
	seen.response = time.Since(intended)
	seen.answer = got.answer
	seen.ending, seen.message = judge(planned, got.answer, got.err)
	seen.retryAfter = got.err != nil && fault.Of(got.err).RetryAfter > 0
	r.observations <- seen
}

// patience returns how long a caller waits for an answer.
func patience(planned *PlannedSubmission) time.Duration {
	if planned.Submission.DeadlineMS == 0 {
		return defaultPatience + answerGrace
	}
	return time.Duration(planned.Submission.DeadlineMS)*time.Millisecond + answerGrace
}

// reply is the outcome of one try.
type reply struct {
	answer *client.Answer
	err    error
}

// exchange sends a submission and, when its caller loses patience, sends it again by another way. The first reply that
// is no refusal counts.
func (r *runner) exchange(ctx context.Context, way int, planned *PlannedSubmission) reply {
	replies := make(chan reply, 2)
	try := func(way int) {
		answer, err := r.sender.submit(ctx, way, &planned.Submission)
		replies <- reply{answer: answer, err: err}
	}
	go try(way)
	if planned.ResubmitAfter == 0 {
		return <-replies
	}
	patience := time.NewTimer(planned.ResubmitAfter)
	defer patience.Stop()
	select {
	case first := <-replies:
		return first
	case <-patience.C:
	}
	r.resent.Add(1)
	go try(way + 1)
	first := <-replies
	if first.err != nil {
		first = <-replies
	}
	return first
}

// cancelLater cancels a submission at its time unless it is answered before.
func (r *runner) cancelLater(ctx context.Context, way int, planned *PlannedSubmission) {
	if !sleepUntil(ctx, r.start.Add(planned.CancelAt)) {
		return
	}
	r.cancelled.Add(1)
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	// A submission that ended meanwhile can't be cancelled; its own answer tells what became of it.
	_ = r.sender.cancel(ctx, way+1, planned.Submission.Owner, planned.Submission.Key)
}

// sleepUntil waits for a time and reports whether it came before ctx ended.
func sleepUntil(ctx context.Context, when time.Time) bool {
	timer := time.NewTimer(time.Until(when))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
