package gateway

import (
	"context"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/fault"
	"flamingohall.example/node/boottime"
	"flamingohall.example/node/events"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/workwire"
)

const (
	// controlTimeout limits a call to control that a caller waits for, retries included. Storing a job has its own limit if
	// the caller sets a timeout.
	controlTimeout = 1200 * time.Millisecond
	// responseReserve is the part of a caller's timeout that is reserved for sending the answer back.
	responseReserve = 100 * time.Millisecond
)

// State is the state of a stored job.
type State uint8

// States of stored jobs.
const (
	// Unknown means that there is no such job.
	Unknown State = iota
	// Queued means that the job is open and that no task is known to have begun.
	Queued
	Running
	Completed
	Failed
	Cancelled
)

// jobStates maps the state at control to a State, for jobs of which no task is known to have begun.
var jobStates = map[dispatch.StoredState]State{
	dispatch.StoredOpen: Queued, dispatch.StoredCompleted: Completed, dispatch.StoredFailed: Failed,
	dispatch.StoredCancelled: Cancelled,
}

// SubmitStored stores a job, which is then run whether its caller waits or not. The result is dispatch.Accepted once the
// job is stored, dispatch.Refused if it is not stored and will not be, and dispatch.GivenUp if that is unknown.
func (g *Gateway) SubmitStored(ctx context.Context, job dispatch.Submission) dispatch.Answer {
	job.IsStored = true
	began := time.Now()
	if refusal, isRefused := g.checkAdmission(ctx, job); isRefused {
		if g.isStored(ctx, job.ID) {
			return g.accepted(&job, began)
		}
		g.counters.recordAnswer(&refusal)
		g.put(func(time.Duration) { g.countByQueue(&refusal) })
		g.logAnswer(&refusal)
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout(&job))
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
		// The call isn't repeated, as the caller may have left or cancelled the job. If it was stored, the lease renewer learns that.
		answer.Result = dispatch.GivenUp
	}
	g.counters.recordAnswer(&answer)
	g.put(func(time.Duration) { g.countByQueue(&answer) })
	g.logAnswer(&answer)
	return answer
}

// lookupTimeout limits how long a refusal is delayed to check whether the job was accepted before.
const lookupTimeout = 50 * time.Millisecond

// isStored reports whether the job is known to be stored. An earlier attempt of the caller may have been accepted.
func (g *Gateway) isStored(ctx context.Context, id string) bool {
	if g.localState(ctx, id) != Unknown {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	state, err := g.find(ctx, id)
	return err == nil && state != dispatch.StoredUnknown
}

// storeTimeout returns how long storing the job may take.
func storeTimeout(job *dispatch.Submission) time.Duration {
	if job.Timeout == 0 {
		return controlTimeout
	}
	return max(responseReserve, job.Timeout-job.Waited-responseReserve)
}

func (g *Gateway) accepted(job *dispatch.Submission, began time.Time) dispatch.Answer {
	events.JobStored.Log(g.options.Logger, "request", job.Request, "job", job.ID, "queue", job.Queue.Name,
		"took_ms", time.Since(began).Milliseconds())
	return dispatch.Answer{Job: job.ID, Request: job.Request, Queue: job.Queue.Name, IsStored: true, Result: dispatch.Accepted}
}

// checkAdmission asks the dispatcher whether the job can be served in time.
func (g *Gateway) checkAdmission(ctx context.Context, job dispatch.Submission) (refusal dispatch.Answer, isRefused bool) {
	type decision struct {
		refusal   dispatch.Answer
		isRefused bool
	}
	result := make(chan decision, 1)
	g.put(func(now time.Duration) {
		refusal, isRefused := g.core.CheckAdmission(now, job)
		result <- decision{refusal, isRefused}
	})
	select {
	case got := <-result:
		return got.refusal, got.isRefused
	case <-ctx.Done():
	case <-g.context.Done():
	}
	return dispatch.Answer{
		Job: job.ID, Queue: job.Queue.Name, Result: dispatch.Refused, Cause: dispatch.Stopping, RetryAfter: time.Second,
	}, true
}

// store stores the job at control and, if this entry is its holder, passes it to the dispatcher. The error is fault.Unknown
// if the job may have been stored.
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
		var sentAt time.Duration
		err := g.jobsClient.Retry(ctx, func(ctx context.Context, jobs rpc.Jobs) (err error) {
			sentAt = boottime.Now()
			response, err = jobs.Store(ctx, request)
			return err
		})
		switch {
		case err != nil:
			return err
		case response.GetStatus() == rpc.StoreStatus_STORE_STATUS_FULL:
			return fault.New(fault.Overloaded, "retry later", "control stores as many jobs as it can hold")
		case response.GetStatus() == rpc.StoreStatus_STORE_STATUS_HOLDER_RETIRED:
			g.put(func(now time.Duration) { g.leaseRenewer.rename(now, holder) })
			if *g.holder.Load() == holder {
				// The loop has not renamed the holder yet.
				time.Sleep(busyTick)
			}
			continue
		}
		if response.GetStatus() == rpc.StoreStatus_STORE_STATUS_KNOWN {
			events.StoredJobKnown.Log(g.options.Logger, "job", job.ID, "holder", response.GetHolder(), "own_holder", holder, "epoch", response.GetEpoch())
		}
		if response.GetHolder() == holder && response.GetState() == rpc.JobState_JOB_STATE_OPEN {
			g.acceptStored(ctx, holder, *job, dispatch.StoreAnswer{IsNew: response.GetStatus() == rpc.StoreStatus_STORE_STATUS_STORED, SentAt: sentAt})
		}
		return nil
	}
}

