package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"flamingohall.example/node/settings"
)

func startTarget(t *testing.T, options settings.StandIn) *Target {
	t.Helper()
	options.Listen = "127.0.0.1:0"
	target, err := New(options, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := target.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = target.Stop(cancelled)
	})
	return target
}

func post(t *testing.T, target *Target, path, body string) (int, string, http.Header) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+target.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(HeaderAttempt, "3")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text), response.Header
}

func TestTarget_RunsAndKeepsLedger(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	target := startTarget(t, settings.StandIn{ID: "a", Slots: 1, Ledger: path})
	status, text, _ := post(t, target, TaskPath+"j-0", `{"run_ms":0,"echo":[1]}`)
	var result Result
	if err := json.Unmarshal([]byte(text), &result); err != nil || status != http.StatusOK {
		t.Fatal(status, text, err)
	}
	if string(result.Echo) != "[1]" || result.Target != "a" || result.Start != 1 {
		t.Fatalf("result %+v", result)
	}
	var line LedgerLine
	ledger, err := os.ReadFile(path)
	if err != nil || json.Unmarshal(ledger, &line) != nil {
		t.Fatal(err, string(ledger))
	}
	if line.Task != "j-0" || line.Attempt != 3 || line.UnixUS == 0 {
		t.Fatalf("ledger %+v", line)
	}
}

func TestTarget_FailsAsRequested(t *testing.T) {
	target := startTarget(t, settings.StandIn{Slots: 1, FailEvery: 1, SlowFactor: 1})
	cases := map[string]int{
		`{"fail":"task"}`: http.StatusUnprocessableEntity, `{"fail":"target"}`: http.StatusInternalServerError,
		`{}`: http.StatusInternalServerError, `{"run_ms":"long"}`: http.StatusBadRequest,
	}
	for body, want := range cases {
		if status, text, _ := post(t, target, TaskPath+"j-0", body); status != want {
			t.Errorf("%s: status %d %s, want %d", body, status, text, want)
		}
	}
	if status, text, _ := post(t, target, BehaviourPath, `{"fail_every":0,"run_ms":1}`); status != http.StatusOK {
		t.Fatal(status, text)
	}
	if status, text, _ := post(t, target, TaskPath+"j-1", `{}`); status != http.StatusOK {
		t.Fatal(status, text)
	}
	for _, bad := range []string{`{"colour":1}`, `{"slots":-1}`, `{`} {
		if status, text, _ := post(t, target, BehaviourPath, bad); status < 400 {
			t.Errorf("%s accepted: %s", bad, text)
		}
	}
}

func TestTarget_RefusesBeyondSlotsAndStopsHanging(t *testing.T) {
	target := startTarget(t, settings.StandIn{Slots: 1})
	hanging, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		request, _ := http.NewRequestWithContext(hanging, http.MethodPost, "http://"+target.Addr()+TaskPath+"j-0",
			strings.NewReader(`{"run_ms":0,"fail":"hang"}`))
		_, err := http.DefaultClient.Do(request)
		ended <- err
	}()
	for target.Counts().Running == 0 {
		runtime.Gosched()
	}
	status, _, header := post(t, target, TaskPath+"j-1", `{}`)
	if status != http.StatusServiceUnavailable || header.Get(HeaderNotStarted) != "true" {
		t.Fatal(status, header)
	}
	cancel()
	if err := <-ended; err == nil {
		t.Fatal("the hanging task ended by itself")
	}
	if counts := target.Counts(); counts.Starts != 1 || counts.Refused != 1 {
		t.Fatalf("counts %+v", counts)
	}
}
