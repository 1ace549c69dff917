package health

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(0, 0)

// work lets every target but those in without run tasks of an entry.
func work(j *OutlierDetector, targets, rounds int, entry string, fails func(target int) bool) []Change {
	var changes []Change
	for range rounds {
		for i := range targets {
			if change, changed := j.Observe(start, "pool", fmt.Sprint("t", i), entry, fails(i)); changed {
				changes = append(changes, change)
			}
		}
	}
	return changes
}

func TestJudge_EjectsWhatFailsEverything(t *testing.T) {
	j := NewOutlierDetector()
	changes := work(j, 12, 10, "e", func(i int) bool { return i == 3 })
	if len(changes) != 1 || changes[0] != (Change{"t3", Ejected}) {
		t.Fatalf("changes are %v", changes)
	}
}

func TestJudge_HopelessJobsCondemnNobody(t *testing.T) {
	j := NewOutlierDetector()
	work(j, 12, 10, "good", func(int) bool { return false })
	if changes := work(j, 12, 50, "hopeless", func(int) bool { return true }); len(changes) > 0 {
		t.Fatalf("changes are %v", changes)
	}
}

func TestJudge_CapsWhatIsSetAside(t *testing.T) {
	j := NewOutlierDetector()
	changes := work(j, 12, 50, "e", func(i int) bool { return i < 5 })
	if len(changes) != 3 {
		t.Fatalf("set %d of 12 aside", len(changes))
	}
	alone := NewOutlierDetector()
	if changes := work(alone, 1, 50, "e", func(int) bool { return true }); len(changes) > 0 {
		t.Fatal("the only target was set aside")
	}
}

func TestJudge_TrialBringsBackOrSetsAsideForLonger(t *testing.T) {
	j := NewOutlierDetector()
	work(j, 4, 10, "e", func(i int) bool { return i == 0 })
	if len(j.Advance(start.Add(firstEjection-1))) > 0 {
		t.Fatal("tried too early")
	}
	now := start.Add(firstEjection)
	if changes := j.Advance(now); len(changes) != 1 || changes[0] != (Change{"t0", Probation}) {
		t.Fatalf("changes are %v", changes)
	}
	if change, _ := j.Observe(now, "pool", "t0", "e", true); change.State != Ejected {
		t.Fatal("a failed trial sets aside again")
	}
	if len(j.Advance(now.Add(2*firstEjection-1))) > 0 {
		t.Fatal("the second time is twice as long")
	}
	j.Advance(now.Add(2 * firstEjection))
	for i := range trialSuccesses {
		change, changed := j.Observe(now, "pool", "t0", "e", false)
		if changed != (i == trialSuccesses-1) || (changed && change.State != Healthy) {
			t.Fatalf("success %d: %v %v", i, change, changed)
		}
	}
}
