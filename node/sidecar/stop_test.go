package sidecar

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// gatedTarget starts a target whose tasks run until release is closed.
func gatedTarget(t *testing.T) (url string, started <-chan string, release chan struct{}) {
	t.Helper()
	starts := make(chan string, 100)
	release = make(chan struct{})
	url = serve(t, func(out http.ResponseWriter, in *http.Request) {
		_, _ = io.Copy(io.Discard, in.Body)
		starts <- in.URL.Path
		select {
		case <-release:
			_, _ = out.Write([]byte(`{}`))
		case <-in.Context().Done():
		}
	})
	return url, starts, release
}

func stopAsync(b *testbed, ctx context.Context) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- b.Stop(ctx) }()
	return stopped
}

func TestStop_InterruptsNothingAndReturnsQueuedTasks(t *testing.T) {
	url, started, release := gatedTarget(t)
	b := startSidecar(t, settings.Sidecar{TargetURL: url, Slots: 1, Queue: 8})
	request := neverRepeatedRequest(b, 3, quick)
	waiting := runAsync(t, b, request)
	<-started
	stopped := stopAsync(b, t.Context())
	returned := <-waiting
	if count(returned.GetOutcomes(), rpc.Outcome_OUTCOME_NOT_RUN) != 2 ||
		count(returned.GetOutcomes(), rpc.Outcome_OUTCOME_RUNNING) != 1 || !returned.GetLoad().GetLeaving() {
		t.Fatalf("returned tasks %v", returned)
	}
	late := neverRepeatedRequest(b, 1, quick)
	late.JobId = nextJob(testJob)
	wantTask(t, mustRun(t, b, late), rpc.Outcome_OUTCOME_NOT_RUN, rpc.Cause_CAUSE_LEAVING)
	if b.Ready() == nil || b.control.announced.Load() == 0 || !b.self().GetLeaving() {
		t.Error("a stopping sidecar is ready or did not announce that it is leaving")
	}
	request.Tasks = request.Tasks[:1]
	rest := runAsync(t, b, request)
	close(release)
	wantTask(t, <-rest, rpc.Outcome_OUTCOME_DONE, rpc.Cause_CAUSE_UNSPECIFIED)
	if err := <-stopped; err != nil || b.control.goodbyes.Load() != 1 {
		t.Errorf("stop: %v, %d deregistrations", err, b.control.goodbyes.Load())
	}
	if len(started) != 0 {
		t.Errorf("%d starts after the stop", len(started))
	}
}

func TestStop_WaitsUntilOutcomesAreFetched(t *testing.T) {
	url, started, release := gatedTarget(t)
	b := startSidecar(t, settings.Sidecar{TargetURL: url, Slots: 1, Queue: 8})
	request := neverRepeatedRequest(b, 1, quick)
	request.HoldMs = 0
	mustRun(t, b, request)
	<-started
	stopped := stopAsync(b, t.Context())
	close(release)
	for b.snapshot.undelivered.Load() == 0 {
		runtime.Gosched()
	}
	wantTask(t, mustRun(t, b, request), rpc.Outcome_OUTCOME_DONE, rpc.Cause_CAUSE_UNSPECIFIED)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func TestStop_ReportsTasksCancelledAtTheEndOfTheGracePeriod(t *testing.T) {
	url, started, _ := gatedTarget(t)
	b := startSidecar(t, settings.Sidecar{TargetURL: url, Slots: 1, Queue: 8})
	request := neverRepeatedRequest(b, 1, quick)
	request.HoldMs = 0
	mustRun(t, b, request)
	<-started
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := b.Stop(cancelled); err == nil {
		t.Error("a cancelled task was not reported")
	}
}
