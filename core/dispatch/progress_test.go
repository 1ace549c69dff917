package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// loseLease lets the job lease expire while all sidecars but the lost ones get answers.
func (h *harness) loseLease(lost ...string) {
	const period = 100 * time.Millisecond
	for range (dispatch.DefaultLimits.JobLease + period) / period {
		h.step(period)
		for _, id := range []string{"s0", "s1"} {
			if !slices.Contains(lost, id) {
				h.probe(id)
			}
		}
	}
}

// reopen opens a new session with a worker's sidecar.
func (h *harness) reopen(id string) {
	h.core.Opened(h.now, id, "a")
	h.core.Attached(h.now, id, true)
	h.core.Take(h.now, id, &work.ToEntry{
		Worker: &work.Worker{Incarnation: id, Pool: "p", Capacity: work.Needs{MilliCores: 32000}}, Load: &work.Load{Accepts: true},
	})
	h.step(0)
}

func (h *harness) renewLease() {
	h.core.JobLeaseRenewed(h.now, h.now)
	h.step(0)
}

// workerOf returns the worker that got the given run of the harness's only task.
func (h *harness) workerOf(run uint32) string {
	h.t.Helper()
	for worker, offers := range h.offers {
		for _, offer := range offers {
			if offer.Run == run {
				return worker
			}
		}
	}
	h.t.Fatalf("run %d was not offered", run)
	return ""
}

// failWithOpenRequest takes a job to the point at which the answer about its first run is still awaited from control, while
// that run is known to have failed.
func failWithOpenRequest(t *testing.T) *harness {
	t.Helper()
	h := newStoredHarness(t, 2)
	h.accept("j", 1)
	first := h.workerOf(1)
	h.loseLease(first)
	if requests := len(h.progressRequests); requests != 1 {
		t.Fatalf("%d progress requests, want 1", requests)
	}
	h.reopen(first)
	h.reportEnd(first, work.RunID{Task: "j.0.0.0", Run: 1}, work.Failed)
	return h
}

// TestProgress_AnswerAboutAnEarlierRunStartsNoSecondOne guards against two runs of a task at the same time: the answer to a
// question about one run released the next one while that was at work.
func TestProgress_AnswerAboutAnEarlierRunStartsNoSecondOne(t *testing.T) {
	h := failWithOpenRequest(t)
	h.renewLease()
	if h.total() != 2 {
		t.Fatalf("%d offers, want a second run", h.total())
	}
	h.loseLease()
	h.core.ProgressReported(h.now, h.progressRequests[0], dispatch.StoredOpen, nil)
	h.renewLease()
	if h.total() != 2 {
		t.Errorf("%d offers; the second run was offered again before it must have ended", h.total())
	}
}

// TestProgress_TaskWhoseEarlierRunWasAskedAboutIsAskedAboutAgain guards against jobs that never end: a task stayed uncertain for
// good, as the question about its earlier run counted as one about the lost run.
func TestProgress_TaskWhoseEarlierRunWasAskedAboutIsAskedAboutAgain(t *testing.T) {
	h := failWithOpenRequest(t)
	h.core.ProgressReported(h.now, h.progressRequests[0], dispatch.StoredOpen, nil)
	h.renewLease()
	h.core.Closed(h.now, h.workerOf(2))
	h.step(dispatch.DefaultLimits.Grant + time.Millisecond)
	if got := len(h.progressRequests); got != 2 {
		t.Fatalf("%d progress requests, want another one about the second run", got)
	}
	h.renewLease()
	h.core.ProgressReported(h.now, h.progressRequests[1], dispatch.StoredOpen, nil)
	h.step(0)
	if h.total() != 3 {
		t.Errorf("%d offers, want a third run", h.total())
	}
}
