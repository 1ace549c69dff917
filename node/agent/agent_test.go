package agent

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/runner"
	"flamingohall.example/node/metrics"
)

// silentWorker never answers a call.
type silentWorker struct{}

func (silentWorker) Start(ctx context.Context, _ *runner.Start) (runner.Answer, runner.ClockReading) {
	<-ctx.Done()
	return runner.NoAnswer, runner.ClockReading{}
}

func (silentWorker) Stop(ctx context.Context, _ *runner.Stop) (runner.Answer, runner.ClockReading) {
	<-ctx.Done()
	return runner.NoAnswer, runner.ClockReading{}
}

func (silentWorker) Hold(ctx context.Context, _ *runner.Hold) *runner.Report {
	<-ctx.Done()
	return &runner.Report{Answer: runner.NoAnswer}
}

// TestAgent_TakesHeartbeatsWhileItStarts guards against a data race between Start and heartbeats that arrive at the same
// time. It fails only under the race detector.
func TestAgent_TakesHeartbeatsWhileItStarts(t *testing.T) {
	a := New(Options{
		ID: "s", DataCentre: "a", Listen: "127.0.0.1:0", Control: []string{"127.0.0.1:1"}, Worker: silentWorker{},
		Logger: logr.Discard(), Metrics: metrics.NewRole("sidecar", t.Name()),
	})
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() {
		for n := range 100 {
			a.Announced(runner.Announcement{Sequence: uint64(n)})
		}
	})
	if err := a.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	heartbeats.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := a.Stop(ctx); err != nil {
		t.Error(err)
	}
}
