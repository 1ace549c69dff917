package health

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(0, 0)

// runTasks observes one task of the entry on each target in each round and returns the changes.
func runTasks(d *OutlierDetector, targets, rounds int, entry string, fails func(target int) bool) []Change {
	var changes []Change
	for range rounds {
		for i := range targets {
			if change, changed := d.Observe(start, "pool", fmt.Sprint("t", i), entry, fails(i)); changed {
				changes = append(changes, change)
			}
		}
	}
	return changes
}

func TestOutlierDetector_EjectsTargetThatFailsEverything(t *testing.T) {
	d := NewOutlierDetector()
	changes := runTasks(d, 12, 10, "e", func(i int) bool { return i == 3 })
	if len(changes) != 1 || changes[0] != (Change{"t3", Ejected}) {
		t.Fatalf("changes are %v", changes)
	}
}

func TestOutlierDetector_EntryThatFailsEverywhereEjectsNoTarget(t *testing.T) {
	d := NewOutlierDetector()
	runTasks(d, 12, 10, "passing", func(int) bool { return false })
	if changes := runTasks(d, 12, 50, "failing", func(int) bool { return true }); len(changes) > 0 {
		t.Fatalf("changes are %v", changes)
	}
}

func TestOutlierDetector_LimitsEjectedTargets(t *testing.T) {
	d := NewOutlierDetector()
	changes := runTasks(d, 12, 50, "e", func(i int) bool { return i < 5 })
	if len(changes) != 3 {
		t.Fatalf("ejected %d of 12 targets, want 3", len(changes))
	}
	single := NewOutlierDetector()
	if changes := runTasks(single, 1, 50, "e", func(int) bool { return true }); len(changes) > 0 {
		t.Fatal("the only target was ejected")
	}
}

func TestOutlierDetector_ProbationReinstatesOrEjectsForLonger(t *testing.T) {
	d := NewOutlierDetector()
	runTasks(d, 4, 10, "e", func(i int) bool { return i == 0 })
	if len(d.Advance(start.Add(firstEjection-1))) > 0 {
		t.Fatal("on probation before the ejection ended")
	}
	now := start.Add(firstEjection)
	if changes := d.Advance(now); len(changes) != 1 || changes[0] != (Change{"t0", Probation}) {
		t.Fatalf("changes are %v", changes)
	}
	if change, _ := d.Observe(now, "pool", "t0", "e", true); change.State != Ejected {
		t.Fatal("a failure on probation did not eject the target again")
	}
	if len(d.Advance(now.Add(2*firstEjection-1))) > 0 {
		t.Fatal("the second ejection was shorter than twice the first")
	}
	d.Advance(now.Add(2 * firstEjection))
	for i := range probationSuccesses {
		change, changed := d.Observe(now, "pool", "t0", "e", false)
		if changed != (i == probationSuccesses-1) || (changed && change.State != Healthy) {
			t.Fatalf("success %d: %v %v", i, change, changed)
		}
	}
}
