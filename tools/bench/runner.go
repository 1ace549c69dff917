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
	// maxOutstanding bounds the submissions without an answer; further ones are not sent but counted as NotSent.
	maxOutstanding = 20_000
	// defaultAnswerTimeout is how long a caller waits for an answer to a submission without a deadline.
	defaultAnswerTimeout = 60 * time.Second
	// answerGrace is how long after the deadline a caller still waits.
	answerGrace = 10 * time.Second
	// cancelTimeout bounds a cancellation request.
	cancelTimeout = 10 * time.Second
)

// runner sends the submissions of a plan open loop.
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

// drive sends every submission at its intended time and returns the observations. It returns when all submissions are
// answered; when ctx ends it sends no more.
func (r *runner) drive(ctx context.Context, plan *Plan) []observation {
	r.observations = make(chan observation, maxOutstanding)
	r.start = time.Now()
	collected := make(chan []observation, 1)
	go func() { collected <- collect(r.observations, len(plan.Submissions)) }()
	for planIndex := range plan.Submissions {
		planned := &plan.Submissions[planIndex]
		if !sleepUntil(ctx, r.start.Add(planned.At)) {
			break
		}
		if r.outstanding.Load() >= maxOutstanding {
			r.notSent.Add(1)
			continue
		}
		r.outstanding.Add(1)
		r.group.Go(func() { r.send(ctx, planIndex, planned) })
	}
	r.group.Wait()
	close(r.observations)
	return <-collected
}

// collect reads observations until the channel is closed.
func collect(observations <-chan observation, expected int) []observation {
	list := make([]observation, 0, expected)
	for obs := range observations {
		list = append(list, obs)
	}
	return list
}

// send sends one submission, waits for its answer and records the observation. The index of the submission in the plan
// selects the entry, so that the load is spread evenly over the entries.
func (r *runner) send(ctx context.Context, planIndex int, planned *PlannedSubmission) {
	defer r.outstanding.Add(-1)
	intended := r.start.Add(planned.At)
	obs := observation{planned: planned, sendDelay: time.Since(intended)}
	ctx, stop := context.WithDeadline(ctx, intended.Add(answerTimeout(planned)))
	defer stop()
	if planned.CancelAt > 0 {
		r.group.Go(func() { r.cancelLater(ctx, planIndex, planned) })
	}
	got := r.exchange(ctx, planIndex, planned)
	obs.response = time.Since(intended)
	obs.answer = got.answer
	obs.ending, obs.message = classify(planned, got.answer, got.err)
	obs.retryAfter = got.err != nil && fault.Of(got.err).RetryAfter > 0
	r.observations <- obs
}

// answerTimeout returns how long a caller waits for an answer.
func answerTimeout(planned *PlannedSubmission) time.Duration {
	if planned.Submission.DeadlineMS == 0 {
		return defaultAnswerTimeout + answerGrace
	}
	return time.Duration(planned.Submission.DeadlineMS)*time.Millisecond + answerGrace
}

// reply is the outcome of sending a submission once.
type reply struct {
	answer *client.Answer
	err    error
}

// exchange sends a submission and, when no answer comes within ResubmitAfter, sends it again to the next entry. If both are
// sent, the first reply without an error is returned; if both fail, the later error.
func (r *runner) exchange(ctx context.Context, entryIndex int, planned *PlannedSubmission) reply {
	replies := make(chan reply, 2)
	try := func(entryIndex int) {
		answer, err := r.sender.submit(ctx, entryIndex, &planned.Submission)
		replies <- reply{answer: answer, err: err}
	}
	go try(entryIndex)
	if planned.ResubmitAfter == 0 {
		return <-replies
	}
	resubmit := time.NewTimer(planned.ResubmitAfter)
	defer resubmit.Stop()
	select {
	case first := <-replies:
		return first
	case <-resubmit.C:
	}
	r.resent.Add(1)
	go try(entryIndex + 1)
	first := <-replies
	if first.err != nil {
		first = <-replies
	}
	return first
}

// cancelLater cancels a submission at its cancellation time, through the next entry, unless it is answered before that.
func (r *runner) cancelLater(ctx context.Context, entryIndex int, planned *PlannedSubmission) {
	if !sleepUntil(ctx, r.start.Add(planned.CancelAt)) {
		return
	}
	r.cancelled.Add(1)
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	// A submission that has just ended can't be cancelled; the outcome is in its own answer.
	_ = r.sender.cancel(ctx, entryIndex+1, planned.Submission.Owner, planned.Submission.Key)
}

// sleepUntil waits until a time and reports whether it was reached before ctx ended.
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
