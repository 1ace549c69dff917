package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// probe lets a worker's sidecar send a probe, which the entry answers.
func (h *harness) probe(worker string) {
	h.probes++
	h.core.Take(h.now, worker, &work.ToEntry{Probe: h.probes})
	h.step(0)
}

// TestGrant_TasksOfASilentSidecarRunElsewhere guards against accepted jobs that had nothing running while workers were idle: their
// entry waited for the return of a lost sidecar, whose session had not ended, for up to 30 s.
func TestGrant_TasksOfASilentSidecarRunElsewhere(t *testing.T) {
	h := newStoredHarness(t, 2)
	h.accept("j", 1)
	lost := h.workerOf(1)
	other := map[string]string{"s0": "s1", "s1": "s0"}[lost]
	for at := time.Duration(0); at < dispatch.DefaultLimits.Grant+300*time.Millisecond; at += 100 * time.Millisecond {
		if len(h.closed) > 0 && at < dispatch.DefaultLimits.Grant {
			t.Fatalf("session closed after %v, before its grant has ended", at)
		}
		h.step(100 * time.Millisecond)
		h.probe(other)
		h.core.JobLeaseRenewed(h.now, h.now)
	}
	if !slices.Equal(h.closed, []string{lost}) || len(h.progressRequests) != 1 {
		t.Fatalf("closed %v, progress requests %v; want the session of %s closed and control asked", h.closed, h.progressRequests, lost)
	}
	h.core.ProgressReported(h.now, h.progressRequests[0], dispatch.StoredOpen, nil)
	h.step(0)
	if len(h.offers[other]) != 1 {
		t.Errorf("offers %v, want the task at %s", h.offers, other)
	}
}

// TestGrant_StoppedRunCountsAsLongAsItsSidecarGetsAnswers guards against two runs of a task at the same time: after the loss of the job
// lease, a run was offered again at a fixed time, while its sidecar still waited for a worker that didn't answer the stop.
func TestGrant_StoppedRunCountsAsLongAsItsSidecarGetsAnswers(t *testing.T) {
	h := newStoredHarness(t, 2)
	h.accept("j", 1)
	worker := h.workerOf(1)
	for range 50 {
		h.step(100 * time.Millisecond)
		h.probe("s0")
		h.probe("s1")
	}
	if len(h.stops[worker]) != 1 || len(h.progressRequests) != 0 {
		t.Fatalf("stops %v, progress requests %v; want the run stopped, and its end awaited", h.stops, h.progressRequests)
	}
	h.renewLease()
	if h.total() != 1 {
		t.Fatalf("%d offers while the sidecar keeps the run", h.total())
	}
	h.reportEnd(worker, work.RunID{Task: "j.0.0.0", Run: 1}, work.Stopped)
	if h.total() != 2 {
		t.Errorf("%d offers, want a second run after the end of the first", h.total())
	}
}

// TestGrant_EntryThatWasSuspendedReadsItsSocketsFirst guards against tasks that run again although their ends wait in the sockets of an
// entry that goes on after a suspension.
func TestGrant_EntryThatWasSuspendedReadsItsSocketsFirst(t *testing.T) {
	h := newHarness(t, 2)
	s := submission("j", 1, 60*time.Millisecond)
	s.Timeout = time.Minute
	h.core.Submit(h.now, s)
	h.step(0)
	h.step(2 * time.Second)
	h.ended(h.workerOf(1), work.RunID{Task: "j.0.0.0", Run: 1}, work.Done)
	if got := h.answers["j"]; got.Result != dispatch.Completed || h.total() != 1 {
		t.Errorf("answer %+v after %d offers", got, h.total())
	}
}

// TestGrant_TasksOfferedAfterTheGrantRunElsewhere guards against a session that is found overdue without tasks, and then never looked at
// again.
func TestGrant_TasksOfferedAfterTheGrantRunElsewhere(t *testing.T) {
	h := newHarness(t, 1)
	for range 20 {
		h.step(100 * time.Millisecond)
	}
	if len(h.closed) != 0 {
		t.Fatalf("closed %v without tasks", h.closed)
	}
	s := submission("j", 1, 60*time.Millisecond)
	s.Timeout = time.Minute
	h.core.Submit(h.now, s)
	for range 4 {
		h.step(100 * time.Millisecond)
	}
	if h.total() != 1 || !slices.Equal(h.closed, []string{"s0"}) {
		t.Errorf("%d offers, closed %v; want the session closed", h.total(), h.closed)
	}
}
