package gateway

import (
	"context"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/fault"
	"flamingohall.example/node/events"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/workwire"
)

const (
	// storePatience bounds the storing of a job whose caller sets no bound.
	storePatience = 1200 * time.Millisecond
	// callerReserve is left of a caller's time for the answer's way back.
	callerReserve = 100 * time.Millisecond
	// learnPatience is how long an entry goes on asking what became of a job that it tried to store: longer than control
	// takes to elect a leader.
	learnPatience = 10 * time.Second
)

// State is how far a stored job is.
type State uint8

// States of stored jobs.
const (
	// Unknown means that there is no such job.
	Unknown State = iota
	// Queued means that no task is known to have begun.
	Queued
	Running
	Completed
	Failed
	Cancelled
)

// jobStates are the states of jobs whose tasks are not known to have begun.
var jobStates = map[dispatch.StoredState]State{
	dispatch.StoredOpen: Queued, dispatch.StoredCompleted: Completed, dispatch.StoredFailed: Failed,
	dispatch.StoredCancelled: Cancelled,
}

// SubmitStored stores a job, which is then run whether its caller waits or not. The result is dispatch.Accepted once the
// job is stored, dispatch.Refused if it is not and never will be, and dispatch.GivenUp if nobody can tell.
func (g *Gateway) SubmitStored(ctx context.Context, job dispatch.Submission) dispatch.Answer {
	job.IsStored = true
	began := time.Now()
	if refusal, isRefused := g.consider(ctx, job); isRefused {
		if g.isStored(ctx, job.ID) {
			return g.accepted(&job, began)
		}
		g.counters.answered(&refusal)
		g.logAnswer(&refusal)
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, storeTime(&job))
	defer cancel()
	err := g.store(ctx, &job)
	if err == nil {
		g.counters.storeTook.Observe(time.Since(began))
		return g.accepted(&job, began)
	}
	answer := dispatch.Answer{
		Job: job.ID, Request: job.Request, Queue: job.Queue.Name, IsStored: true, Cause: dispatch.ControlUnavailable,
		Result: dispatch.Refused, RetryAfter: time.Second,
	}
	answer.Trace.Took = time.Since(began)
	if fault.Of(err).Kind == fault.Unknown {
		answer.Result = dispatch.GivenUp
		g.duties.Go(func() { g.learn(&job) })
	}
	g.counters.answered(&answer)
	g.logAnswer(&answer)
	return answer
}

// lookTime bounds how long a refusal may be held up to see whether the job was accepted before.
const lookTime = 50 * time.Millisecond

