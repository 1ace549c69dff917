package dispatch_test

import (
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// newStoredDesk returns a dispatcher that may run stored jobs.
func newStoredDesk(t *testing.T, workers int) *desk {
	t.Helper()
	d := newDesk(t, workers)
	d.core.JobLeaseRenewed(d.now, d.now)
	return d
}

func (d *desk) accept(id string, tasks int) {
	s := submission(id, tasks, 60*time.Millisecond)
	s.Epoch = 1
	d.core.Accept(d.now, s)
	d.step(0)
}

// finish tells that a run is done, as a sidecar does for a stored job, and records it.
func (d *desk) finish(worker string, id work.RunID, state dispatch.StoredState) {
	d.tell(worker, id, work.Done)
	d.core.Recorded(d.now, id, state)
	d.step(0)
}

func (d *desk) tell(worker string, id work.RunID, outcome work.Outcome) {
	d.core.Take(d.now, worker, &work.ToEntry{Ended: []work.Ended{{RunID: id, Outcome: outcome, RanMS: 50, AwaitsConfirmation: true}}})
	d.step(0)
}

func TestStored_JobIsCompletedOnceItsLastEndIsRecorded(t *testing.T) {
	d := newStoredDesk(t, 1)
	d.accept("j", 2)
	first, second := d.offers["s0"][0], d.offers["s0"][1]
	if !first.IsStored {
		t.Error("the offer does not say that its end must be confirmed")
	}
	d.finish("s0", first.RunID, dispatch.StoredOpen)
	d.tell("s0", second.RunID, work.Done)
	if _, answered := d.answers["j"]; answered {
		t.Fatal("completed before the end is recorded")
	}
	d.core.Recorded(d.now, second.RunID, dispatch.StoredCompleted)
	d.step(0)
	if got := d.answers["j"]; got.Result != dispatch.Completed {
		t.Errorf("answer %+v", got)
	}
	if state, _ := d.core.Progress("j"); state != dispatch.StoredCompleted {
		t.Errorf("state %v", state)
	}
}

// TestStored_AnswerThatWasHeldUpDoesNotBringAJobBack replays two copies of one submission: the answer about the second one
// says that the job is open, and comes after its end.
func TestStored_AnswerThatWasHeldUpDoesNotBringAJobBack(t *testing.T) {
	d := newStoredDesk(t, 1)
	d.accept("j", 1)
	d.finish("s0", d.offers["s0"][0].RunID, dispatch.StoredCompleted)
	d.accept("j", 1)
	if d.total() != 1 {
		t.Errorf("%d offers of one task", d.total())
	}
}

func TestStored_NothingRunsWithoutTheRight(t *testing.T) {
	d := newDesk(t, 1)
	d.accept("j", 1)
	if d.total() != 0 {
		t.Fatal("offered before control has confirmed the right")
	}
	d.core.JobLeaseRenewed(d.now, d.now)
	d.step(0)
	if d.total() != 1 {
		t.Fatal("not offered")
	}
	d.step(dispatch.DefaultLimits.JobLease)
	if len(d.stops["s0"]) != 1 {
		t.Fatal("not stopped at the end of the right")
	}
	d.core.JobLeaseRenewed(d.now, d.now)
	d.step(0)
	if d.total() != 1 {
		t.Fatal("offered again while the first run may go on")
	}
	d.step(dispatch.DefaultLimits.Grant)
	if d.total() != 1 || len(d.asks) != 1 {
		t.Fatalf("%d offers, asks %v; want control to be asked whether the run was done", d.total(), d.asks)
	}
	d.core.ProgressReported(d.now, d.asks[0], dispatch.StoredOpen, nil)
	d.step(0)
	if d.total() != 2 {
		t.Error("not offered again")
	}
}

// TestStored_EndThatAnotherEntryRecordedIsNotRunAgain replays a cut between an entry and a sidecar, which tells the end to
// another entry meanwhile.
func TestStored_EndThatAnotherEntryRecordedIsNotRunAgain(t *testing.T) {
	d := newStoredDesk(t, 2)
	d.accept("j", 2)
	for _, id := range []string{"s0", "s1"} {
		d.core.Closed(d.now, id)
	}
	d.step(dispatch.DefaultLimits.Grant + time.Millisecond)
	if len(d.asks) != 1 {
		t.Fatalf("asks %v", d.asks)
	}
	d.core.Opened(d.now, "s0", "a")
	d.core.Attached(d.now, "s0", true)
	d.core.Take(d.now, "s0", &work.ToEntry{
		Worker: &work.Worker{Incarnation: "s0", Pool: "p", Capacity: work.Needs{MilliCores: 32000}}, Load: &work.Load{Accepts: true},
	})
	d.core.ProgressReported(d.now, d.asks[0], dispatch.StoredOpen, []dispatch.TaskProgress{{Index: 1, IsDone: true}})
	d.step(0)
	if d.total() != 3 || d.offers["s0"][len(d.offers["s0"])-1].Task != "j.0.0.0" {
		t.Errorf("offers %v", d.offers)
	}
}

func TestStored_EndOfARunThatWasGivenUpCounts(t *testing.T) {
	d := newStoredDesk(t, 2)
	d.accept("j", 1)
	first := "s0"
	if len(d.offers["s1"]) > 0 {
		first = "s1"
	}
	id := d.offers[first][0].RunID
	d.core.Closed(d.now, first)
	d.step(dispatch.DefaultLimits.Grant + time.Millisecond)
	d.core.ProgressReported(d.now, d.asks[0], dispatch.StoredOpen, nil)
	d.step(0)
	if d.total() != 2 {
		t.Fatal("not offered again")
	}
	d.core.Opened(d.now, first, "a")
	d.tell(first, id, work.Done)
	stops := len(d.stops["s0"]) + len(d.stops["s1"])
	if stops != 1 {
		t.Errorf("%d stops of the second run", stops)
	}
	d.core.Recorded(d.now, id, dispatch.StoredCompleted)
	d.step(0)
	if got := d.answers["j"]; got.Result != dispatch.Completed {
		t.Errorf("answer %+v", got)
	}
}

func TestStored_EndsOfUnknownJobsAreRecordedToo(t *testing.T) {
	d := newStoredDesk(t, 1)
	d.core.Take(d.now, "s0", &work.ToEntry{Ended: []work.Ended{{
		RunID: work.RunID{Task: "x.0.0.0", Run: 3}, Outcome: work.Failed, AwaitsConfirmation: true,
	}}})
	d.core.Advance(d.now)
	effects := d.core.Effects()
	if len(effects.Records) != 1 || !effects.Records[0].IsFailure || effects.Records[0].Run != 3 {
		t.Fatalf("records %+v", effects.Records)
	}
	d.core.Recorded(d.now, effects.Records[0].RunID, dispatch.StoredUnknown)
	d.core.Advance(d.now)
	if frames := d.core.Effects().Frames; len(frames) != 1 || len(frames[0].Confirmed) != 1 {
		t.Errorf("frames %+v", frames)
	}
}

func TestStored_TakenOverJobGoesOnFromWhatIsRecorded(t *testing.T) {
	d := newStoredDesk(t, 1)
	s := submission("j", 3, 60*time.Millisecond)
	s.Epoch = 2
	s.Progress = []dispatch.TaskProgress{{Index: 0, IsDone: true}, {Index: 2, Failures: 1}}
	d.core.Accept(d.now, s)
	d.step(0)
	if d.total() != 2 {
		t.Fatalf("%d offers", d.total())
	}
	for _, offer := range d.offers["s0"] {
		if offer.Task == "j.0.0.0" || offer.Run <= 10_000 {
			t.Errorf("offer of %s, run %d", offer.Task, offer.Run)
		}
	}
	// One failure is recorded, and two are allowed.
	d.tell("s0", work.RunID{Task: "j.0.0.2", Run: 10_001}, work.Failed)
	d.step(time.Second / 2)
	if d.total() != 2 {
		t.Error("offered again after all attempts")
	}
	d.core.Recorded(d.now, work.RunID{Task: "j.0.0.2", Run: 10_001}, dispatch.StoredFailed)
	d.step(0)
	if got := d.answers["j"]; got.Result != dispatch.JobFailed {
		t.Errorf("answer %+v", got)
	}
}

func TestStored_DisownedJobIsStoppedAndComesBackWithAHigherEpochOnly(t *testing.T) {
	d := newStoredDesk(t, 1)
	d.accept("j", 1)
	d.core.ReleaseAll(d.now)
	d.step(0)
	if len(d.stops["s0"]) != 1 {
		t.Fatal("not stopped")
	}
	d.core.JobLeaseRenewed(d.now, d.now)
	d.accept("j", 1)
	if d.total() != 1 {
		t.Fatal("taken again under the epoch that was given away")
	}
	s := submission("j", 1, 60*time.Millisecond)
	s.Epoch = 3
	d.core.Accept(d.now, s)
	d.step(0)
	if d.total() != 2 {
		t.Error("not taken under a higher epoch")
	}
}

// TestStored_SubmissionIsRefusedAtOnceWhileControlIsAway replays a long absence of control.
func TestStored_SubmissionIsRefusedAtOnceWhileControlIsAway(t *testing.T) {
	d := newDesk(t, 1)
	if _, isRefused := d.core.CheckAdmission(d.now, submission("early", 1, 60*time.Millisecond)); isRefused {
		t.Error("refused before control was ever asked")
	}
	d.core.JobLeaseRenewed(d.now, d.now)
	d.step(dispatch.DefaultLimits.JobLease)
	answer, isRefused := d.core.CheckAdmission(d.now, submission("j", 1, 60*time.Millisecond))
	if !isRefused || answer.Cause != dispatch.ControlUnavailable || answer.RetryAfter <= 0 {
		t.Errorf("answer %+v", answer)
	}
	d.core.JobLeaseRenewed(d.now, d.now)
	if _, isRefused := d.core.CheckAdmission(d.now, submission("k", 1, 60*time.Millisecond)); isRefused {
		t.Error("refused though control is back")
	}
}
