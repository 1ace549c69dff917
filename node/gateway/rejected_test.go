package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/work"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/transport"
)

// rejectingJobs is a control VM that rejects the first call of each kind, as one whose queue of steps is full does.
type rejectingJobs struct {
	rpc.Jobs
	records chan *rpc.RecordRequest
	finds   chan *rpc.FindRequest
	// recorded and found count the calls; each is used by one goroutine at a time.
	recorded, found int
}

func rejection() error {
	return faultrpc.To(fault.New(fault.Overloaded, "send fewer claims at once", "control: 8192 steps are queued"))
}

func (j *rejectingJobs) Record(_ context.Context, request *rpc.RecordRequest) (*rpc.RecordResponse, error) {
	j.records <- request
	if j.recorded++; j.recorded == 1 {
		return nil, rejection()
	}
	return &rpc.RecordResponse{Ends: []*rpc.RecordedEnd{{State: rpc.JobState_JOB_STATE_COMPLETED}}}, nil
}

func (j *rejectingJobs) Find(_ context.Context, request *rpc.FindRequest) (*rpc.FindResponse, error) {
	j.finds <- request
	if j.found++; j.found == 1 {
		return nil, rejection()
	}
	return &rpc.FindResponse{State: rpc.JobState_JOB_STATE_OPEN}, nil
}

func (j *rejectingJobs) Keep(context.Context, *rpc.KeepRequest) (*rpc.KeepResponse, error) {
	return &rpc.KeepResponse{Index: 1}, nil
}

// startGatewayOf starts a gateway whose only control VM serves jobs.
func startGatewayOf(t *testing.T, jobs rpc.Jobs) *Gateway {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: rpc.NewJobsServer(jobs), ReadHeaderTimeout: time.Second, Protocols: transport.ServerProtocols(),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	g := New(Options{
		ID: "e", DataCentre: "a", Address: "127.0.0.1:1", Control: []string{listener.Addr().String()}, ControlHold: time.Second,
		Logger: logr.Discard(), Metrics: metrics.NewRole("entry", t.Name()),
	})
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		g.cancel()
		g.duties.Wait()
	})
	return g
}

// within returns the next value of a channel.
func within[T any](t *testing.T, what string, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: not within 10 s", what)
		panic("unreachable")
	}
}

// TestRecorder_EndThatControlRejectedIsRecordedWhenItIsReportedAgain guards against ends that were never recorded after control had
// rejected them once for being overloaded.
func TestRecorder_EndThatControlRejectedIsRecordedWhenItIsReportedAgain(t *testing.T) {
	jobs := &rejectingJobs{records: make(chan *rpc.RecordRequest, 8), finds: make(chan *rpc.FindRequest, 8)}
	g := startGatewayOf(t, jobs)
	id := work.RunID{Task: "j.0.0.0", Run: 1}
	report := func() {
		g.put(func(now time.Duration) {
			g.core.Opened(now, "s", "a")
			g.core.Take(now, "s", &work.ToEntry{Ended: []work.Ended{{RunID: id, Outcome: work.Done, AwaitsConfirmation: true}}})
		})
	}
	report()
	within(t, "first record", jobs.records)
	for g.counters.recordsFailed.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The sidecar reports the end again, as it does until the end is confirmed.
	report()
	if again := within(t, "second record", jobs.records); again.GetEnds()[0].GetTask() != id.Task {
		t.Errorf("recorded %v", again)
	}
}

// TestQuery_ProgressIsAskedForAgainAfterControlRejectedTheCall guards against tasks that stayed uncertain for good, since their
// progress is requested once.
func TestQuery_ProgressIsAskedForAgainAfterControlRejectedTheCall(t *testing.T) {
	jobs := &rejectingJobs{records: make(chan *rpc.RecordRequest, 8), finds: make(chan *rpc.FindRequest, 8)}
	g := startGatewayOf(t, jobs)
	g.duties.Go(func() { g.query(dispatch.ProgressRequest{Job: "j", Number: 1}) })
	within(t, "first call", jobs.finds)
	within(t, "second call", jobs.finds)
}
