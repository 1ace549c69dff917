package explain_test

import (
	"strings"
	"testing"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/explain"
)

// Shortened log lines of an entry and of a worker's sidecar.
const (
	entryLog = `{"level":"info","event":2306,"worker":"10.3.0.14:7220","node":"10.1.0.9:7220","time":"2026-12-04T01:00:01.100Z","message":"worker ejected"}
{"level":"info","event":2306,"worker":"10.9.9.9:7220","node":"10.1.0.9:7220","time":"2026-12-04T01:00:01.150Z","message":"worker ejected"}
{"level":"info","event":2303,"task":"17c7dbb01b374361.0.0.0","run":1,"worker":"10.3.0.14:7220","outcome":"failed","node":"10.1.0.9:7220","time":"2026-12-04T01:00:01.300Z","message":"run unsuccessful"}
{"level":"info","event":2301,"request":"r-late","job":"17c7dbb01b374361","result":"completed","cause":"none","tasks":1,"offers":2,"failures":1,"waited_ms":204,"took_ms":568,"objective_ms":257,"worker":"10.2.0.36:7220","node":"10.1.0.9:7220","time":"2026-12-04T01:00:01.568Z","message":"job ended"}
{"level":"info","event":2301,"request":"r-refused","job":"3276fe021a757e32","result":"refused","cause":"overloaded","tasks":2,"offers":0,"took_ms":0,"objective_ms":248,"predicted_wait_ms":28,"worker":"","node":"10.1.0.9:7220","time":"2026-12-04T01:00:02.000Z","message":"job ended"}
{"level":"info","event":2309,"request":"r-early","path":"/q/8aaa360633933b76","status":503,"reason":"no configuration yet","node":"10.1.0.9:7220","time":"2026-12-04T01:00:00.500Z","message":"request refused"}
{"level":"warn","message":"log lines dropped","lines":3}
`
	sidecarLog = `2.1 side-3 | {"level":"info","event":3207,"state":"suspect","node":"10.3.0.14:7220","time":"2026-12-04T01:00:01.200Z","message":"worker changed"}
2.1 side-3 | {"level":"info","event":3207,"state":"ready","node":"10.3.0.14:7220","time":"2026-12-04T01:00:09.200Z","message":"worker changed"}
2.1 side-3 | {"level":"info","event":3205,"task":"17c7dbb01b374361.0.0.0","run":1,"reason":"busy","node":"10.3.0.14:7220","time":"2026-12-04T01:00:01.250Z","message":"offer refused"}
a line of something else
`
)

func read(t *testing.T, request string) *explain.Timeline {
	t.Helper()
	timeline, err := explain.Read(request, strings.NewReader(sidecarLog), strings.NewReader(entryLog))
	if err != nil {
		t.Fatal(err)
	}
	return timeline
}

func TestRead_MergesProcessesInTimeOrder(t *testing.T) {
	timeline := read(t, "r-late")
	var messages []string
	for _, entry := range timeline.Entries {
		name := entry.Message
		if entry.IsContext {
			name = "(" + name + ")"
		}
		messages = append(messages, name)
	}
	const want = "(worker ejected), (worker changed), offer refused, run unsuccessful, job ended"
	if got := strings.Join(messages, ", "); got != want {
		t.Errorf("messages %q\nwant %q", got, want)
	}
	if timeline.Skipped != 1 || timeline.Dropped != 1 {
		t.Errorf("skipped %d, dropped %d, want 1 of each", timeline.Skipped, timeline.Dropped)
	}
}

func TestRead_VerdictNamesTheCause(t *testing.T) {
	for request, want := range map[string]string{
		"r-late": "completed late: 568 ms instead of 257; its last task started after 204 ms, 1 of its tasks were offered again, " +
			"1 runs failed, the last run ended on 10.2.0.36:7220",
		"r-refused": "refused, nothing ran: overloaded; a wait of 28 ms was expected",
		"r-early":   "10.1.0.9:7220 answered 503 without creating a job: no configuration yet",
	} {
		if got := read(t, request).Verdict; got != want {
			t.Errorf("%s: verdict %q\nwant %q", request, got, want)
		}
	}
}

func TestRead_UnknownRequestIsNotFound(t *testing.T) {
	_, err := explain.Read("r-other", strings.NewReader(entryLog))
	if !fault.Is(err, fault.NotFound) {
		t.Errorf("got %v, want a fault of kind NotFound", err)
	}
}

func TestRead_TooLongLineIsMalformed(t *testing.T) {
	_, err := explain.Read("r", strings.NewReader(strings.Repeat("x", 2<<20)))
	if !fault.Is(err, fault.Malformed) {
		t.Errorf("got %v, want a fault of kind Malformed", err)
	}
}
