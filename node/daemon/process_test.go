package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/settings"
)

// fakeRole records its calls in a list shared with other roles.
type fakeRole struct {
	name     string
	callLog  *callLog
	startErr error
}

// callLog lists calls to roles in their order.
type callLog struct {
	mutex sync.Mutex
	list  []string
}

func (l *callLog) add(call string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.list = append(l.list, call)
}

func (r *fakeRole) Register(*http.ServeMux) {}

func (r *fakeRole) Start(context.Context) error {
	r.callLog.add("start " + r.name)
	return r.startErr
}

func (r *fakeRole) Ready() error { return nil }

func (r *fakeRole) Stop(context.Context) error {
	r.callLog.add("stop " + r.name)
	return nil
}

func newFakeProcess(t *testing.T, roles ...*fakeRole) *process {
	t.Helper()
	file := &settings.File{Node: settings.Node{ID: "n", Listen: "127.0.0.1:0", StopGraceMS: 1000}}
	p, err := newProcess(file, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range roles {
		p.roles = append(p.roles, namedRole{name: r.name, role: r})
	}
	return p
}

func TestProcess_StopsCallersFirst(t *testing.T) {
	shared := &callLog{}
	p := newFakeProcess(t, &fakeRole{name: "control", callLog: shared}, &fakeRole{name: "entry", callLog: shared})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := p.run(ctx); err != nil {
		t.Fatal(err)
	}
	want := []string{"start control", "start entry", "stop entry", "stop control"}
	for i := range want {
		if i >= len(shared.list) || shared.list[i] != want[i] {
			t.Fatalf("order %v, want %v", shared.list, want)
		}
	}
	response := httptest.NewRecorder()
	p.serveReady(response, nil)
	if response.Code != http.StatusServiceUnavailable {
		t.Errorf("readiness after the stop: %d", response.Code)
	}
}

func TestProcess_ReturnsTheErrorOfAFailedStart(t *testing.T) {
	failing := &fakeRole{name: "entry", callLog: &callLog{}, startErr: fault.New(fault.Unavailable, "free the port", "taken")}
	err := newFakeProcess(t, failing).run(t.Context())
	if !fault.Is(err, fault.Unavailable) {
		t.Fatalf("error %v", err)
	}
}

func TestProcess_TakenPortNamesTheRemedy(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	_, err = newProcess(&settings.File{Node: settings.Node{Listen: held.Addr().String()}}, logr.Discard())
	if !fault.Is(err, fault.Unavailable) || fault.Of(err).Remedy == "" {
		t.Fatalf("error %v", err)
	}
	text := fmt.Sprintf(`{"node": {"id": "e", "data_centre": "a", "listen": "127.0.0.1:0"},
		"control_addresses": [%[1]q], "entry": {"callers_listen": %[1]q}}`, held.Addr().String())
	file, err := settings.Parse("entry", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := newProcess(file, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := p.run(t.Context()); fault.Of(err).Remedy == "" || !fault.Is(err, fault.Unavailable) {
		t.Fatalf("error %v", err)
	}
}