// acceptStored passes a job that the given holder name holds, as the answer to a call that stores it says, to the dispatcher, and returns
// once that is done. If the holder has been renamed since, control has assigned the job to another entry, and it is not accepted.
func (g *Gateway) acceptStored(ctx context.Context, holder string, job dispatch.Submission, answer dispatch.StoreAnswer) {
	accepted := make(chan struct{})
	g.put(func(now time.Duration) {
		if holder == *g.holder.Load() && g.core.StoreAnswered(now, job, answer) {
			g.leaseRenewer.missing[job.ID] = true
		}
		close(accepted)
	})
	select {
	case <-accepted:
	case <-ctx.Done():
	case <-g.context.Done():
	}
}

// find asks control for the state of a job.
func (g *Gateway) find(ctx context.Context, id string) (dispatch.StoredState, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var response *rpc.FindResponse
	err := g.jobsClient.Retry(ctx, func(ctx context.Context, jobs rpc.Jobs) (err error) {
		response, err = jobs.Find(ctx, &rpc.FindRequest{JobId: id})
		return err
	})
	return storedState(response.GetState()), err
}

// queryRetryDelay is the time between two queries of a job's progress if control rejects the call.
const queryRetryDelay = 500 * time.Millisecond

// query asks control for the recorded progress of a job, and retries until it is known: the dispatcher requests it once.
func (g *Gateway) query(query dispatch.ProgressRequest) {
	var response *rpc.FindResponse
	find := func(ctx context.Context, jobs rpc.Jobs) (err error) {
		response, err = jobs.Find(ctx, &rpc.FindRequest{JobId: query.Job, Confirmed: true})
		return err
	}
	for {
		err := g.jobsClient.Retry(g.context, find)
		if err == nil {
			break
		}
		if g.context.Err() != nil {
			return
		}
		events.ProgressUnknown.LogError(g.options.Logger, err, "job", query.Job)
		select {
		case <-time.After(queryRetryDelay):
		case <-g.context.Done():
			return
		}
	}
	g.put(func(now time.Duration) {
		g.core.ProgressReported(now, query, storedState(response.GetState()), taskProgress(response.GetProgress()))
	})
}

// JobState returns the state of a stored job. The error is fault.Unavailable or fault.Unknown if it cannot be determined
// now.
func (g *Gateway) JobState(ctx context.Context, id string) (State, error) {
	if state := g.localState(ctx, id); state != Unknown {
		return state, nil
	}
	recorded, err := g.find(ctx, id)
	if err != nil {
		return Unknown, err
	}
	return jobStates[recorded], nil
}

// localState returns the state of a stored job that is, or was recently, in progress at this entry, else Unknown.
func (g *Gateway) localState(ctx context.Context, id string) State {
	result := make(chan State, 1)
	g.put(func(time.Duration) {
		state, hasBegun := g.core.Progress(id)
		if hasBegun {
			result <- Running
		} else {
			result <- jobStates[state]
		}
	})
	select {
	case state := <-result:
		return state
	case <-ctx.Done():
	case <-g.context.Done():
	}
	return Unknown
}

// cancelStored cancels a stored job wherever it runs, and reports whether the job is stored. The error is fault.Unavailable
// or fault.Unknown if the job may continue.
func (g *Gateway) cancelStored(ctx context.Context, id string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var response *rpc.CancelStoredResponse
	err := g.jobsClient.Retry(ctx, func(ctx context.Context, jobs rpc.Jobs) (err error) {
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
