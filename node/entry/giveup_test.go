package entry

import (
	"testing"
	"testing/synctest"
	"time"
)

// A waiting job that can no longer meet its deadline is given up and answered; the loop then serves the next job.
func TestEntry_GivesUpLateJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// With run times of 70 ms the review, every 50 ms, gives the job up before its deadline. With 50 ms the review, the
		// deadline and the end of the jobs that hold the slots came at the same instant, in any order.
		s := newFakeSidecar("t1", 70*time.Millisecond)
		e := newTestEntry(t, "giveup", newFakeControl(), s)
		defer e.runLoop(t)()
		e.answerOf(t, "check", "learned", 8)
		s.set(func(s *fakeSidecar) { s.run = 5 * time.Second })
		if _, err := e.submit(t, "check", "holds the slots", 8); err != nil {
			t.Fatal(err)
		}
		// Placed in one pass, the shorter job could get a slot first.
		synctest.Wait()
		a := e.answerOf(t, "check", "waits", 1)
		if a.State != stateFailed || a.Tasks[0].Outcome != "not_run" || checkStarts(t, s) != 16 {
			t.Fatalf("answer is %+v", a)
		}
		s.set(func(s *fakeSidecar) { s.run = 50 * time.Millisecond })
		time.Sleep(5 * time.Second)
		if a := e.answerOf(t, "check", "later", 1); a.State != stateComplete {
			t.Fatalf("answer is %+v", a)
		}
	})
}
