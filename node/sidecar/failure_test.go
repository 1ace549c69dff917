package sidecar

import (
	"bytes"
	"net/http"
	"os"
	"runtime"
	"testing"

	"flamingohall.example/node/relaytest"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

const (
	hang  = `{"run_ms":0,"fail":"hang"}`
	quick = `{"run_ms":0}`
)

func startRelay(t *testing.T, to string) *relaytest.Relay {
	t.Helper()
	relay, err := relaytest.Start(to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return relay
}

// startThroughRelay starts a sidecar whose connections to the target go through a relay.
func startThroughRelay(t *testing.T, slots int) (b *testbed, relay *relaytest.Relay, ledger string) {
	t.Helper()
	standIn, ledger := startTarget(t, settings.StandIn{Slots: slots})
	relay = startRelay(t, standIn.Addr())
	b = startSidecar(t, settings.Sidecar{TargetURL: "http://" + relay.Addr(), Slots: slots, Queue: 8})
	return b, relay, ledger
}

// runAsync sends a request in the background and returns a channel that receives the answer.
func runAsync(t *testing.T, b *testbed, request *rpc.RunRequest) <-chan *rpc.RunResponse {
	t.Helper()
	answers := make(chan *rpc.RunResponse, 1)
	go func() {
		response, err := b.client.Run(t.Context(), request)
		if err != nil {
			t.Errorf("run: %v", err)
		}
		answers <- response
	}()
	return answers
}

// waitStarts waits until the ledger contains n starts. The stand-in counts a task as running before it records the start,
// so a test that waits only for the count may inject its fault and read the ledger before the start is in it.
func waitStarts(t *testing.T, ledger string, n int) {
	t.Helper()
	for {
		text, err := os.ReadFile(ledger)
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Count(text, []byte("\n")) >= n {
			return
		}
		runtime.Gosched()
	}
}

func wantTask(t *testing.T, response *rpc.RunResponse, outcome rpc.Outcome, cause rpc.Cause) {
	t.Helper()
	got := response.GetOutcomes()[0]
	if got.GetOutcome() != outcome || got.GetCause() != cause {
		t.Errorf("got %s %s %q, want %s %s", got.GetOutcome(), got.GetCause(), got.GetReason(), outcome, cause)
	}
}

func wantStarts(t *testing.T, ledger string, want int) {
	t.Helper()
	total := 0
	for task, starts := range startsInLedger(t, ledger) {
		total += starts
		if starts > 1 {
			t.Errorf("%s started %d times", task, starts)
		}
	}
	if total != want {
		t.Errorf("%d starts in the ledger, want %d", total, want)
	}
}

func TestSidecar_RestartedRefusesWorkOfItsPredecessor(t *testing.T) {
	standIn, ledger := startTarget(t, settings.StandIn{Slots: 2})
	options := settings.Sidecar{TargetURL: "http://" + standIn.Addr(), Slots: 2, Queue: 2}
	first := startSidecar(t, options)
	request := neverRepeatedRequest(first, 1, hang)
	request.HoldMs = 0
	mustRun(t, first, request)
	waitStarts(t, ledger, 1)
	first.kill()
	second := startSidecar(t, options)
	wantTask(t, mustRun(t, second, request), rpc.Outcome_OUTCOME_UNKNOWN, rpc.Cause_CAUSE_INCARNATION)
	seal, err := second.client.Seal(t.Context(), &rpc.SealRequest{
		JobId: testJob, Epoch: 2, Indexes: []uint32{0}, All: true, Incarnation: request.GetIncarnation(),
	})
	if err != nil || seal.GetOutcomes()[0].GetOutcome() != rpc.Outcome_OUTCOME_UNKNOWN || !seal.GetLost() {
		t.Errorf("seal %v %v", seal, err)
	}
	wantStarts(t, ledger, 1)
}

func TestSidecar_TargetDiesInMidTask(t *testing.T) {
	standIn, ledger := startTarget(t, settings.StandIn{Slots: 2})
	b := startSidecar(t, settings.Sidecar{TargetURL: "http://" + standIn.Addr(), Slots: 2, Queue: 2})
	charge := runAsync(t, b, neverRepeatedRequest(b, 1, hang))
	check := repeatableRequest(b, 1, hang)
	check.JobId = nextJob(testJob)
	checked := runAsync(t, b, check)
	waitStarts(t, ledger, 2)
	address := standIn.Addr()
	stopTarget(standIn)
	wantTask(t, <-charge, rpc.Outcome_OUTCOME_UNKNOWN, rpc.Cause_CAUSE_TARGET)
	wantTask(t, <-checked, rpc.Outcome_OUTCOME_FAILED, rpc.Cause_CAUSE_TARGET)

	late := neverRepeatedRequest(b, 1, quick)
	late.JobId = nextJob(check.GetJobId())
	refused := mustRun(t, b, late)
	wantTask(t, refused, rpc.Outcome_OUTCOME_NOT_RUN, rpc.Cause_CAUSE_TARGET)
	if load := mustRun(t, b, late).GetLoad(); load.GetBusy() != load.GetSlots() || b.Ready() == nil {
		t.Errorf("a sidecar whose target is unreachable reports free slots or is ready: %v", load)
	}
	startTarget(t, settings.StandIn{Slots: 2, Listen: address})
	for {
		late.Tasks[0].Attempt++
		if count(mustRun(t, b, late).GetOutcomes(), rpc.Outcome_OUTCOME_DONE) == 1 {
			return
		}
	}
}

func TestSidecar_SilentConnectionDelaysOneTask(t *testing.T) {
	b, relay, ledger := startThroughRelay(t, 1)
	request := repeatableRequest(b, 1, quick)
	wantTask(t, mustRun(t, b, request), rpc.Outcome_OUTCOME_DONE, rpc.Cause_CAUSE_UNSPECIFIED)
	relay.Silence()
	request.JobId = nextJob(request.GetJobId())
	request.DeadlineMs = 100
	wantTask(t, mustRun(t, b, request), rpc.Outcome_OUTCOME_FAILED, rpc.Cause_CAUSE_DEADLINE)
	request.JobId = nextJob(request.GetJobId())
	request.DeadlineMs = 10_000
	wantTask(t, mustRun(t, b, request), rpc.Outcome_OUTCOME_DONE, rpc.Cause_CAUSE_UNSPECIFIED)
	wantStarts(t, ledger, 2)
}

func TestSidecar_LostAnswerOfTheTargetIsUnknown(t *testing.T) {
	b, relay, ledger := startThroughRelay(t, 1)
	charge := runAsync(t, b, neverRepeatedRequest(b, 1, hang))
	waitStarts(t, ledger, 1)
	relay.Cut()
	wantTask(t, <-charge, rpc.Outcome_OUTCOME_UNKNOWN, rpc.Cause_CAUSE_TARGET)
	again := neverRepeatedRequest(b, 1, quick)
	again.Tasks[0].Attempt = 2
	wantTask(t, mustRun(t, b, again), rpc.Outcome_OUTCOME_UNKNOWN, rpc.Cause_CAUSE_TARGET)
	wantStarts(t, ledger, 1)
}

// entryThroughRelay returns a client whose connections to the sidecar go through a relay.
func entryThroughRelay(t *testing.T, b *testbed) (rpc.Sidecar, *http.Transport, *relaytest.Relay) {
	t.Helper()
	relay := startRelay(t, b.server.Listener.Addr().String())
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return rpc.NewSidecarProtobufClient("http://"+relay.Addr(), &http.Client{Transport: transport}), transport, relay
}

func TestSidecar_RepeatedRunOnAFreshConnectionFindsTheOutcome(t *testing.T) {
	b, _, ledger := startThroughRelay(t, 1)
	entry, transport, relay := entryThroughRelay(t, b)
	request := neverRepeatedRequest(b, 1, `{"run_ms":30}`)
	go func() { _, _ = entry.Run(t.Context(), request) }()
	waitStarts(t, ledger, 1)
	relay.SilenceAnswers()
	transport.CloseIdleConnections()
	response, err := entry.Run(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	wantTask(t, response, rpc.Outcome_OUTCOME_DONE, rpc.Cause_CAUSE_UNSPECIFIED)
	status, err := b.client.Status(t.Context(), &rpc.StatusRequest{JobId: testJob, Indexes: []uint32{0, 7}})
	if err != nil || status.GetOutcomes()[0].GetOutcome() != rpc.Outcome_OUTCOME_DONE ||
		status.GetOutcomes()[1].GetOutcome() != rpc.Outcome_OUTCOME_UNSPECIFIED {
		t.Errorf("status %v %v", status, err)
	}
	wantStarts(t, ledger, 1)
}

func TestSidecar_CancelWaveFreesTheQueueWithOneMessage(t *testing.T) {
	b, _, ledger := startThroughRelay(t, 1)
	running := runAsync(t, b, repeatableRequest(b, 4, hang))
	waitStarts(t, ledger, 1)
	never := neverRepeatedRequest(b, 2, quick)
	never.JobId = nextJob(testJob)
	queued := runAsync(t, b, never)
	for b.snapshot.queued.Load() < 5 {
		runtime.Gosched()
	}
	answer, err := b.client.Cancel(t.Context(), &rpc.CancelRequest{Jobs: []*rpc.CancelledJob{
		{JobId: testJob, All: true}, {JobId: never.GetJobId(), Indexes: []uint32{0, 1}},
	}})
	if err != nil || answer.GetFreed() != 5 || answer.GetStopping() != 1 {
		t.Errorf("cancel %v %v", answer, err)
	}
	<-running
	if got := <-queued; count(got.GetOutcomes(), rpc.Outcome_OUTCOME_CANCELLED) == 0 {
		t.Errorf("queued tasks %v", got.GetOutcomes())
	}
	wantTask(t, mustRun(t, b, never), rpc.Outcome_OUTCOME_CANCELLED, rpc.Cause_CAUSE_CANCELLED)
	wantStarts(t, ledger, 1)
}

func TestSidecar_TargetAnswersOddly(t *testing.T) {
	followed := false
	answers := map[string]http.HandlerFunc{
		"done with another status": func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusCreated) },
		"redirect": func(out http.ResponseWriter, in *http.Request) {
			followed = followed || in.URL.Path == "/elsewhere"
			http.Redirect(out, in, "/elsewhere", http.StatusTemporaryRedirect)
		},
		"full": func(out http.ResponseWriter, _ *http.Request) {
			out.Header().Set(headerNotStarted, "true")
			out.WriteHeader(http.StatusServiceUnavailable)
		},
		"unavailable": func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusServiceUnavailable) },
		"too large": func(out http.ResponseWriter, _ *http.Request) {
			_, _ = out.Write(make([]byte, maxResultBytes+1))
		},
	}
	want := map[string]rpc.Outcome{
		"done with another status": rpc.Outcome_OUTCOME_DONE, "redirect": rpc.Outcome_OUTCOME_FAILED,
		"full": rpc.Outcome_OUTCOME_NOT_RUN, "unavailable": rpc.Outcome_OUTCOME_FAILED,
		"too large": rpc.Outcome_OUTCOME_FAILED,
	}
	for name, handler := range answers {
		t.Run(name, func(t *testing.T) {
			b := startSidecar(t, settings.Sidecar{TargetURL: serve(t, handler), Slots: 1, Queue: 1})
			got := mustRun(t, b, neverRepeatedRequest(b, 1, quick)).GetOutcomes()[0]
			if got.GetOutcome() != want[name] || followed {
				t.Errorf("got %s %q, followed %v", got.GetOutcome(), got.GetReason(), followed)
			}
		})
	}
}
