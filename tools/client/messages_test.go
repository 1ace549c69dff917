package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

const varsPage = `{"memstats": {"Sys": 5}, "flamingohall": {
	"entry": {"e": {"runs_sent": 6, "tasks_started": 10, "wasted_status": 3, "wasted_cancel": 2, "control_bytes": 7}},
	"sidecar": {
		"a": {"tasks_started": 4, "wasted_duplicate": 1, "wasted_status": 1, "wasted_cancel": 1, "control_bytes": 1, "ok": true},
		"b": {"tasks_started": 6, "wasted_refusal": 5}}}}`

// Sender and receiver both count a message, but the sum must count it once.
func TestMessagesOf_CountsEachMessageOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(varsPage))
	}))
	defer server.Close()
	processes, err := NewProcesses([]string{server.URL}).Read(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	got := MessagesOf(processes)
	want := Messages{
		TasksStarted: 10, RunsSent: 6, ControlBytes: 8, Wasted: Wasted{Refusal: 5, Status: 3, Cancel: 2},
	}
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if got.WastedPerTask() != 1 || got.Since(got) != (Messages{}) {
		t.Fatalf("per task %g, since itself %+v", got.WastedPerTask(), got.Since(got))
	}
}
