package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// The load pattern: a data centre is evacuated while jobs arrive. An offer to one of its workers would be refused by the sidecar
// and cost the task a round trip.
func TestEvacuation_DrainedWorkerGetsNoOffers(t *testing.T) {
	h := newHarness(t, 2)
	h.core.SetDrained("s0", true)
	h.submit("during", 4, 60*time.Millisecond)
	if len(h.offers["s0"]) != 0 || len(h.offers["s1"]) != 4 {
		t.Fatalf("offers %d and %d, want all at s1", len(h.offers["s0"]), len(h.offers["s1"]))
	}
	h.load("s0", work.Load{})
	h.submit("after a load", 4, 60*time.Millisecond)
	if len(h.offers["s0"]) != 0 {
		t.Fatal("a load report ended the drain")
	}
	h.core.SetDrained("s0", false)
	h.submit("afterwards", 8, 60*time.Millisecond)
	if len(h.offers["s0"]) == 0 {
		t.Fatal("no offers after the end of the evacuation")
	}
}

// A worker that announces itself during the evacuation, or whose session was interrupted, must not get offers between the start
// of its session and the next message from control.
func TestEvacuation_DrainHoldsForSessionsThatOpenLater(t *testing.T) {
	h := newHarness(t, 1)
	h.core.SetDrained("s0", true)
	h.core.SetDrained("late", true)
	h.core.Closed(h.now, "s0")
	for _, id := range []string{"s0", "late"} {
		h.core.Opened(h.now, id, "a")
		h.core.Attached(h.now, id, true)
		h.core.Take(h.now, id, &work.ToEntry{
			Worker: &work.Worker{Incarnation: id, Pool: "p", Capacity: work.Needs{MilliCores: 32000}},
			Load:   &work.Load{Accepts: true},
		})
	}
	if h.core.Workers() != 0 {
		t.Fatalf("%d workers accept tasks", h.core.Workers())
	}
	h.submit("j", 1, 60*time.Millisecond)
	if got := h.answers["j"]; h.total() != 0 || got.Result != dispatch.Refused || got.Cause != dispatch.NoWorkers {
		t.Fatalf("%d offers, answer %+v", h.total(), got)
	}
}

// Admission must count only the capacity that remains, or the jobs that it accepts are late.
func TestEvacuation_AdmissionCountsTheRemainingCapacity(t *testing.T) {
	h := newHarness(t, 2)
	h.load("s1", work.Load{Committed: work.Needs{MilliCores: 40000}, WaitMS: [work.SlackLevels]int64{90, 90, 90}})
	h.core.SetDrained("s0", true)
	h.submit("j", 2, 60*time.Millisecond)
	if got := h.answers["j"]; got.Result != dispatch.Refused || got.Cause != dispatch.Overloaded {
		t.Fatalf("answer %+v, want a refusal: the only idle worker is drained", got)
	}
}

func TestEvacuation_TaskRefusedByADrainedWorkerIsOfferedElsewhereAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", 1, 60*time.Millisecond)
	from, other := "s0", "s1"
	if len(h.offers[from]) == 0 {
		from, other = other, from
	}
	refused := work.Refused{RunID: h.offers[from][0].RunID, Reason: work.Unavailable}
	h.core.SetDrained(from, true)
	h.core.Take(h.now, from, &work.ToEntry{Load: &work.Load{}, Refused: []work.Refused{refused}})
	h.step(0)
	if len(h.offers[other]) != 1 {
		t.Fatalf("%d offers to the other worker in the same step", len(h.offers[other]))
	}
}

// The load pattern: the evacuation ends, and all workers of the data centre are slow for a while. They get the tasks that would
// otherwise wait, but not those for which a warm worker is free.
func TestCold_WarmWorkerWithFreeCapacityIsPreferredAndAColdOneToAWait(t *testing.T) {
	h := newHarness(t, 2)
	h.load("s0", work.Load{ColdMS: 1000})
	h.submit("fits", 8, 100*time.Millisecond)
	if len(h.offers["s0"]) != 0 {
		t.Fatalf("%d offers to the cold worker while a warm one was free", len(h.offers["s0"]))
	}
	h.load("s1", work.Load{Committed: work.Needs{MilliCores: 32000}, WaitMS: [work.SlackLevels]int64{10, 10, 10}})
	h.submit("waits", 2, 100*time.Millisecond)
	if len(h.offers["s0"]) != 2 {
		t.Fatalf("%d offers to the cold worker, want both tasks that would wait elsewhere", len(h.offers["s0"]))
	}
	h.load("s0", work.Load{ColdMS: 1000, Committed: work.Needs{MilliCores: 6200}})
	h.load("s1", work.Load{})
	h.step(1100 * time.Millisecond)
	h.submit("later", 20, 100*time.Millisecond)
	if len(h.offers["s0"]) <= 2 {
		t.Fatal("the worker gets no tasks after the time for which it was cold")
	}
}

// Run times of a cold worker must not make it look slow afterwards.
func TestCold_RunTimesOfAColdWorkerAreNotLearned(t *testing.T) {
	h := newHarness(t, 2)
	for n := range 40 {
		h.load("s0", work.Load{ColdMS: 1000})
		h.load("s1", work.Load{Committed: work.Needs{MilliCores: 32000}, WaitMS: [work.SlackLevels]int64{50, 50, 50}})
		h.submit(fmt.Sprint("j", n), 1, 20*time.Millisecond)
		if len(h.offers["s0"]) != 1 {
			t.Fatalf("%d offers to the cold worker", len(h.offers["s0"]))
		}
		id := h.offers["s0"][0].RunID
		h.offers["s0"] = nil
		h.core.Take(h.now, "s0", &work.ToEntry{Started: []work.RunID{id}})
		h.now += 10 * time.Millisecond
		h.core.Take(h.now, "s0", &work.ToEntry{Ended: []work.Ended{{RunID: id, Outcome: work.Done, RanMS: 100}}})
		h.step(0)
		h.step(3 * time.Second)
	}
	h.load("s0", work.Load{})
	h.load("s1", work.Load{Committed: work.Needs{MilliCores: 16000}})
	h.submit("k", 1, 20*time.Millisecond)
	if len(h.offers["s0"]) != 1 {
		t.Fatal("the emptier worker counts as slow because of its runs while it was cold")
	}
}
