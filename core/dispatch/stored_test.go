package dispatch_test

import (
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// newStoredHarness returns a harness whose dispatcher holds the job lease.
func newStoredHarness(t *testing.T, workers int) *harness {
	t.Helper()
	h := newHarness(t, workers)
	h.core.JobLeaseRenewed(h.now, h.now)
	return h
}

func (h *harness) accept(id string, tasks int) {
	s := submission(id, tasks, 60*time.Millisecond)
	s.Epoch = 1
	h.core.Accept(h.now, s)
	h.step(0)
}

// finish reports that a run is done, as a sidecar does for a stored job, and records it.
func (h *harness) finish(worker string, id work.RunID, state dispatch.StoredState) {
	h.reportEnd(worker, id, work.Done)
	h.core.Recorded(h.now, id, state)
	h.step(0)
}

func (h *harness) reportEnd(worker string, id work.RunID, outcome work.Outcome) {
	h.core.Take(h.now, worker, &work.ToEntry{Ended: []work.Ended{{RunID: id, Outcome: outcome, RanMS: 50, AwaitsConfirmation: true}}})
	h.step(0)
}

func TestStored_JobIsCompletedOnceItsLastEndIsRecorded(t *testing.T) {
	h := newStoredHarness(t, 1)
	h.accept("j", 2)
	first, second := h.offers["s0"][0], h.offers["s0"][1]
	if !first.IsStored {
		t.Error("the offer does not say that its end must be confirmed")
	}
	h.finish("s0", first.RunID, dispatch.StoredOpen)
	h.reportEnd("s0", second.RunID, work.Done)
	if _, answered := h.answers["j"]; answered {
		t.Fatal("completed before the end is recorded")
	}
	h.core.Recorded(h.now, second.RunID, dispatch.StoredCompleted)
	h.step(0)
	if got := h.answers["j"]; got.Result != dispatch.Completed {
		t.Errorf("answer %+v", got)
	}
	if state, _ := h.core.Progress("j"); state != dispatch.StoredCompleted {
		t.Errorf("state %v", state)
	}
}

// TestStored_DelayedAnswerDoesNotBringAnEndedJobBack covers two copies of one submission: the answer to the second one
// says that the job is open, and arrives after the job has ended.
func TestStored_DelayedAnswerDoesNotBringAnEndedJobBack(t *testing.T) {
	h := newStoredHarness(t, 1)
	h.accept("j", 1)
	h.finish("s0", h.offers["s0"][0].RunID, dispatch.StoredCompleted)
	h.accept("j", 1)
	if h.total() != 1 {
		t.Errorf("%d offers of one task", h.total())
	}
}

func TestStored_NothingRunsWithoutTheJobLease(t *testing.T) {
	h := newHarness(t, 1)
	h.accept("j", 1)
	if h.total() != 0 {
		t.Fatal("offered before control has granted the job lease")
	}
	h.core.JobLeaseRenewed(h.now, h.now)
	h.step(0)
	if h.total() != 1 {
		t.Fatal("not offered")
	}
	h.step(dispatch.DefaultLimits.JobLease)
	if len(h.stops["s0"]) != 1 {
		t.Fatal("not stopped when the job lease expired")
	}
	h.probe("s0")
	h.core.Closed(h.now, "s0")
	h.reopen("s0")
	h.core.JobLeaseRenewed(h.now, h.now)
	h.step(0)
	if h.total() != 1 {
		t.Fatal("offered again while the first run may go on")
	}
	for range dispatch.DefaultLimits.Grant / (100 * time.Millisecond) {
		h.step(100 * time.Millisecond)
		h.probe("s0")
	}
	if h.total() != 1 || len(h.progressRequests) != 1 {
		t.Fatalf("%d offers, progress requests %v; want control to be asked whether the run was done", h.total(), h.progressRequests)
	}
	h.core.ProgressReported(h.now, h.progressRequests[0], dispatch.StoredOpen, nil)
	h.step(0)
	if h.total() != 2 {
		t.Error("not offered again")
	}
}

// TestStored_EndThatAnotherEntryRecordedIsNotRunAgain covers a cut between an entry and a sidecar, which reports the end
// to another entry in the meantime.
func TestStored_EndThatAnotherEntryRecordedIsNotRunAgain(t *testing.T) {
	h := newStoredHarness(t, 2)
	h.accept("j", 2)
	for _, id := range []string{"s0", "s1"} {
		h.core.Closed(h.now, id)
	}
	h.step(dispatch.DefaultLimits.Grant + time.Millisecond)
	if len(h.progressRequests) != 1 {
		t.Fatalf("progress requests %v", h.progressRequests)
	}
	h.core.Opened(h.now, "s0", "a")
	h.core.Attached(h.now, "s0", true)
	h.core.Take(h.now, "s0", &work.ToEntry{
		Worker: &work.Worker{Incarnation: "s0", Pool: "p", Capacity: work.Needs{MilliCores: 32000}}, Load: &work.Load{Accepts: true},
	})
	h.core.ProgressReported(h.now, h.progressRequests[0], dispatch.StoredOpen, []dispatch.TaskProgress{{Index: 1, IsDone: true}})
	h.step(0)
	if h.total() != 3 || h.offers["s0"][len(h.offers["s0"])-1].Task != "j.0.0.0" {
		t.Errorf("offers %v", h.offers)
	}
}

func TestStored_EndOfARunThatWasGivenUpCounts(t *testing.T) {
	h := newStoredHarness(t, 2)
	h.accept("j", 1)
	first := "s0"
	if len(h.offers["s1"]) > 0 {
		first = "s1"
	}
	id := h.offers[first][0].RunID
	h.core.Closed(h.now, first)
	h.step(dispatch.DefaultLimits.Grant + time.Millisecond)
	h.core.ProgressReported(h.now, h.progressRequests[0], dispatch.StoredOpen, nil)
	h.step(0)
	if h.total() != 2 {
		t.Fatal("not offered again")
	}
	h.core.Opened(h.now, first, "a")
	h.reportEnd(first, id, work.Done)
	stops := len(h.stops["s0"]) + len(h.stops["s1"])
	if stops != 1 {
		t.Errorf("%d stops of the second run", stops)
	}
	h.core.Recorded(h.now, id, dispatch.StoredCompleted)
	h.step(0)
	if got := h.answers["j"]; got.Result != dispatch.Completed {
		t.Errorf("answer %+v", got)
	}
}

func TestStored_EndsOfUnknownJobsAreRecordedToo(t *testing.T) {
	h := newStoredHarness(t, 1)
	h.core.Take(h.now, "s0", &work.ToEntry{Ended: []work.Ended{{
		RunID: work.RunID{Task: "x.0.0.0", Run: 3}, Outcome: work.Failed, AwaitsConfirmation: true,
	}}})
	h.core.Advance(h.now)
	effects := h.core.Effects()
	if len(effects.Records) != 1 || !effects.Records[0].IsFailure || effects.Records[0].Run != 3 {
		t.Fatalf("records %+v", effects.Records)
	}
	h.core.Recorded(h.now, effects.Records[0].RunID, dispatch.StoredUnknown)
	h.core.Advance(h.now)
	if frames := h.core.Effects().Frames; len(frames) != 1 || len(frames[0].Confirmed) != 1 {
		t.Errorf("frames %+v", frames)
	}
}

func TestStored_TakenOverJobContinuesFromTheRecordedProgress(t *testing.T) {
	h := newStoredHarness(t, 1)
	s := submission("j", 3, 60*time.Millisecond)
	s.Epoch = 2
	s.Progress = []dispatch.TaskProgress{{Index: 0, IsDone: true}, {Index: 2, Failures: 1}}
	h.core.Accept(h.now, s)
	h.step(0)
	if h.total() != 2 {
		t.Fatalf("%d offers", h.total())
	}
	for _, offer := range h.offers["s0"] {
		if offer.Task == "j.0.0.0" || offer.Run <= 10_000 {
			t.Errorf("offer of %s, run %d", offer.Task, offer.Run)
		}
	}
	// One failure is recorded, and two are allowed.
	h.reportEnd("s0", work.RunID{Task: "j.0.0.2", Run: 10_001}, work.Failed)
	h.step(time.Second / 2)
	if h.total() != 2 {
		t.Error("offered again after all attempts")
	}
	h.core.Recorded(h.now, work.RunID{Task: "j.0.0.2", Run: 10_001}, dispatch.StoredFailed)
	h.step(0)
	if got := h.answers["j"]; got.Result != dispatch.JobFailed {
		t.Errorf("answer %+v", got)
	}
}

func TestStored_ReleasedJobIsStoppedAndComesBackWithAHigherEpochOnly(t *testing.T) {
	h := newStoredHarness(t, 1)
	h.accept("j", 1)
	h.core.ReleaseAll(h.now)
	h.step(0)
	if len(h.stops["s0"]) != 1 {
		t.Fatal("not stopped")
	}
	h.core.JobLeaseRenewed(h.now, h.now)
	h.accept("j", 1)
	if h.total() != 1 {
		t.Fatal("taken again under the epoch that was released")
	}
	s := submission("j", 1, 60*time.Millisecond)
	s.Epoch = 3
	h.core.Accept(h.now, s)
	h.step(0)
	if h.total() != 2 {
		t.Error("not taken under a higher epoch")
	}
}

// TestStored_SubmissionIsRefusedAtOnceWhileControlIsUnavailable covers a long outage of control.
func TestStored_SubmissionIsRefusedAtOnceWhileControlIsUnavailable(t *testing.T) {
	h := newHarness(t, 1)
	if _, isRefused := h.core.CheckAdmission(h.now, submission("early", 1, 60*time.Millisecond)); isRefused {
		t.Error("refused before control was ever asked")
	}
	h.core.JobLeaseRenewed(h.now, h.now)
	h.step(dispatch.DefaultLimits.JobLease)
	answer, isRefused := h.core.CheckAdmission(h.now, submission("j", 1, 60*time.Millisecond))
	if !isRefused || answer.Cause != dispatch.ControlUnavailable || answer.RetryAfter <= 0 {
		t.Errorf("answer %+v", answer)
	}
	h.core.JobLeaseRenewed(h.now, h.now)
	if _, isRefused := h.core.CheckAdmission(h.now, submission("k", 1, 60*time.Millisecond)); isRefused {
		t.Error("refused though control is available again")
	}
}

// TestStored_EndWhoseRecordWasRejectedIsRecordedAgain guards against ends that were never recorded after control had rejected one call.
func TestStored_EndWhoseRecordWasRejectedIsRecordedAgain(t *testing.T) {
	h := newStoredHarness(t, 1)
	h.accept("j", 1)
	id := h.offers["s0"][0].RunID
	records := func() int {
		h.core.Take(h.now, "s0", &work.ToEntry{Ended: []work.Ended{{RunID: id, Outcome: work.Done, RanMS: 50, AwaitsConfirmation: true}}})
		h.core.Advance(h.now)
		return len(h.core.Effects().Records)
	}
	if first, repeated := records(), records(); first != 1 || repeated != 0 {
		t.Fatalf("%d records, then %d; want 1 while its answer is awaited", first, repeated)
	}
	h.core.RecordRejected(id)
	if got := records(); got != 1 {
		t.Errorf("%d records after the rejection, want 1", got)
	}
}
