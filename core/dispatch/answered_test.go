package dispatch_test

import (
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// endAll ends the runs of all offers with the outcome, those that follow from it included.
func (h *harness) endAll(outcome work.Outcome) {
	for before := -1; h.total() > before; h.step(time.Second / 10) {
		before = h.total()
		for worker, offers := range h.offers {
			for i := range offers {
				h.ended(worker, offers[i].RunID, outcome)
			}
		}
	}
}

// TestAnswered_SubmissionThatArrivesAgainRunsNothing guards against running a job a second time after its answer.
func TestAnswered_SubmissionThatArrivesAgainRunsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		outcome work.Outcome
		want    dispatch.Result
	}{"completed": {work.Done, dispatch.Completed}, "failed": {work.Failed, dispatch.JobFailed}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.submit("j", 4, 60*time.Millisecond)
			h.endAll(c.outcome)
			if got := h.answers["j"]; got.Result != c.want {
				t.Fatalf("first answer %+v, want %v", got, c.want)
			}
			offers := h.total()
			h.step(5 * time.Second)
			delete(h.answers, "j")
			h.submit("j", 4, 60*time.Millisecond)
			if got := h.answers["j"]; got.Result != c.want || got.Cause != dispatch.AnsweredBefore || h.total() != offers {
				t.Errorf("second answer %+v after %d further offers, want %v without any", got, h.total()-offers, c.want)
			}
		})
	}
}

// TestAnswered_JobThatAnotherEntryAnsweredRunsNothing guards against running a job again at the entry that its caller
// reaches the second time.
func TestAnswered_JobThatAnotherEntryAnsweredRunsNothing(t *testing.T) {
	first, second := newHarness(t, 2), newHarness(t, 2)
	first.submit("j", 2, 60*time.Millisecond)
	first.endAll(work.Done)
	if len(first.shared) != 1 {
		t.Fatalf("%d answers to share, want 1", len(first.shared))
	}
	second.core.AnsweredElsewhere(second.now, first.shared)
	second.submit("j", 2, 60*time.Millisecond)
	if got := second.answers["j"]; got.Result != dispatch.Completed || second.total() != 0 {
		t.Errorf("answer %+v after %d offers, want it completed without any", got, second.total())
	}
	if len(second.shared) != 0 {
		t.Errorf("an answer of another entry is shared again: %v", second.shared)
	}
	if got := second.core.RecentlyAnswered(second.now); len(got) != 1 || got[0].Key != dispatch.JobKey("j") {
		t.Errorf("remembers %v, want the answered job", got)
	}
}

// TestAnswered_JobInProgressIsStoppedOnceAnotherEntryAnswersIt guards against finishing work whose result the caller has
// got from another entry.
func TestAnswered_JobInProgressIsStoppedOnceAnotherEntryAnswersIt(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", 3, 60*time.Millisecond)
	h.submit("other", 1, 60*time.Millisecond)
	h.core.AnsweredElsewhere(h.now, []dispatch.AnsweredJob{{Key: dispatch.JobKey("j"), HasFailed: true}})
	h.step(0)
	if got := h.answers["j"]; got.Result != dispatch.JobFailed {
		t.Errorf("answer %+v, want that of the other entry", got)
	}
	stops := 0
	for _, stopped := range h.stops {
		stops += len(stopped)
	}
	if _, isAnswered := h.answers["other"]; stops != 3 || isAnswered {
		t.Errorf("%d stops, want the 3 of the answered job only", stops)
	}
}

// TestAnswered_JobThatWasNotRunMayBeSubmittedAgain guards against answering a job that was refused, or given up, with an
// answer that it never had.
func TestAnswered_JobThatWasNotRunMayBeSubmittedAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.load("s0", work.Load{Committed: work.Needs{MilliCores: 40000}, WaitMS: [work.SlackLevels]int64{2000, 2000, 2000}})
	h.submit("refused", 1, 60*time.Millisecond)
	h.load("s0", work.Load{Accepts: true})
	h.submit("left", 1, 60*time.Millisecond)
	h.core.CallerLeft(h.now, "left")
	h.step(0)
	if h.answers["refused"].Result != dispatch.Refused || h.answers["left"].Result != dispatch.GivenUp {
		t.Fatalf("answers %+v, want one refused and one given up", h.answers)
	}
	before := h.total()
	// The run of the job whose caller has left ends first; see TestInProgress_GivenUpJobIsHeldUntilItsRunsHaveEnded.
	worker, offer := h.lastOffer("left.0.0.0")
	h.ended(worker, offer.RunID, work.Stopped)
	for _, job := range []string{"refused", "left"} {
		delete(h.answers, job)
		h.submit(job, 1, 60*time.Millisecond)
		if got, isAnswered := h.answers[job]; isAnswered {
			t.Errorf("%s: answered %+v at once, want it run", job, got)
		}
	}
	if h.total() != before+2 {
		t.Errorf("%d offers, want 2", h.total()-before)
	}
}

// TestAnswered_AnswersAreForgotten guards against memory that grows with the number of jobs.
func TestAnswered_AnswersAreForgotten(t *testing.T) {
	h := newHarness(t, 1)
	for key := range uint64(300_000) {
		h.core.AnsweredElsewhere(h.now, []dispatch.AnsweredJob{{Key: key}})
	}
	if got := h.core.RecentlyAnswered(h.now); len(got) > 250_000 || got[len(got)-1].Key != 299_999 {
		t.Errorf("remembers %d answers, want the newest 250,000", len(got))
	}
	if got := h.core.RecentlyAnswered(h.now + dispatch.AnsweredRetention + time.Second); len(got) != 0 {
		t.Errorf("remembers %d answers after their retention", len(got))
	}
}
