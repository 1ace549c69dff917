package bench

import (
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func parseShipped(t *testing.T, path string) *Scenario {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := Parse(path, text)
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

func TestParse_AcceptsShippedScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../examples/bench/*.jsonc")
	if err != nil || len(paths) < 6 {
		t.Fatalf("found %d scenarios, %v", len(paths), err)
	}
	for _, path := range paths {
		if filepath.Base(path) == "catalogue.jsonc" {
			continue
		}
		scenario := parseShipped(t, path)
		plan, err := NewPlan(scenario, "run")
		if err != nil || len(plan.Submissions) == 0 {
			t.Errorf("%s: %d submissions, %v", path, len(plan.Submissions), err)
		}
	}
}

// The documented load of the scenarios is 70% of the slots of twelve workers.
func TestNewPlan_OffersTheStatedLoad(t *testing.T) {
	for _, name := range []string{"savinja", "sialkot"} {
		scenario := parseShipped(t, "../../examples/bench/"+name+".jsonc")
		scenario.DurationMS = 300_000
		plan, err := NewPlan(scenario, "run")
		if err != nil {
			t.Fatal(err)
		}
		busy := 0.0
		for _, planned := range plan.Submissions {
			for _, task := range planned.Submission.Tasks {
				busy += float64(runMSOf(t, task.Payload))
			}
		}
		if load := busy / 300_000 / 96; math.Abs(load-0.70) > 0.02 {
			t.Errorf("%s offers %.3f of the slots, want 0.70", name, load)
		}
	}
}

func TestParse_ListsEveryProblem(t *testing.T) {
	_, err := Parse("bad", []byte(`{"name": "", "duration_ms": 0, "classes": [
		{"name": "a", "owner": "o", "entry": "e", "rate_per_second": 0, "tasks": {"kind": "fixed", "value": 1401},
		 "run_ms": {"kind": "oval"}, "fail": "often"}],
		"faults": [{"at_ms": 1, "targets": [], "behaviour": {}}]}`))
	for _, want := range []string{"name is missing", "duration_ms", "rate_per_second", "1401", "oval", "fail must", "fault 0"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v doesn't name %q", err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "a", "duration_ms": 1, "classes": []}`))
	f.Add([]byte(`{"faults": [{"behaviour": null}], "setup": null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		scenario, err := Parse("fuzz", text)
		if (scenario == nil) == (err == nil) {
			t.Fatal("want a scenario or an error")
		}
	})
}

func drawScenario(t *rapid.T) *Scenario {
	return &Scenario{
		Name: "drawn", Seed: rapid.Uint64().Draw(t, "seed"), DurationMS: rapid.IntRange(1, 3000).Draw(t, "duration"),
		Classes: []Class{{
			Name: "a", RatePerSecond: rapid.Float64Range(1, 300).Draw(t, "rate"),
			Bursts:      []Burst{{AtMS: 100, LengthMS: 500, Factor: rapid.Float64Range(0.1, 9).Draw(t, "factor")}},
			Tasks:       Distribution{Kind: Uniform, Min: 1, Max: 40},
			RunMS:       Distribution{Kind: LogNormal, Median: 50, Sigma: 2, Min: 10, Max: 900},
			CancelRatio: 0.3, CancelAfterMS: 20,
		}, {
			Name: "b", RatePerSecond: 20, Tasks: Distribution{Kind: Fixed, Value: 1},
			RunMS: Distribution{Kind: Choice, Values: []float64{5, 7}, Weights: []float64{1, 9}},
		}},
	}
}

func TestNewPlan_IsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := drawScenario(t)
		first, err := NewPlan(scenario, "run")
		if err != nil {
			t.Fatal(err)
		}
		second, _ := NewPlan(scenario, "run")
		if !reflect.DeepEqual(first, second) {
			t.Fatal("the same seed gave two plans")
		}
		keys := map[string]bool{}
		last := time.Duration(0)
		for _, planned := range first.Submissions {
			if planned.At < last || planned.At >= scenario.Duration() || keys[planned.Submission.Key] {
				t.Fatalf("submission %s at %s after %s", planned.Submission.Key, planned.At, last)
			}
			last = planned.At
			keys[planned.Submission.Key] = true
			if planned.Ideal < 5*time.Millisecond || planned.Ideal > 900*time.Millisecond {
				t.Fatalf("ideal %s", planned.Ideal)
			}
			if planned.CancelAt != 0 && planned.CancelAt != planned.At+20*time.Millisecond {
				t.Fatalf("cancel at %s for %s", planned.CancelAt, planned.At)
			}
		}
	})
}
