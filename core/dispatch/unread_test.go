package dispatch_test

import (
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
)

// TestSubmit_CallersTimeCountsFromTheArrivalOfTheRequest guards against an entry that was suspended, and then runs jobs whose callers
// have long sent them to other entries.
func TestSubmit_CallersTimeCountsFromTheArrivalOfTheRequest(t *testing.T) {
	h := newHarnessOf(t, dispatch.DefaultLimits, 1)
	old := submission("old", 1, 60*time.Millisecond)
	old.Timeout, old.Unread = time.Second, 1100*time.Millisecond
	h.core.Submit(h.now, old)
	h.step(0)
	if got := h.answers["old"]; h.total() != 0 || got.Result != dispatch.Refused {
		t.Errorf("%d offers, answer %+v, want a refusal: the caller has waited longer than it said", h.total(), got)
	}
	recent := submission("recent", 1, 60*time.Millisecond)
	recent.Timeout, recent.Unread = time.Second, 300*time.Millisecond
	for range 2 {
		// The second one comes from another caller of the same job.
		h.core.Submit(h.now, recent)
	}
	h.step(690 * time.Millisecond)
	if got, isAnswered := h.answers["recent"]; isAnswered {
		t.Errorf("answer %+v 690 ms later, want none before 700 ms", got)
	}
	h.step(20 * time.Millisecond)
	if got, isAnswered := h.answers["recent"]; !isAnswered || got.Cause != dispatch.DeadlinePassed {
		t.Errorf("answer %+v 710 ms later, want the job given up", got)
	}
}
