package dispatch_test

import (
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// acceptWith accepts a stored job of one task that may fail as often as given.
func (h *harness) acceptWith(attempts int) {
	s := submission("j", 1, 60*time.Millisecond)
	s.Epoch, s.Queue.Attempts = 1, attempts
	h.core.Accept(h.now, s)
	h.step(0)
}

// loseRun loses the session of the first run until it must have ended, and lets control answer what it has recorded.
func (h *harness) loseRun(recorded ...dispatch.TaskProgress) {
	h.t.Helper()
	h.core.Closed(h.now, h.workerOf(1))
	h.step(dispatch.DefaultLimits.Grant + time.Millisecond)
	h.core.JobLeaseRenewed(h.now, h.now)
	if len(h.progressRequests) != 1 {
		h.t.Fatalf("progress requests %v", h.progressRequests)
	}
	h.core.ProgressReported(h.now, h.progressRequests[0], dispatch.StoredOpen, recorded)
	h.step(0)
}

// TestFailures_RunThatControlHasRecordedCountsOnce guards against jobs that never end: the end of a failed run arrived again after control
// had told of it, counted twice, and the entry waited for a last failure that control did not have.
func TestFailures_RunThatControlHasRecordedCountsOnce(t *testing.T) {
	h := newStoredHarness(t, 2)
	h.acceptWith(3)
	first := h.workerOf(1)
	h.loseRun(dispatch.TaskProgress{Failures: 1, FailedRuns: []uint32{1}})
	h.reopen(first)
	h.reportEnd(first, work.RunID{Task: "j.0.0.0", Run: 1}, work.Failed)
	h.reportEnd(h.workerOf(2), work.RunID{Task: "j.0.0.0", Run: 2}, work.Failed)
	if h.total() != 3 {
		t.Errorf("%d offers after two failures, want the third attempt", h.total())
	}
}

// TestFailures_LateEndOfAnEarlierRunCounts guards against a start after all attempts have failed: the failure of an earlier run, which was
// reported after that of a later one, didn't count.
func TestFailures_LateEndOfAnEarlierRunCounts(t *testing.T) {
	h := newStoredHarness(t, 2)
	h.acceptWith(2)
	first := h.workerOf(1)
	h.loseRun()
	second := h.workerOf(2)
	h.core.SetDrained(first, true)
	h.core.SetDrained(second, true)
	h.reportEnd(second, work.RunID{Task: "j.0.0.0", Run: 2}, work.Failed)
	h.reopen(first)
	h.reportEnd(first, work.RunID{Task: "j.0.0.0", Run: 1}, work.Failed)
	h.core.SetDrained(second, false)
	h.step(0)
	h.reopen(second)
	if h.total() != 2 {
		t.Errorf("%d offers, want none after both attempts have failed", h.total())
	}
}
