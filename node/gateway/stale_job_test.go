package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/node/boottime"
	"flamingohall.example/node/rpc"
)

// keepRecorder is a control VM whose answers to Keep are chosen by the test.
type keepRecorder struct {
	rpc.Jobs
	requests chan *rpc.KeepRequest
	answers  chan *rpc.KeepResponse
}

func newKeepRecorder() *keepRecorder {
	return &keepRecorder{requests: make(chan *rpc.KeepRequest), answers: make(chan *rpc.KeepResponse)}
}

func (k *keepRecorder) Keep(ctx context.Context, request *rpc.KeepRequest) (*rpc.KeepResponse, error) {
	select {
	case k.requests <- request:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case answer := <-k.answers:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// next waits for a call and answers it. The jobs that are over are named in the answer to a check.
func (k *keepRecorder) next(t *testing.T, over ...string) *rpc.KeepRequest {
	t.Helper()
	for {
		request := within(t, "call that renews the job lease", k.requests)
		answer := &rpc.KeepResponse{Index: 1}
		if len(request.GetCheck()) > 0 {
			answer.Over = over
		}
		select {
		case k.answers <- answer:
			return request
		case <-time.After(time.Second):
			// The call has timed out.
		}
	}
}

// expectMissing checks that one of the next renewals asks control for a job.
func (k *keepRecorder) expectMissing(t *testing.T, job string) {
	t.Helper()
	var request *rpc.KeepRequest
	for range 3 {
		if request = k.next(t); len(request.GetMissing()) > 0 {
			break
		}
	}
	if !slices.Equal(request.GetMissing(), []string{job}) {
		t.Errorf("missing jobs %v, want control to be asked about the job", request.GetMissing())
	}
}

func oneTask(id string) dispatch.Submission {
	return dispatch.Submission{ID: id, IsStored: true, Queue: dispatch.Queue{Name: "q", Pool: "p"}, Steps: []dispatch.Step{{Count: 1}}}
}

// TestStore_AnswerThatWaitedInASuspendedProcessIsCheckedFirst guards against jobs that ran long after the answer to their cancel:
// they were cancelled while the answer to their Store waited in the socket of a suspended entry.
func TestStore_AnswerThatWaitedInASuspendedProcessIsCheckedFirst(t *testing.T) {
	control := newKeepRecorder()
	g := startGatewayOf(t, control)
	control.next(t)
	g.acceptStored(t.Context(), *g.holder.Load(), oneTask("j"), dispatch.StoreAnswer{IsNew: true, SentAt: boottime.Now() - dispatch.DefaultLimits.JobLease})
	if state, _ := g.core.Progress("j"); state != dispatch.StoredUnknown {
		t.Fatalf("state %v; the job was taken without a check", state)
	}
	control.expectMissing(t, "j")
}

// Store answers that control had the job before, and that the caller holds it under epoch 2.
func (k *keepRecorder) Store(_ context.Context, request *rpc.StoreRequest) (*rpc.StoreResponse, error) {
	return &rpc.StoreResponse{
		Status: rpc.StoreStatus_STORE_STATUS_KNOWN, State: rpc.JobState_JOB_STATE_OPEN, Holder: request.GetHolder(), Epoch: 2,
	}, nil
}

// TestStore_JobThatWasAssignedSinceIsRequestedFromControl guards against tasks of a stored job that are started again after their ends were
// recorded: the next holder took the answer to a copy of the job's request for that to a new job, without epoch and progress.
func TestStore_JobThatWasAssignedSinceIsRequestedFromControl(t *testing.T) {
	control := newKeepRecorder()
	g := startGatewayOf(t, control)
	control.next(t)
	job := oneTask("j")
	if err := g.store(t.Context(), &job); err != nil {
		t.Fatal(err)
	}
	if state := g.localState(t.Context(), "j"); state != Unknown {
		t.Fatalf("state %v; the job was taken without its epoch and progress", state)
	}
	control.expectMissing(t, "j")
}

// TestLease_IsAcquiredAgainOnlyWithACheckOfAllJobs guards against jobs that ran long after the answer to their cancel: they were
// cancelled while their holder was out of contact, and it ran them until its next check.
func TestLease_IsAcquiredAgainOnlyWithACheckOfAllJobs(t *testing.T) {
	control := newKeepRecorder()
	g := startGatewayOf(t, control)
	control.next(t)
	control.next(t)
	// A job that is younger than the usual check at the loss of the lease.
	time.Sleep(dispatch.DefaultLimits.JobLease / 2)
	g.acceptStored(t.Context(), *g.holder.Load(), oneTask("j"), dispatch.StoreAnswer{IsNew: true, SentAt: boottime.Now()})
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		for isHeld := true; isHeld; time.Sleep(10 * time.Millisecond) {
			result := make(chan bool, 1)
			g.put(func(now time.Duration) { result <- g.core.HoldsJobLease(now) })
			isHeld = <-result
		}
	}()
	within(t, "loss of the job lease", lost)
	// A call that was made before the loss may still be on its way.
	request := control.next(t, "j")
	if len(request.GetCheck()) == 0 {
		request = control.next(t, "j")
	}
	if !slices.Equal(request.GetCheck(), []string{"j"}) {
		t.Fatalf("checked %v, want all jobs of the entry", request.GetCheck())
	}
	deadline := time.Now().Add(10 * time.Second)
	for state := Queued; state != Unknown; time.Sleep(time.Millisecond) {
		if state = g.localState(t.Context(), "j"); time.Now().After(deadline) {
			t.Fatal("the job is not dropped")
		}
	}
}
