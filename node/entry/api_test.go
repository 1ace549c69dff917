package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"flamingohall.example/core/job"
)

// body returns the body of a submission of n tasks.
func body(entry, key string, n int) string {
	tasks := make([]string, n)
	for i := range tasks {
		tasks[i] = fmt.Sprintf(`{"payload": {"n": %d}}`, i)
	}
	return fmt.Sprintf(`{"owner":"team/a","entry":%q,"key":%q,"tasks":[%s]}`, entry, key, strings.Join(tasks, ","))
}

func startTestEntry(t *testing.T, sidecars ...*fakeSidecar) *testEntry {
	t.Helper()
	e := newTestEntry(t, t.Name(), newFakeControl(), sidecars...)
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.server.Close() })
	for e.loop.checkReady(t) != nil {
		time.Sleep(time.Millisecond)
	}
	return e
}

// checkReady returns an error until the loop has applied a view with targets.
func (l *loop) checkReady(t *testing.T) error {
	t.Helper()
	done := make(chan int, 1)
	l.post(loopFunc{func(l *loop) { done <- l.loadTable.Targets("pool") }})
	if <-done == 0 {
		return io.EOF
	}
	return nil
}

// loopFunc is a message that runs a function in the loop.
type loopFunc struct{ run func(l *loop) }

func (m loopFunc) apply(l *loop, _ time.Time) { m.run(l) }

func post(t *testing.T, e *testEntry, path, text string) (int, http.Header, []byte) {
	t.Helper()
	response, err := http.Post("http://"+e.Addr()+path, "application/json", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return readResponse(t, response)
}

func get(t *testing.T, e *testEntry, path string) (int, http.Header, []byte) {
	t.Helper()
	response, err := http.Get("http://" + e.Addr() + path)
	if err != nil {
		t.Fatal(err)
	}
	return readResponse(t, response)
}

func readResponse(t *testing.T, response *http.Response) (int, http.Header, []byte) {
	t.Helper()
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header, text
}

func decode(t *testing.T, text []byte) answer {
	t.Helper()
	var a answer
	if err := json.Unmarshal(text, &a); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	return a
}

func checkComplete(t *testing.T, text []byte, tasks int) answer {
	t.Helper()
	a := decode(t, text)
	if a.State != stateComplete || len(a.Tasks) != tasks {
		t.Fatalf("answer is %s", text)
	}
	for i, task := range a.Tasks {
		if task.Outcome != job.Done || string(task.Result) != fmt.Sprintf(`{"n":%d}`, i) {
			t.Fatalf("task %d is %+v", i, task)
		}
	}
	return a
}

func TestSubmit_CompleteAnswer(t *testing.T) {
	for _, entry := range []string{"check", "commit"} {
		for _, n := range []int{1, 7, 300} {
			e := startTestEntry(t, newFakeSidecar("t1", time.Millisecond), newFakeSidecar("t2", time.Millisecond))
			status, _, text := post(t, e, "/v1/submissions", body(entry, "k", n))
			if status != http.StatusOK {
				t.Fatalf("%s of %d: status %d: %s", entry, n, status, text)
			}
			checkComplete(t, text, n)
			again, _, second := post(t, e, "/v1/submissions", body(entry, "k", n))
			if again != http.StatusOK || !bytes.Equal(text, second) {
				t.Fatalf("resubmission got %d: %s", again, second)
			}
			_, _, statusBody := get(t, e, "/v1/submissions/team%2Fa/k")
			if !bytes.Equal(text, statusBody) {
				t.Fatalf("status got %s", statusBody)
			}
		}
	}
}

func TestSubmit_BadInput(t *testing.T) {
	e := startTestEntry(t, newFakeSidecar("t1", time.Millisecond))
	if status, _, _ := post(t, e, "/v1/submissions", body("check", "taken", 1)); status != http.StatusOK {
		t.Fatal(status)
	}
	cases := []struct {
		name, path, text string
		status           int
	}{
		{"malformed", "", `{"owner":`, 400},
		{"unknown field", "", `{"ouner":"a"}`, 400},
		{"two objects", "", body("check", "k", 1) + "{}", 400},
		{"no key", "", `{"owner":"team/a","entry":"check","tasks":[{"payload":1}]}`, 422},
		{"no owner", "", `{"entry":"check","key":"k","tasks":[{"payload":1}]}`, 422},
		{"no tasks", "", `{"owner":"team/a","entry":"check","key":"k"}`, 422},
		{"1401 tasks", "", body("check", "k", 1401), 422},
		{"long key", "", body("check", strings.Repeat("k", 257), 1), 422},
		{"oversize", "", body("check", "k", 1) + strings.Repeat(" ", 1<<20), 413},
		{"unknown entry", "", body("chekc", "k", 1), 404},
		{"unknown owner", "", `{"owner":"x","entry":"check","key":"k","tasks":[{"payload":1}]}`, 404},
		{"another's entry", "", `{"owner":"b","entry":"check","key":"k","tasks":[{"payload":1}]}`, 422},
		{"past deadline", "", `{"owner":"team/a","entry":"check","key":"k","deadline_ms":0,"tasks":[{"payload":1}]}`, 410},
		{"far deadline", "", `{"owner":"team/a","entry":"check","key":"k","deadline_ms":9999999,"tasks":[{"payload":1}]}`, 422},
		{"negative run time", "", `{"owner":"team/a","entry":"check","key":"k","tasks":[{"expected_run_ms":-1}]}`, 422},
		{"reused key", "", body("check", "taken", 2), 409},
		{"odd wait", "?wait=maybe", body("check", "k", 1), 422},
		{"no such path", "/../elsewhere", body("check", "k", 1), 404},
		{"cancel of unknown", "/a/b/cancel", "", 404},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, header, text := post(t, e, "/v1/submissions"+c.path, c.text)
			var reported errorBody
			if err := json.Unmarshal(text, &reported); err != nil {
				t.Fatalf("%v in %s", err, text)
			}
			if status != c.status || reported.Error.Remedy == "" || reported.Error.Message == "" {
				t.Fatalf("got %d %s", status, text)
			}
			if header.Get("Content-Type") != contentJSON {
				t.Fatalf("content type %q", header.Get("Content-Type"))
			}
		})
	}
	if status, _, text := get(t, e, "/v1/submissions/team%2Fa/none"); status != http.StatusNotFound {
		t.Fatalf("status of unknown: %d %s", status, text)
	}
}