// isStored reports whether control is known to keep the job. An earlier attempt of the caller may have been accepted.
func (g *Gateway) isStored(ctx context.Context, id string) bool {
	if g.stateHere(ctx, id) != Unknown {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	state, err := g.find(ctx, id)
	return err == nil && state != dispatch.StoredUnknown
}

// storeTime returns how long storing may take.
func storeTime(job *dispatch.Submission) time.Duration {
	if job.Timeout == 0 {
		return storePatience
	}
	return max(callerReserve, job.Timeout-job.Waited-callerReserve)
}

func (g *Gateway) accepted(job *dispatch.Submission, began time.Time) dispatch.Answer {
	events.JobStored.Log(g.options.Logger, "request", job.Request, "job", job.ID, "queue", job.Queue.Name,
		"took_ms", time.Since(began).Milliseconds())
	return dispatch.Answer{Job: job.ID, Request: job.Request, Queue: job.Queue.Name, IsStored: true, Result: dispatch.Accepted}
}

// learn goes on until it is known whether the job is stored: it is run by this entry if so.
func (g *Gateway) learn(job *dispatch.Submission) {
	ctx, cancel := context.WithTimeout(g.context, learnPatience)
	defer cancel()
	if err := g.store(ctx, job); err != nil {
		// If it is stored all the same, control gives it to another entry once this one ends.
		events.StoreUncertain.LogError(g.options.Logger, err, "job", job.ID, "request", job.Request)
	}
}

// consider asks the core whether the job can be served in time.
func (g *Gateway) consider(ctx context.Context, job dispatch.Submission) (refusal dispatch.Answer, isRefused bool) {
	type verdict struct {
		refusal   dispatch.Answer
		isRefused bool
	}
	told := make(chan verdict, 1)
	g.put(func(now time.Duration) {
		refusal, isRefused := g.core.CheckAdmission(now, job)
		told <- verdict{refusal, isRefused}
	})
	select {
	case got := <-told:
		return got.refusal, got.isRefused
	case <-ctx.Done():
	case <-g.context.Done():
	}
	return dispatch.Answer{
		Job: job.ID, Queue: job.Queue.Name, Result: dispatch.Refused, Cause: dispatch.Stopping, RetryAfter: time.Second,
	}, true
}

// store puts the job into control's log and, if this entry is its holder, into the core. The error is fault.Unknown when it
// may be stored.
func (g *Gateway) store(ctx context.Context, job *dispatch.Submission) error {
	request := &rpc.StoreRequest{
		JobId: job.ID, Queue: job.Queue.Name, Body: workwire.EncodeSubmission(job),
		Attempts: uint32(max(1, job.Queue.Attempts)),
	}
	for i := range job.Steps {
		request.Steps = append(request.Steps, uint32(job.Steps[i].Count))
	}
	for {
		holder := *g.holder.Load()
		request.Holder = holder
		var response *rpc.StoreResponse
		err := g.stored.Retry(ctx, func(ctx context.Context, jobs rpc.Jobs) (err error) {
			response, err = jobs.Store(ctx, request)
			return err
		})
		switch {
		case err != nil:
			return err
		case response.GetStatus() == rpc.StoreStatus_STORE_STATUS_FULL:
			return fault.New(fault.Overloaded, "send it later", "control holds as many accepted jobs as it can")
		case response.GetStatus() == rpc.StoreStatus_STORE_STATUS_HOLDER_RETIRED:
			g.put(func(now time.Duration) { g.keeper.rename(now, holder) })
			if *g.holder.Load() == holder {
				// The loop has not come to it yet.
				time.Sleep(busyTick)
			}
			continue
		}
		if response.GetHolder() == holder && response.GetState() == rpc.JobState_JOB_STATE_OPEN {
			g.take(ctx, holder, *job)
		}
		return nil
	}
}

// take hands a job that was stored under a holder's name to the core, and returns when it is there. Under an earlier name
// the job is another entry's by now.
func (g *Gateway) take(ctx context.Context, holder string, job dispatch.Submission) {
	taken := make(chan struct{})
	job.Epoch = 1
	g.put(func(now time.Duration) {
		if holder == *g.holder.Load() {
			g.core.Accept(now, job)
		}
		close(taken)
	})
	select {
	case <-taken:
	case <-ctx.Done():
	case <-g.context.Done():
	}
}

// find asks control how far a job is.
func (g *Gateway) find(ctx context.Context, id string) (dispatch.StoredState, error) {
	ctx, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	var response *rpc.FindResponse
	err := g.stored.Retry(ctx, func(ctx context.Context, jobs rpc.Jobs) (err error) {
		response, err = jobs.Find(ctx, &rpc.FindRequest{JobId: id})
		return err
	})
	return storedState(response.GetState()), err
}

// ask learns what control has recorded of a job, and tries until it is known.
func (g *Gateway) ask(ask dispatch.ProgressRequest) {
	var response *rpc.FindResponse
	err := g.stored.Retry(g.context, func(ctx context.Context, jobs rpc.Jobs) (err error) {
		response, err = jobs.Find(ctx, &rpc.FindRequest{JobId: ask.Job, Confirmed: true})
		return err
	})
	if err != nil {
		// The process ends, or control refuses: the keeper's check settles the job.
		return
	}
	g.put(func(now time.Duration) {
		g.core.ProgressReported(now, ask, storedState(response.GetState()), taskProgress(response.GetProgress()))
	})
}

// JobState returns how far a stored job is. The error is fault.Unavailable or fault.Unknown when nobody can tell now.
func (g *Gateway) JobState(ctx context.Context, id string) (State, error) {
	if state := g.stateHere(ctx, id); state != Unknown {
		return state, nil
	}
	found, err := g.find(ctx, id)
	if err != nil {
		return Unknown, err
	}
	return jobStates[found], nil
}

// stateHere returns the state of a job that is, or was, under way here.
func (g *Gateway) stateHere(ctx context.Context, id string) State {
	told := make(chan State, 1)
	g.put(func(time.Duration) {
		state, hasBegun := g.core.Progress(id)
		if hasBegun {
			told <- Running
		} else {
			told <- jobStates[state]
		}
	})
	select {
	case state := <-told:
		return state
	case <-ctx.Done():
	case <-g.context.Done():
	}
	return Unknown
}

// cancelStored ends a stored job wherever it runs, and reports whether there is one. The error is fault.Unavailable or
// fault.Unknown when the job may go on.
func (g *Gateway) cancelStored(ctx context.Context, id string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	var response *rpc.CancelStoredResponse
	err := g.stored.Retry(ctx, func(ctx context.Context, jobs rpc.Jobs) (err error) {
		response, err = jobs.Cancel(ctx, &rpc.CancelStoredRequest{JobId: id})
		return err
	})
	if err != nil {
		return false, err
	}
	if response.GetState() == rpc.JobState_JOB_STATE_CANCELLED {
		events.StoredJobCancelled.Log(g.options.Logger, "job", id)
		g.put(func(now time.Duration) { g.core.Cancel(now, id) })
	}
	return response.GetState() != rpc.JobState_JOB_STATE_UNSPECIFIED, nil
}
