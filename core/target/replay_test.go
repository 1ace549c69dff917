package target

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"

	"flamingohall.example/core/trace"
)

// stated is what a trace's outcomes file holds, written by hand from the run that made the trace.
type stated struct {
	// Starts is the number of starts over all tasks, Doubled of tasks started twice.
	Starts  int `json:"starts"`
	Doubled int `json:"doubled"`
	// Outcomes counts the tasks by the last outcome that an answer carried.
	Outcomes map[string]int `json:"outcomes"`
}

var outcomeNames = map[Outcome]string{
	Queued: "queued", Running: "running", Done: "done", Failed: "failed", NotRun: "not_run", Cancelled: "cancelled",
	Unknown: "unknown", Unseen: "unseen",
}

func TestReplay_RecordedTracesGiveStatedOutcomes(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { replay(t, path) })
	}
}

func replay(t *testing.T, path string) {
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var options Options
	steps, err := trace.Read(file, TraceCodec(), RecordingName, &options)
	if err != nil {
		t.Fatal(err)
	}
	replayed := New(options)
	got := newTally()
	for number, step := range steps {
		effects := replayed.Step(step.At, step.Event.(Event))
		requireSame(t, number, step, effects)
		got.count(effects)
	}
	want := readStated(t, path)
	if !reflect.DeepEqual(got.stated(), want) {
		t.Errorf("outcomes %+v, stated %+v", got.stated(), want)
	}
}

// requireSame compares effects through their encoding, as the trace holds them.
func requireSame(t *testing.T, number int, step trace.Step, effects []Effect) {
	t.Helper()
	if len(effects) != len(step.Effects) {
		t.Fatalf("step %d (%T): %d effects, recorded %d", number, step.Event, len(effects), len(step.Effects))
	}
	for i := range effects {
		got, _ := json.Marshal(effects[i])
		want, _ := json.Marshal(step.Effects[i])
		if string(got) != string(want) {
			t.Fatalf("step %d (%T) effect %d: %s, recorded %s", number, step.Event, i, got, want)
		}
	}
}

func readStated(t *testing.T, path string) stated {
	t.Helper()
	text, err := os.ReadFile(path + ".outcomes")
	if err != nil {
		t.Fatal(err)
	}
	var want stated
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	return want
}

// tally counts starts and last outcomes. Waiters name the job of an answer, so it is keyed by waiter and index.
type tally struct {
	starts   map[string]int
	waiters  map[uint64]bool
	outcomes map[string]Outcome
}

func newTally() *tally {
	return &tally{starts: map[string]int{}, waiters: map[uint64]bool{}, outcomes: map[string]Outcome{}}
}

func (c *tally) count(effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Start:
			c.starts[effect.Job.String()+"-"+strconv.Itoa(int(effect.Index))]++
		case Answer:
			for _, outcome := range effect.Outcomes {
				key := strconv.Itoa(int(effect.Waiter)) + "-" + strconv.Itoa(int(outcome.Index))
				c.outcomes[key] = outcome.Outcome
			}
		}
	}
}

func (c *tally) stated() stated {
	result := stated{Outcomes: map[string]int{}}
	for _, count := range c.starts {
		result.Starts += count
		if count > 1 {
			result.Doubled++
		}
	}
	for _, outcome := range c.outcomes {
		result.Outcomes[outcomeNames[outcome]]++
	}
	return result
}
