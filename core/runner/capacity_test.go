package runner_test

import (
	"testing"
	"time"

	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// announceCapacity announces the worker's current incarnation with another capacity.
func (h *harness) announceCapacity(sequence uint64, milliCores int64) {
	changed := announcement(1)
	changed.Sequence, changed.Capacity.MilliCores = sequence, milliCores
	h.core.Announced(h.now, changed)
	h.core.Advance(h.now)
	effects := h.core.Effects()
	h.starts = append(h.starts, effects.Starts...)
	h.recorded = append(h.recorded, effects.Record)
	for _, frame := range effects.Frames {
		if frame.Worker != nil {
			h.described = append(h.described, *frame.Worker)
		}
		h.frame.Refused = append(h.frame.Refused, frame.Refused...)
	}
}

func (h *harness) hasStarted(task string) bool {
	for i := range h.starts {
		if h.starts[i].Task == task {
			return true
		}
	}
	return false
}

// TestCapacity_ShrunkWorkerStartsNothingBeyondItsNewCapacity covers a worker whose capacity shrinks under running tasks: it
// kept the capacity of its first announcement.
func TestCapacity_ShrunkWorkerStartsNothingBeyondItsNewCapacity(t *testing.T) {
	h := newHarness(t)
	first := h.run("a.0.0.0", 3000)
	h.announceCapacity(2, 4000)
	h.offer("b.0.0.0", 3000)
	if h.hasStarted("b.0.0.0") {
		t.Fatal("a task was started beyond the shrunk capacity")
	}
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: first, Number: 1, Outcome: work.Done}}})
	if !h.hasStarted("b.0.0.0") {
		t.Error("the task was not started after the first one had ended")
	}
}

func TestCapacity_EntriesAndTheSuccessorLearnEachChange(t *testing.T) {
	h := newHarness(t)
	for n, milliCores := range []int64{4000, 8000} {
		h.announceCapacity(uint64(2+n), milliCores)
		if len(h.described) != n+1 || h.described[n].Capacity.MilliCores != milliCores {
			t.Errorf("descriptions %+v, want the capacity %d", h.described, milliCores)
		}
		if last := h.recorded[len(h.recorded)-1]; last == nil || last.Capacity.MilliCores != milliCores {
			t.Errorf("record %+v, want the capacity %d", last, milliCores)
		}
	}
}

func TestCapacity_GrownWorkerIsFilledAgain(t *testing.T) {
	h := newHarness(t)
	h.announceCapacity(2, 4000)
	h.run("a.0.0.0", 3000)
	h.offer("b.0.0.0", 3000)
	if h.hasStarted("b.0.0.0") {
		t.Fatal("a task was started beyond the shrunk capacity")
	}
	h.announceCapacity(3, 8000)
	if !h.hasStarted("b.0.0.0") {
		t.Error("the grown capacity is not used")
	}
}

// TestCapacity_OlderAnnouncementChangesNothing covers an announcement that was delayed, with the capacity from before.
func TestCapacity_OlderAnnouncementChangesNothing(t *testing.T) {
	h := newHarness(t)
	h.announceCapacity(5, 4000)
	h.announceCapacity(4, 8000)
	h.run("a.0.0.0", 3000)
	h.offer("b.0.0.0", 3000)
	if h.hasStarted("b.0.0.0") {
		t.Error("a delayed announcement restored the former capacity")
	}
}

func TestCapacity_OfferLargerThanTheShrunkCapacityIsRefused(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 6000)
	h.offer("b.0.0.0", 6000)
	h.announceCapacity(2, 4000)
	h.offer("c.0.0.0", 6000)
	for _, task := range []string{"b.0.0.0", "c.0.0.0"} {
		isRefused := false
		for _, refused := range h.frame.Refused {
			isRefused = isRefused || refused.Task == task && refused.Reason == work.TooLarge
		}
		if !isRefused {
			t.Errorf("refusals %v, want %s as too large", h.frame.Refused, task)
		}
	}
}

func TestCapacity_RunThatIsBeingStoppedKeepsItsRoom(t *testing.T) {
	h := newHarness(t)
	id := h.run("a.0.0.0", 6000)
	h.core.Take(h.now, session, &work.ToSidecar{Stops: []work.RunID{id}})
	h.step(0)
	h.offer("b.0.0.0", 6000)
	h.core.Stopped(h.now, "w@1", id, runner.Accepted, h.reading())
	h.step(0)
	if h.hasStarted("b.0.0.0") {
		t.Fatal("a task was started in the room of a run whose end was not reported")
	}
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: id, Number: 1, Outcome: work.Stopped}}})
	if !h.hasStarted("b.0.0.0") {
		t.Error("the task was not started after the stopped run had ended")
	}
}

// TestCapacity_RunsOfAPredecessorKeepTheirRoomUntilTheyHaveEnded covers a sidecar that restarts beside its worker: it did not
// count the runs that its predecessor had started and that it stops.
func TestCapacity_RunsOfAPredecessorKeepTheirRoomUntilTheyHaveEnded(t *testing.T) {
	h := newHarness(t)
	// The first report after the start of the process lists a run that it did not order.
	h.offer("warm.0.0.0", 100)
	h.answerHold(runner.ReportedRun{RunID: work.RunID{Task: "old.0.0.0", Run: 3}})
	h.offer("b.0.0.0", 6000)
	if h.hasStarted("b.0.0.0") {
		t.Fatal("a task was started beside a run of unknown size")
	}
	h.step(10 * time.Millisecond)
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{
		{RunID: work.RunID{Task: "old.0.0.0", Run: 3}, Number: 1, Outcome: work.Stopped},
	}})
	if !h.hasStarted("b.0.0.0") {
		t.Error("the task was not started after the predecessor's run had ended")
	}
}
