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

// summary is the content of an outcomes file, which was written by hand from the run that produced the recording.
type summary struct {
	// Starts counts the starts of all tasks, StartedAgain the tasks that were started more than once.
	Starts       int `json:"starts"`
	StartedAgain int `json:"doubled"`
	// Outcomes counts the tasks by their last answered outcome.
	Outcomes map[string]int `json:"outcomes"`
}

var outcomeNames = map[Outcome]string{
	Queued: "queued", Running: "running", Done: "done", Failed: "failed", NotRun: "not_run", Cancelled: "cancelled",
	Unknown: "unknown", Unseen: "unseen",
}

func TestReplay_RecordingsGiveTheSummarisedOutcomes(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no recordings: %v", err)
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
	want := readSummary(t, path)
	if !reflect.DeepEqual(got.summary(), want) {
		t.Errorf("summary %+v, want %+v", got.summary(), want)
	}
}

// requireSame compares effects by their JSON encoding, which is what a recording holds.
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

func readSummary(t *testing.T, path string) summary {
	t.Helper()
	text, err := os.ReadFile(path + ".outcomes")
	if err != nil {
		t.Fatal(err)
	}
	var want summary
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	return want
}

// tally counts starts and last outcomes. An answer does not name its job, so outcomes are keyed by waiter and index.
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

func (c *tally) summary() summary {
	result := summary{Outcomes: map[string]int{}}
	for _, count := range c.starts {
		result.Starts += count
		if count > 1 {
			result.StartedAgain++
		}
	}
	for _, outcome := range c.outcomes {
		result.Outcomes[outcomeNames[outcome]]++
	}
	return result
}
