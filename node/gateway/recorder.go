package gateway

import (
	"context"
	"sync"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/node/rpc"
)

// maxRecords bounds the ends of one call.
const maxRecords = 1_000

// recorder brings ends of runs to control, all that wait in one call, and tries until control has them.
type recorder struct {
	gateway *Gateway

	mutex   sync.Mutex
	waiting []dispatch.Record
	// wake has room for one sign that something waits.
	wake chan struct{}
}

func newRecorder(g *Gateway) *recorder {
	return &recorder{gateway: g, wake: make(chan struct{}, 1)}
}

// add hands ends over.
func (r *recorder) add(records []dispatch.Record) {
	r.mutex.Lock()
	r.waiting = append(r.waiting, records...)
	r.mutex.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run is the recorder's duty.
func (r *recorder) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		for batch := r.next(); len(batch) > 0; batch = r.next() {
			r.record(ctx, batch)
		}
	}
}

func (r *recorder) next() []dispatch.Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := min(len(r.waiting), maxRecords)
	batch := r.waiting[:count:count]
	r.waiting = r.waiting[count:]
	return batch
}

func (r *recorder) record(ctx context.Context, batch []dispatch.Record) {
	request := &rpc.RecordRequest{}
	for i := range batch {
		request.Ends = append(request.Ends, &rpc.RunEnd{Task: batch[i].Task, Run: batch[i].Run, Failed: batch[i].IsFailure})
	}
	var response *rpc.RecordResponse
	began := time.Now()
	err := r.gateway.stored.Retry(ctx, func(ctx context.Context, jobs rpc.Jobs) (err error) {
		response, err = jobs.Record(ctx, request)
		return err
	})
	if err != nil || len(response.GetEnds()) != len(batch) {
		// The process ends, or control refuses: sidecars tell the ends again.
		r.gateway.counters.recordsFailed.Add(int64(len(batch)))
		return
	}
	r.gateway.counters.recordTook.Observe(time.Since(began))
	r.gateway.put(func(now time.Duration) {
		for i := range batch {
			r.gateway.core.Recorded(now, batch[i].RunID, storedState(response.GetEnds()[i].GetState()))
		}
	})
}

// storedState translates a state as control tells it.
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
