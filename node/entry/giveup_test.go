package entry

import (
	"testing"
	"testing/synctest"
	"time"
)

// A job that waits in vain is given up and answered; the loop goes on and serves the next one.
func TestEntry_GivesUpWhatWaitsInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSidecar("t1", 50*time.Millisecond)
		w := newTestEntry(t, "giveup", newFakeControl(), s)
		defer w.runLoop(t)()
		w.answerOf(t, "check", "learned", 8)
		s.set(func(s *fakeSidecar) { s.run = 5 * time.Second })
		if _, err := w.submit(t, "check", "holds the slots", 8); err != nil {
			t.Fatal(err)
		}
		a := w.answerOf(t, "check", "waits", 1)
		if a.State != stateFailed || a.Tasks[0].Outcome != "not_run" || checkStarts(t, s) != 16 {
			t.Fatalf("answer is %+v", a)
		}
		s.set(func(s *fakeSidecar) { s.run = 50 * time.Millisecond })
		time.Sleep(5 * time.Second)
		if a := w.answerOf(t, "check", "later", 1); a.State != stateComplete {
			t.Fatalf("answer is %+v", a)
		}
	})
}
