package gateway

import (
	"context"
	"sync"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/node/events"
	"flamingohall.example/node/rpc"
)

// maxRecordsPerCall is the most ends of runs that one call reports.
const maxRecordsPerCall = 1_000

// recorder reports ends of runs to control, batching those that wait, and retries each batch until control has answered.
type recorder struct {
	gateway *Gateway

	mutex   sync.Mutex
	waiting []dispatch.Record
	// wake has capacity 1. It holds a signal while records may be waiting.
	wake chan struct{}
}

func newRecorder(g *Gateway) *recorder {
	return &recorder{gateway: g, wake: make(chan struct{}, 1)}
}

// add queues records for the next call.
func (r *recorder) add(records []dispatch.Record) {
	r.mutex.Lock()
	r.waiting = append(r.waiting, records...)
	r.mutex.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run sends the queued records until ctx ends.
func (r *recorder) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		for batch := r.nextBatch(); len(batch) > 0; batch = r.nextBatch() {
			r.record(ctx, batch)
		}
	}
}

func (r *recorder) nextBatch() []dispatch.Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := min(len(r.waiting), maxRecordsPerCall)
	batch := r.waiting[:count:count]
	r.waiting = r.waiting[count:]
	return batch
}

func (r *recorder) record(ctx context.Context, batch []dispatch.Record) {
	request := &rpc.RecordRequest{}
	var ends []dispatch.Record
	for i := range batch {
		if batch[i].IsCrash {
			request.Crashes = append(request.Crashes, &rpc.RunCrash{Task: batch[i].Task, Run: batch[i].Run})
			continue
		}
		ends = append(ends, batch[i])
		request.Ends = append(request.Ends, &rpc.RunEnd{Task: batch[i].Task, Run: batch[i].Run, Failed: batch[i].IsFailure})
	}
	var response *rpc.RecordResponse
	began := time.Now()
	err := r.gateway.jobsClient.Retry(ctx, func(ctx context.Context, jobs rpc.Jobs) (err error) {
		response, err = jobs.Record(ctx, request)
		return err
	})
	if err != nil || len(response.GetEnds()) != len(ends) {
		// The process is stopping, or control has rejected the call or not answered for each end.
		r.reject(ctx, ends, err)
		r.gateway.counters.recordsFailed.Add(int64(len(batch)))
		return
	}
	r.gateway.counters.recordTook.Observe(time.Since(began))
	r.gateway.put(func(now time.Duration) {
		for i := range ends {
			r.gateway.core.Recorded(now, ends[i].RunID, storedState(response.GetEnds()[i].GetState()))
		}
	})
}

// reject has the ends recorded when the sidecars report them again, as they do until an end is confirmed.
func (r *recorder) reject(ctx context.Context, ends []dispatch.Record, err error) {
	r.gateway.put(func(time.Duration) {
		for i := range ends {
			r.gateway.core.RecordRejected(ends[i].RunID)
		}
	})
	if ctx.Err() == nil {
		events.RecordRejected.LogError(r.gateway.options.Logger, err, "ends", len(ends))
	}
}

// storedState converts a job state reported by control.
func storedState(state rpc.JobState) dispatch.StoredState {
	switch state {
	case rpc.JobState_JOB_STATE_OPEN:
		return dispatch.StoredOpen
	case rpc.JobState_JOB_STATE_COMPLETED:
		return dispatch.StoredCompleted
	case rpc.JobState_JOB_STATE_FAILED:
		return dispatch.StoredFailed
	case rpc.JobState_JOB_STATE_CANCELLED:
		return dispatch.StoredCancelled
	case rpc.JobState_JOB_STATE_UNSPECIFIED:
	}
	return dispatch.StoredUnknown
}
