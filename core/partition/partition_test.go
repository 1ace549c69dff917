package partition

import (
	"fmt"
	"testing"
)

// fleet returns workers of two pools on racks of 13.
func fleet(count int) []Worker {
	workers := make([]Worker, count)
	for i := range workers {
		workers[i] = Worker{ID: fmt.Sprintf("10.%d.0.%d:7740", i%6, i), Kind: fmt.Sprint("p/r", i/13)}
	}
	return workers
}

func TestChoose_SmallFleetIsUsedWhole(t *testing.T) {
	if got := Choose("e", 13, fleet(minWorkers)); len(got) != minWorkers {
		t.Errorf("%d of %d workers chosen, want all", len(got), minWorkers)
	}
	if got := Choose("e", 1, fleet(500)); len(got) != 500 {
		t.Errorf("a single entry has %d of 500 workers, want all", len(got))
	}
}

// Every worker must be in several parts, or it would be idle, and no worker in many more than others.
func TestChoose_WorkersAreSpreadOverTheEntries(t *testing.T) {
	for _, size := range []struct{ workers, entries int }{{160, 35}, {500, 40}, {500, 100}} {
		counts, sessions := map[string]int{}, 0
		for e := range size.entries {
			chosen := Choose(fmt.Sprint("entry-", e), size.entries, fleet(size.workers))
			sessions += len(chosen)
			kinds := (size.workers + 12) / 13
			if most := Size(size.workers, size.entries) + minOfKind*kinds; len(chosen) > most {
				t.Errorf("%+v: an entry has %d workers, want at most %d", size, len(chosen), most)
			}
			for id := range chosen {
				counts[id]++
			}
		}
		mean := float64(sessions) / float64(size.workers)
		// A worker of a kind with few others is in more parts, as each entry needs minOfKind of them.
		for _, w := range fleet(size.workers / 13 * 13) {
			if share := float64(counts[w.ID]) / mean; share < 0.25 || share > 2.5 {
				t.Errorf("%+v: worker %s is in %d parts, the mean is %.1f", size, w.ID, counts[w.ID], mean)
			}
		}
	}
}

func TestChoose_EachKindIsRepresented(t *testing.T) {
	workers := append(fleet(160), Worker{ID: "rare-1", Kind: "p/rare"}, Worker{ID: "rare-2", Kind: "p/rare"})
	for e := range 35 {
		if chosen := Choose(fmt.Sprint("entry-", e), 35, workers); !chosen["rare-1"] || !chosen["rare-2"] {
			t.Fatalf("entry %d lacks a worker of a kind with two workers", e)
		}
	}
}

func TestChoose_OneWorkerMoreChangesLittle(t *testing.T) {
	before, after := Choose("e", 35, fleet(160)), Choose("e", 35, fleet(161))
	changed := 0
	for id := range before {
		if !after[id] {
			changed++
		}
	}
	if changed > 2 {
		t.Errorf("%d workers left the part when one joined the fleet", changed)
	}
}

func TestSurplus_KeepsBusySessionsAndSmallSurpluses(t *testing.T) {
	chosen, busy := map[string]bool{"a": true, "b": true, "c": true, "d": true}, map[string]bool{"x": true}
	if got := Surplus([]string{"a", "b", "c", "d", "y"}, chosen, busy); len(got) != 0 {
		t.Errorf("closed %v, want none for one session more than chosen", got)
	}
	if got := Surplus([]string{"a", "b", "c", "d", "x", "y"}, chosen, busy); len(got) != 1 || got[0] != "y" {
		t.Errorf("closed %v, want y", got)
	}
}
