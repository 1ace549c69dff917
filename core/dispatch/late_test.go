package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/policy"
	"flamingohall.example/core/work"
)

// Load pattern: after an outage of 1.5 s, its callers return together while new ones keep arriving. Refusing nearly all of
// them left most of the pool idle a moment later: 4 in 100 of them got a late answer, and 89 were refused.
func TestLate_CallersOfAnOutageAreServedBesideNewOnes(t *testing.T) {
	replay := func(seed uint64, p policy.Policy) scarceResult {
		return simulateScarcity(t, seed, &scarceLoad{
			entries: []float64{55.8, 42.5, 42.3}, workers: 11, speeds: []float64{1, 1, 0.77},
			demand: func(time.Duration) float64 { return 0.7 }, length: 4 * time.Second,
			quick: true, outage: 1500 * time.Millisecond, policy: &p,
		})
	}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			refusing := policy.Default()
			refusing.Late.DrainShare = 0
			with, without := replay(seed, withLateWork().Policy), replay(seed, refusing)
			t.Logf("returned: %v; if refused: %v", &with.returned, &without.returned)
			served, servedWithout := with.returned.inTime+with.returned.late, without.returned.inTime+without.returned.late
			if served < 2*servedWithout {
				t.Errorf("%d callers of the outage are served, want twice the %d that are if late work is refused", served, servedWithout)
			}
			if got := share(with.returned.other, with.returned.jobs); got > 0.03 {
				t.Errorf("%.3f of the callers of the outage are given up after a part has run, want at most 0.03", got)
			}
			var fresh, freshWithout scarceTally
			for i := range with.windows {
				fresh.earned, fresh.worth = fresh.earned+with.windows[i].earned, fresh.worth+with.windows[i].worth
				freshWithout.earned, freshWithout.worth = freshWithout.earned+without.windows[i].earned, freshWithout.worth+without.windows[i].worth
			}
			if loss := freshWithout.earned/freshWithout.worth - fresh.earned/fresh.worth; loss > 0.02 {
				t.Errorf("new callers lose %.3f of what they get if the others are refused, want at most 0.02", loss)
			}
		})
	}
}

// withLateWork returns limits with which late work is accepted.
func withLateWork() dispatch.Limits {
	limits := dispatch.DefaultLimits
	limits.Policy.Late.DrainShare = 0.25
	return limits
}

// lateSubmission returns a job whose caller has waited so long that it can't be in time.
func lateSubmission(id string, tasks int, timeout time.Duration) dispatch.Submission {
	s := submission(id, tasks, 60*time.Millisecond)
	s.Waited, s.Timeout = 300*time.Millisecond, timeout
	return s
}

func TestLate_WorkWaitsWhileThePoolIsUsed(t *testing.T) {
	h := newHarnessOf(t, withLateWork(), 2)
	for _, worker := range []string{"s0", "s1"} {
		h.load(worker, work.Load{Committed: work.Needs{MilliCores: 26000}})
	}
	h.core.Submit(h.now, lateSubmission("late", 1, 3*time.Second))
	h.step(100 * time.Millisecond)
	if h.total() != 0 || len(h.answers) != 0 {
		t.Fatalf("%d offers, answers %v while 0.81 of the pool is used, want none", h.total(), h.answers)
	}
	h.load("s0", work.Load{})
	h.step(0)
	if h.total() != 1 {
		t.Errorf("%d offers with an idle worker, want one", h.total())
	}
}

// Late work that can't end any more before its caller leaves is answered at once, and as not run.
func TestLate_HopelessWorkIsRefusedBeforeItsDeadline(t *testing.T) {
	h := newHarnessOf(t, withLateWork(), 1)
	h.load("s0", work.Load{Committed: work.Needs{MilliCores: 32000}})
	h.core.Submit(h.now, lateSubmission("late", 1, time.Second))
	h.step(620 * time.Millisecond)
	if got, isAnswered := h.answers["late"]; !isAnswered || got.Result != dispatch.Refused || got.Cause != dispatch.DeadlinePassed {
		t.Errorf("answer %+v 620 ms later, want a refusal: 80 ms are left for a task that takes 60 or somewhat more", got)
	}
}

// What can't be done within the capacity that late work gets is refused when it arrives.
func TestLate_BacklogIsBounded(t *testing.T) {
	h := newHarnessOf(t, withLateWork(), 2)
	accepted := 0
	for n := range 400 {
		id := fmt.Sprint("late", n)
		h.core.Submit(h.now, lateSubmission(id, 2, 2*time.Second))
		h.step(0)
		if _, isRefused := h.answers[id]; !isRefused {
			accepted++
		}
	}
	// A quarter of 64 cores does 16 core-seconds a second, and each job takes 0.372.
	if accepted < 40 || accepted > 75 {
		t.Errorf("%d of 400 late jobs are accepted with 1.7 s left, want about 1.64 s x 16 / 0.372 = 70", accepted)
	}
}
