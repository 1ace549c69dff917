package gateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/work"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// silentStore is a control VM that stores jobs whose answers are lost. It tells their holder of them, as the leader does.
type silentStore struct {
	rpc.Jobs
	mutex  sync.Mutex
	stored []*rpc.StoreRequest
	calls  int
	// storedAtKeep is the number of jobs that the holder was told of.
	storedAtKeep int
}

func (s *silentStore) Store(_ context.Context, request *rpc.StoreRequest) (*rpc.StoreResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if !slices.ContainsFunc(s.stored, func(known *rpc.StoreRequest) bool { return known.GetJobId() == request.GetJobId() }) {
		s.stored = append(s.stored, request)
	}
	return nil, faultrpc.To(fault.New(fault.Unknown, "send it again", "the answer was lost"))
}

func (s *silentStore) Find(context.Context, *rpc.FindRequest) (*rpc.FindResponse, error) {
	return &rpc.FindResponse{}, nil
}

// count returns the number of calls to store a job.
func (s *silentStore) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *silentStore) Keep(_ context.Context, request *rpc.KeepRequest) (*rpc.KeepResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	response := &rpc.KeepResponse{Index: uint64(1 + len(s.stored))}
	for n, job := range s.stored {
		if n >= s.storedAtKeep {
			response.Stored = append(response.Stored, job.GetJobId())
		}
		if slices.Contains(request.GetMissing(), job.GetJobId()) {
			response.Assigned = append(response.Assigned, &rpc.HeldJob{JobId: job.GetJobId(), Epoch: 1, Body: job.GetBody()})
		}
	}
	s.storedAtKeep = len(s.stored)
	return response, nil
}

// TestStore_JobWhoseAnswerWasLostIsRunByItsHolder guards against accepted jobs that nobody ran: their holder had given up storing
// them, and did not know that control had stored them.
func TestStore_JobWhoseAnswerWasLostIsRunByItsHolder(t *testing.T) {
	control := &silentStore{}
	g := startGatewayOf(t, control)
	job := dispatch.Submission{
		ID: "j", Queue: dispatch.Queue{Name: "q", Pool: "p"}, Steps: []dispatch.Step{{Count: 1}}, Timeout: 300 * time.Millisecond,
	}
	// No worker is up, so that the job would be refused; it is stored as it would be if one were.
	ctx, cancel := context.WithTimeout(t.Context(), job.Timeout)
	defer cancel()
	if err := g.store(ctx, &job); fault.Of(err).Kind != fault.Unknown {
		t.Fatalf("store: %v", err)
	}
	deadline := time.Now().Add(10 * time.Second)
	for {
		if state, err := g.JobState(t.Context(), "j"); err == nil && state == Queued {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the job isn't run by its holder within 10 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestStore_NothingIsStoredForACallerThatLeft guards against jobs that ran although their callers had left and cancelled them: the
// entry went on to store them, also after it had been suspended meanwhile.
func TestStore_NothingIsStoredForACallerThatLeft(t *testing.T) {
	control := &silentStore{}
	g := startGatewayOf(t, control)
	g.put(func(now time.Duration) {
		g.core.Opened(now, "s", "a")
		g.core.Attached(now, "s", true)
		g.core.Take(now, "s", &work.ToEntry{
			Worker: &work.Worker{Incarnation: "s", Pool: "p", Capacity: work.Needs{MilliCores: 1000}}, Load: &work.Load{Accepts: true},
		})
	})
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan dispatch.Answer, 1)
	go func() {
		job := dispatch.Submission{ID: "j", Queue: dispatch.Queue{Name: "q", Pool: "p"}, Steps: []dispatch.Step{{Count: 1}}}
		answered <- g.SubmitStored(ctx, job)
	}()
	for control.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if answer := within(t, "answer", answered); answer.Result != dispatch.GivenUp {
		t.Errorf("answer %+v", answer)
	}
	// The last call of the caller's request may still be on its way.
	time.Sleep(renewPeriod)
	calls := control.count()
	time.Sleep(2 * renewPeriod)
	if later := control.count(); later != calls {
		t.Errorf("%d calls to store the job after its caller had left", later-calls)
	}
}
