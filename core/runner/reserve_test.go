package runner_test

import (
	"slices"
	"testing"
	"time"

	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// offerLarge offers a task that needs the whole worker, as one of a pool with or without reservations.
func (h *harness) offerLarge(from runner.Session, task string, mayReserve bool) {
	h.offerFrom(from, work.Offer{
		RunID: work.RunID{Task: task, Run: 1}, Needs: work.Needs{MilliCores: 8000}, ExpectedMS: 100, MayReserve: mayReserve,
	})
}

// offerSmall offers a task of an eighth of the worker.
func (h *harness) offerSmall(task string, expectedMS int64, mayReserve bool) {
	h.offerFrom(session, work.Offer{
		RunID: work.RunID{Task: task, Run: 1}, Needs: work.Needs{MilliCores: 1000}, ExpectedMS: expectedMS, SlackMS: 200,
		MayReserve: mayReserve,
	})
}

func (h *harness) offerFrom(from runner.Session, offer work.Offer) {
	offer.StartWithinMS = max(offer.StartWithinMS, 5000)
	h.core.Take(h.now, from, &work.ToSidecar{Offers: []work.Offer{offer}})
	h.step(0)
}

func (h *harness) noteKinds() (kinds []runner.NoteKind) {
	for i := range h.notes {
		kinds = append(kinds, h.notes[i].Kind)
	}
	return kinds
}

func (h *harness) expectNotes(want ...runner.NoteKind) {
	h.t.Helper()
	if got := h.noteKinds(); !slices.Equal(got, want) {
		h.t.Errorf("notes %v, want %v", got, want)
	}
}

// newReserving returns a worker with a run of 6 of its 8 cores that is expected to end in 200 ms.
func newReserving(t *testing.T) (*harness, work.RunID) {
	h := newHarness(t)
	first := h.run("first.0.0.0", 6000)
	h.notes, h.waits = nil, nil
	return h, first
}

// TestReservations_WithoutTheSwitchSmallTasksGoFirst guards the decisions of pools without reservations.
func TestReservations_WithoutTheSwitchSmallTasksGoFirst(t *testing.T) {
	h, _ := newReserving(t)
	h.offerLarge(session, "large.0.0.0", false)
	h.offerSmall("small.0.0.0", 1000, false)
	if !h.hasStarted("small.0.0.0") || len(h.notes) > 0 || h.idle > 0 {
		t.Errorf("starts %+v, notes %v; want the small task started", h.starts, h.noteKinds())
	}
}

func TestReservations_LargeTaskStartsOnceTheRunsEnd(t *testing.T) {
	h, first := newReserving(t)
	h.offerLarge(session, "large.0.0.0", true)
	h.offerSmall("long.0.0.0", 1000, true)
	h.offerSmall("short.0.0.0", 100, true)
	if h.hasStarted("long.0.0.0") || !h.hasStarted("short.0.0.0") {
		t.Fatalf("starts %+v, want the short task and not the long one", h.starts)
	}
	h.core.Started(h.now, "w@1", work.RunID{Task: "short.0.0.0", Run: 1}, runner.Accepted, h.reading())
	h.step(20 * time.Millisecond)
	h.step(80 * time.Millisecond)
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{
		{RunID: first, Number: 1, Outcome: work.Done}, {RunID: work.RunID{Task: "short.0.0.0", Run: 1}, Number: 2, Outcome: work.Done},
	}})
	if !h.hasStarted("large.0.0.0") || h.hasStarted("long.0.0.0") {
		t.Fatalf("starts %+v, want the large task and not the long one", h.starts)
	}
	h.expectNotes(runner.ReservationMade, runner.ReservationKept)
	if h.idle != 100*time.Millisecond {
		t.Errorf("capacity was idle for the reservation for %v, want 100ms", h.idle)
	}
	want := []runner.QueueWait{{Share: 0.125, IsBackfill: true}, {Share: 1, Waited: 100 * time.Millisecond}}
	if !slices.Equal(h.waits, want) {
		t.Errorf("waits %+v, want %+v", h.waits, want)
	}
}

// TestReservations_WaitsAgreeWithThePlan covers entries that are told a wait without the reservation: their tasks would be
// accepted here and expire.
func TestReservations_WaitsAgreeWithThePlan(t *testing.T) {
	h, _ := newReserving(t)
	h.offerLarge(session, "large.0.0.0", true)
	h.step(20 * time.Millisecond)
	// The large task starts in 180 ms and ends 100 ms later. Tasks of the mean share (0.78) and run time don't fit before.
	for level, wait := range h.frame.Load.WaitMS {
		if wait != 280 {
			t.Errorf("wait of level %d is %d ms, want 280", level, wait)
		}
	}
	for _, c := range []struct {
		task                      string
		expectedMS, startWithinMS int64
		isRefused                 bool
	}{{"long.0.0.0", 1000, 279, true}, {"patient.0.0.0", 1000, 280, false}, {"short.0.0.0", 180, 1, false}} {
		h.frame.Refused = nil
		h.core.Take(h.now, session, &work.ToSidecar{Offers: []work.Offer{{
			RunID: work.RunID{Task: c.task, Run: 1}, Needs: work.Needs{MilliCores: 1000}, ExpectedMS: c.expectedMS,
			StartWithinMS: c.startWithinMS, SlackMS: 200, MayReserve: true,
		}}})
		h.step(0)
		if isRefused := len(h.frame.Refused) > 0; isRefused != c.isRefused {
			t.Errorf("task %s: refused %v, want %v", c.task, isRefused, c.isRefused)
		}
	}
}

// TestReservations_EndWithTheirTask covers an entry that ends, and a cancelled job: the capacity must not stay idle.
func TestReservations_EndWithTheirTask(t *testing.T) {
	const other runner.Session = 2
	for name, end := range map[string]func(h *harness){
		"entry ended": func(h *harness) { h.core.Closed(h.now, other) },
		"cancelled": func(h *harness) {
			h.core.Take(h.now, session, &work.ToSidecar{CancelledJobs: []string{"large"}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newReserving(t)
			h.core.Open(h.now, other, work.Hello{Entry: "other"})
			h.step(0)
			h.core.Take(h.now, other, &work.ToSidecar{Echo: h.frame.Probe})
			h.offerLarge(other, "large.0.0.0", true)
			h.offerSmall("small.0.0.0", 1000, true)
			if h.hasStarted("small.0.0.0") {
				t.Fatal("the small task was started before the large one")
			}
			end(h)
			h.step(0)
			if !h.hasStarted("small.0.0.0") {
				t.Error("the small task was not started")
			}
			h.expectNotes(runner.ReservationMade, runner.OfferRefused, runner.ReservationGivenUp)
		})
	}
}

// TestReservations_WorkerThatLeavesHasNone covers a worker that leaves: its queued tasks have to go elsewhere.
func TestReservations_WorkerThatLeavesHasNone(t *testing.T) {
	h, _ := newReserving(t)
	h.offerLarge(session, "large.0.0.0", true)
	h.offerSmall("small.0.0.0", 1000, true)
	leaving := announcement(1)
	leaving.Sequence, leaving.Leaving = 2, true
	h.core.Announced(h.now, leaving)
	h.step(20 * time.Millisecond)
	if len(h.frame.Refused) != 2 || h.hasStarted("small.0.0.0") {
		t.Errorf("refused %+v, want both queued tasks", h.frame.Refused)
	}
}
