package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
)

// FuzzDecodeSubmission checks that any body is either refused with a typed fault that names a remedy, or accepted
// within all limits, and that white space between JSON values does not change the digest or the id.
func FuzzDecodeSubmission(f *testing.F) {
	f.Add([]byte(body("check", "k", 2)))
	f.Add([]byte(`{"owner":"team/a","entry":"commit","key":"k","deadline_ms":5,"tasks":[{"payload":[1, {"a":" "}],"expected_run_ms":7}]}`))
	f.Add([]byte(`{"owner":"team/a","entry":"check","key":"k","tasks":[{}]}`))
	f.Add([]byte(`{"owner":"team/a","entry":"check","key":"k","tasks":[{"payload":null}]}`))
	f.Add([]byte(`{"tasks":[{"payload":"\ud800"}]}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"deadline_ms":-1e9}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := decodeSubmission(text)
		if err != nil {
			checkFault(t, err)
			return
		}
		a, err := s.accept(testCatalogue, 1)
		if err != nil {
			checkFault(t, err)
			return
		}
		if len(a.taskSpecs()) != len(a.Tasks) || len(a.Tasks) > catalogue.MaxTasksPerJob || a.deadline <= 0 {
			t.Fatalf("accepted %+v", a)
		}
		var spaced bytes.Buffer
		if err := json.Indent(&spaced, text, "", "  "); err != nil {
			t.Fatal(err)
		}
		again, err := decodeSubmission(spaced.Bytes())
		if err != nil {
			t.Fatalf("the body with white space was refused: %v", err)
		}
		b, err := again.accept(testCatalogue, 1)
		if err != nil || a.digest != b.digest || a.id != b.id {
			t.Fatalf("white space changed the digest or the id: %v", err)
		}
	})
}

func checkFault(t *testing.T, err error) {
	t.Helper()
	var refusal *fault.Error
	if !errors.As(err, &refusal) || refusal.Remedy == "" || statuses[refusal.Kind] == 0 {
		t.Fatalf("fault is %v", err)
	}
}
