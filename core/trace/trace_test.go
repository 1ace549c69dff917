package trace

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

type started struct{ Number int }

type stopped struct{ Reason string }

func recorded(t *testing.T) string {
	t.Helper()
	var out bytes.Buffer
	w, err := NewWriter(&out, NewCodec(started{}, stopped{}), "sample", started{Number: 7})
	if err != nil {
		t.Fatal(err)
	}
	w.Step(time.Second, started{Number: 1}, []any{stopped{Reason: "done"}})
	w.Step(2*time.Second, started{Number: 2}, nil)
	if w.Err() != nil {
		t.Fatal(w.Err())
	}
	return out.String()
}

func read(text string) ([]Step, error) {
	var options started
	return Read(strings.NewReader(text), NewCodec(started{}, stopped{}), "sample", &options)
}

func TestRead_ReturnsWhatWasWritten(t *testing.T) {
	steps, err := read(recorded(t))
	if err != nil || len(steps) != 2 {
		t.Fatalf("%d steps, %v", len(steps), err)
	}
	if steps[0].At != time.Second || steps[0].Event != (started{Number: 1}) || steps[0].Effects[0] != (stopped{"done"}) {
		t.Fatalf("first step %+v", steps[0])
	}
}

func TestRead_IgnoresATruncatedLastLine(t *testing.T) {
	whole := recorded(t)
	steps, err := read(whole[:len(whole)-5])
	if err != nil || len(steps) != 1 {
		t.Fatalf("%d steps, %v", len(steps), err)
	}
}

func TestRead_RejectsInvalidRecordings(t *testing.T) {
	whole := recorded(t)
	for name, text := range map[string]string{
		"empty":           "",
		"other aggregate": strings.Replace(whole, "sample", "other", 1),
		"broken middle":   strings.Replace(whole, `{"at_ns":1000000000`, `{"at_ns":`, 1),
		"unknown type":    strings.Replace(whole, `"stopped"`, `"unknown"`, 1),
	} {
		if _, err := read(text); err == nil {
			t.Errorf("%s: read without error", name)
		}
	}
}
