package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/node/metrics"
)

func startGateway(t *testing.T) *Gateway {
	t.Helper()
	g := New(Options{
		ID: "e", DataCentre: "a", Address: "127.0.0.1:1", Control: []string{"127.0.0.1:1"}, ControlHold: time.Second,
		Logger: logr.Discard(), Metrics: metrics.NewRole("entry", t.Name()),
	})
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := g.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	return g
}

func TestGateway_RequestsWaitNoLongerThanAStartMayTake(t *testing.T) {
	g := startGateway(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if waited := g.AwaitStartup(ctx); ctx.Err() == nil || waited <= 0 {
		t.Errorf("without workers the first request waited %v, want until its context ended", waited)
	}
	if waited := g.AwaitStartup(t.Context()); waited > maxStartupWait+time.Second {
		t.Errorf("waited %v, want at most %v", waited, maxStartupWait)
	}
	if waited := g.AwaitStartup(t.Context()); waited != 0 {
		t.Errorf("after startup a request waited %v, want 0", waited)
	}
}

func TestGateway_JobWithoutWorkersIsRefusedAndCounted(t *testing.T) {
	g := startGateway(t)
	answer := g.Submit(t.Context(), dispatch.Submission{ID: "j", Steps: []dispatch.Step{{Count: 1}}})
	if answer.Result != dispatch.Refused || answer.Cause != dispatch.NoWorkers || answer.RetryAfter <= 0 {
		t.Errorf("answer %+v, want a refusal with cause NoWorkers and a RetryAfter", answer)
	}
	if got := g.counters.refused.Load(); got != 1 {
		t.Errorf("%d refusals counted, want 1", got)
	}
}

// TestGateway_JobOfACallerThatHasLeftIsNotSubmitted guards against tasks that start although their caller has disconnected, and
// may have sent the job to another entry, while the request waited.
func TestGateway_JobOfACallerThatHasLeftIsNotSubmitted(t *testing.T) {
	g := startGateway(t)
	left, leave := context.WithCancel(t.Context())
	leave()
	if answer := g.Submit(left, dispatch.Submission{ID: "j", Steps: []dispatch.Step{{Count: 1}}}); answer.Cause != dispatch.CallerGone {
		t.Errorf("answer %+v, want one with cause CallerGone", answer)
	}
	g.Submit(t.Context(), dispatch.Submission{ID: "k", Steps: []dispatch.Step{{Count: 1}}})
	// An answer is counted after it is given, and before the loop handles the next input.
	g.Pending(t.Context(), "")
	if got := g.counters.refused.Load(); got != 1 {
		t.Errorf("%d jobs submitted to the dispatcher, want the second one only", got)
	}
}
