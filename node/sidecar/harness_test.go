package sidecar

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"

	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
	"flamingohall.example/node/standin"
)

const testJob = "000102030405060708090a0b0c0d0e0f"

// fakeControl is a membership in which this node is registered.
type fakeControl struct {
	view      atomic.Pointer[controlclient.View]
	changes   atomic.Pointer[chan struct{}]
	announced atomic.Int64
	goodbyes  atomic.Int64
}

func newFakeControl() *fakeControl {
	fake := &fakeControl{}
	changed := make(chan struct{})
	fake.changes.Store(&changed)
	fake.view.Store(&controlclient.View{Index: 1})
	return fake
}

func (f *fakeControl) Start(context.Context)         {}
func (f *fakeControl) Ready() error                  { return nil }
func (f *fakeControl) View() *controlclient.View     { return f.view.Load() }
func (f *fakeControl) Changed() <-chan struct{}      { return *f.changes.Load() }
func (f *fakeControl) Announce()                     { f.announced.Add(1) }
func (f *fakeControl) Goodbye(context.Context) error { f.goodbyes.Add(1); return nil }

func (f *fakeControl) drain(drained bool) {
	f.view.Store(&controlclient.View{Index: 2, Drained: drained})
	next := make(chan struct{})
	close(*f.changes.Swap(&next))
}

// testbed is a sidecar with its server, a fake control and a client.
type testbed struct {
	*Sidecar
	control *fakeControl
	client  rpc.Sidecar
	server  *httptest.Server
}

func startSidecar(t testing.TB, options settings.Sidecar) *testbed {
	t.Helper()
	if options.OutcomeMemoryMB == 0 {
		options.OutcomeMemoryMB = 8
	}
	options.Target = rand.Text()
	file := &settings.File{Node: settings.Node{ID: options.Target, DataCentre: "celje-a"}, Sidecar: &options}
	sidecar, err := newSidecar(file, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	control := newFakeControl()
	sidecar.follower = control
	mux := http.NewServeMux()
	sidecar.Register(mux)
	server := httptest.NewServer(mux)
	if err := sidecar.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	b := &testbed{
		Sidecar: sidecar, control: control, server: server,
		client: rpc.NewSidecarProtobufClient(server.URL, &http.Client{Transport: transport}),
	}
	t.Cleanup(func() {
		b.kill()
		transport.CloseIdleConnections()
	})
	return b
}

// kill ends a sidecar as a crash would: its connections break and its state is lost.
func (b *testbed) kill() {
	b.server.CloseClientConnections()
	b.cancel()
	b.goroutines.Wait()
	b.server.Close()
}

func startTarget(t testing.TB, options settings.StandIn) (target *standin.Target, ledger string) {
	t.Helper()
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	if options.Ledger == "" {
		options.Ledger = filepath.Join(t.TempDir(), "ledger")
	}
	options.SlowFactor = max(options.SlowFactor, 1)
	target, err := standin.New(options, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := target.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stopTarget(target) })
	return target, options.Ledger
}

// stopTarget closes a target's connections at once, as a crash would.
func stopTarget(target *standin.Target) {
	over, cancel := context.WithCancel(context.Background())
	cancel()
	_ = target.Stop(over)
}

// startsInLedger counts the starts of each task.
func startsInLedger(t testing.TB, path string) map[string]int {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	starts := map[string]int{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line standin.LedgerLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		starts[line.Task]++
	}
	return starts
}

// neverRepeatedRequest returns a request for never-repeated tasks 0 to n-1 at their first attempt.
func neverRepeatedRequest(b *testbed, n int, payload string) *rpc.RunRequest {
	request := &rpc.RunRequest{
		EntryId: "entry-1", Incarnation: b.incarnation, JobId: testJob, Epoch: 1, CatalogueEntry: "levy/charge",
		DeadlineMs: 10_000, HoldMs: 10_000,
	}
	for i := range n {
		request.Tasks = append(request.Tasks, &rpc.TaskSpec{Index: uint32(i), Attempt: 1, Payload: []byte(payload)})
	}
	return request
}

// repeatableRequest returns a request for repeatable tasks 0 to n-1 at their first attempt.
func repeatableRequest(b *testbed, n int, payload string) *rpc.RunRequest {
	request := neverRepeatedRequest(b, n, payload)
	request.Epoch = 0
	request.Repeatable = true
	return request
}

func mustRun(t testing.TB, b *testbed, request *rpc.RunRequest) *rpc.RunResponse {
	t.Helper()
	response, err := b.client.Run(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// count returns the number of outcomes of one kind.
func count(outcomes []*rpc.TaskOutcome, kind rpc.Outcome) int {
	n := 0
	for _, outcome := range outcomes {
		if outcome.GetOutcome() == kind {
			n++
		}
	}
	return n
}
