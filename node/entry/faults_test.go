package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/job"
	"flamingohall.example/node/rpc"
)

// If a connection drops the response after the request arrived, the job is delayed by one hold and one Status call, and
// the target stays in use.
func TestEntry_UnansweredConnection(t *testing.T) {
	for _, entry := range []string{"check", "commit"} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeSidecar("t1", 50*time.Millisecond)
			e := newTestEntry(t, "silent", newFakeControl(), s)
			defer e.runLoop(t)()
			s.set(func(s *fakeSidecar) { s.dropPooledAnswers = true })
			a := e.answerOf(t, entry, "k", 3)
			if a.State != stateComplete || checkStarts(t, s) != 3 {
				t.Fatalf("answer is %+v", a)
			}
			limit := minHold + answerSlack + statusTimeout
			if took := time.Duration(a.Timing.TotalUS) * time.Microsecond; took > limit {
				t.Fatalf("took %v", took)
			}
		})
	}
}

// A lost request is sent again with the same attempt number.
func TestEntry_LostRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSidecar("t1", 50*time.Millisecond)
		e := newTestEntry(t, "lost", newFakeControl(), s)
		defer e.runLoop(t)()
		s.set(func(s *fakeSidecar) { s.dropRuns = true })
		time.AfterFunc(300*time.Millisecond, func() { s.set(func(s *fakeSidecar) { s.dropRuns = false }) })
		a := e.answerOf(t, "commit", "k", 1)
		if a.State != stateComplete || checkStarts(t, s) != 1 {
			t.Fatalf("answer is %+v", a)
		}
	})
}

// If a target answers on no connection, never-repeated tasks that it may have started are not started elsewhere;
// repeatable tasks go to another target.
func TestEntry_UnansweredTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s1, s2 := newFakeSidecar("t1", 50*time.Millisecond), newFakeSidecar("t2", 50*time.Millisecond)
		e := newTestEntry(t, "silenttarget", newFakeControl(), s1, s2)
		defer e.runLoop(t)()
		s1.set(func(s *fakeSidecar) { s.dropPooledAnswers, s.dropFreshAnswers = true, true })
		if a := e.answerOf(t, "check", "k", 8); a.State != stateComplete {
			t.Fatalf("answer is %+v", a)
		}
		before := totalStarts(s1) + totalStarts(s2)
		time.Sleep(2 * suspectPeriod)
		a := e.answerOf(t, "commit", "k2", 8)
		if a.State != stateFailed {
			t.Fatalf("answer is %+v", a)
		}
		for i, task := range a.Tasks {
			isExpected := task.Outcome == job.Done || task.Outcome == job.Unknown
			if !isExpected || (task.Outcome == job.Unknown && task.Target != "t1") {
				t.Fatalf("task %d is %+v", i, task)
			}
		}
		if started := totalStarts(s1) + totalStarts(s2) - before; started != 8 {
			t.Fatalf("8 tasks were started %d times", started)
		}
	})
}

func totalStarts(s *fakeSidecar) (total int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, n := range s.starts {
		total += n
	}
	return total
}

// An entry ends abruptly after half of the answers arrived: another entry takes over the job, collects the outcomes of the
// started tasks and runs the rest.
func TestEntry_TakesOverADeadEntrysJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl()
		s1, s2 := newFakeSidecar("t1", 200*time.Millisecond), newFakeSidecar("t2", 200*time.Millisecond)
		first, second := newTestEntry(t, "e1", control, s1, s2), newTestEntry(t, "e2", control, s1, s2)
		endFirst := first.runLoop(t)
		defer second.runLoop(t)()
		if _, err := first.submit(t, "commit", "k", 20); err != nil {
			t.Fatal(err)
		}
		time.Sleep(250 * time.Millisecond)
		endFirst()
		control.mutex.Lock()
		delete(control.live, first.incarnation)
		control.mutex.Unlock()
		a := second.answerOf(t, "commit", "k", 20)
		if a.State != stateComplete || checkStarts(t, s1, s2) != 20 {
			t.Fatalf("answer is %+v", a)
		}
	})
}

// Two entries get the same key at once: one runs the job, and both return the same answer.
func TestEntry_TwoEntriesOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl()
		s := newFakeSidecar("t1", 100*time.Millisecond)
		first, second := newTestEntry(t, "p1", control, s), newTestEntry(t, "p2", control, s)
		defer first.runLoop(t)()
		defer second.runLoop(t)()
		second.links.peers["p1"] = &peerService{entry: first.Entry}
		r1, err1 := first.submit(t, "commit", "k", 4)
		time.Sleep(time.Millisecond)
		r2, err2 := second.submit(t, "commit", "k", 4)
		if err1 != nil || err2 != nil {
			t.Fatal(err1, err2)
		}
		<-r1.done
		<-r2.done
		if string(r1.result.bytes()) != string(r2.result.bytes()) || checkStarts(t, s) != 4 {
			t.Fatalf("answers are\n%s%s", r1.result.bytes(), r2.result.bytes())
		}
		other, err := second.submit(t, "commit", "k", 5)
		if other != nil || !fault.Is(err, fault.Conflict) {
			t.Fatalf("another body got %v", err)
		}
	})
}

// A job that another entry has finished is answered from control.
func TestEntry_FinishedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl()
		s := newFakeSidecar("t1", 10*time.Millisecond)
		first, second := newTestEntry(t, "f1", control, s), newTestEntry(t, "f2", control, s)
		defer first.runLoop(t)()
		defer second.runLoop(t)()
		a := first.answerOf(t, "commit", "k", 2)
		time.Sleep(time.Millisecond)
		if b := second.answerOf(t, "commit", "k", 2); b.Timing != a.Timing || checkStarts(t, s) != 2 {
			t.Fatalf("answers are %+v and %+v", a, b)
		}
	})
}

func TestEntry_NothingStartsWithoutAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl()
		s := newFakeSidecar("t1", 10*time.Millisecond)
		e := newTestEntry(t, "noclaim", control, s)
		defer e.runLoop(t)()
		control.fail = fault.New(fault.Unavailable, "wait", "no quorum")
		r, err := e.submit(t, "commit", "k", 1)
		if err != nil {
			t.Fatal(err)
		}
		<-r.done
		if r.failure == nil || r.failure.Kind != fault.Unavailable || r.failure.RetryAfter == 0 {
			t.Fatalf("failure is %v", r.failure)
		}
		control.fail = fault.New(fault.Unknown, "wait", "no answer")
		if a := e.answerOf(t, "commit", "k2", 1); a.Tasks[0].Outcome != job.Unknown || a.Tasks[0].Cause != job.CauseClaim {
			t.Fatalf("answer is %+v", a)
		}
		if checkStarts(t, s) != 0 {
			t.Fatal("a task was started without a claim")
		}
		control.mutex.Lock()
		control.fail = nil
		control.mutex.Unlock()
		if a := e.answerOf(t, "commit", "k", 1); a.State != stateComplete {
			t.Fatalf("the refused key was not free: %+v", a)
		}
	})
}

// No task is reported as not run before control has stored the answer.
func TestEntry_NotRunIsStoredFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl()
		s := newFakeSidecar("t1", time.Hour)
		e := newTestEntry(t, "stored", control, s)
		defer e.runLoop(t)()
		r, err := e.submit(t, "commit", "k", 20)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		control.mutex.Lock()
		control.fail = fault.New(fault.Unknown, "wait", "no answer")
		control.mutex.Unlock()
		<-r.done
		for i, task := range decode(t, r.result.bytes()).Tasks {
			if task.Outcome != job.Unknown {
				t.Fatalf("task %d is %+v", i, task)
			}
		}
	})
}

func TestEntry_SendsOneCancelPerTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSidecar("t1", 100*time.Millisecond)
		e := newTestEntry(t, "cancel", newFakeControl(), s)
		defer e.runLoop(t)()
		r, err := e.submit(t, "check", "k", 100)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		e.loop.cancel(t.Context(), jobID("team/a", "k"))
		<-r.done
		a := decode(t, r.result.bytes())
		cancelled := 0
		for _, task := range a.Tasks {
			if task.Outcome == job.Cancelled {
				cancelled++
			}
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if a.State != stateFailed || cancelled != 92 || s.cancelRPCs != 1 || s.cancelled != 8 {
			t.Fatalf("%d cancelled, %d calls for %d tasks: %+v", cancelled, s.cancelRPCs, s.cancelled, a)
		}
	})
}

// A cancel whose call got no answer is sent again, or its tasks would occupy the target until they end.
func TestEntry_RepeatsACancelWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSidecar("t1", 100*time.Millisecond)
		s.cancelFailures = 2
		e := newTestEntry(t, "cancel-again", newFakeControl(), s)
		defer e.runLoop(t)()
		r, err := e.submit(t, "check", "k", 100)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		e.loop.cancel(t.Context(), jobID("team/a", "k"))
		<-r.done
		time.Sleep(10 * time.Second)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.cancelRPCs != 3 || s.cancelled != 8 {
			t.Fatalf("%d calls cancelled %d tasks, want 3 calls and 8 tasks", s.cancelRPCs, s.cancelled)
		}
	})
}

// A target that fails every task quickly is ejected, and jobs still complete in the meantime.
func TestEntry_EjectsAFailingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failing := newFakeSidecar("bad", time.Millisecond)
		failing.outcome, failing.cause = rpc.Outcome_OUTCOME_FAILED, rpc.Cause_CAUSE_TARGET
		healthy := []*fakeSidecar{newFakeSidecar("g1", 20*time.Millisecond), newFakeSidecar("g2", 20*time.Millisecond), newFakeSidecar("g3", 20*time.Millisecond)}
		e := newTestEntry(t, "bad", newFakeControl(), append(healthy, failing)...)
		defer e.runLoop(t)()
		for i := range 50 {
			if a := e.answerOf(t, "check", fmt.Sprint("k", i), 10); a.State != stateComplete {
				t.Fatalf("answer %d is %+v", i, a)
			}
		}
		if runs := totalStarts(failing); runs > 60 {
			t.Fatalf("the failing target was given %d of 500 tasks", runs)
		}
	})
}

// Jobs that cannot meet their deadline are refused at once, with a retry delay.
func TestEntry_RefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSidecar("t1", 50*time.Millisecond)
		e := newTestEntry(t, "early", newFakeControl(), s)
		defer e.runLoop(t)()
		var accepted []*record
		for i := range 10 {
			r, err := e.submit(t, "check", fmt.Sprint("k", i), 100)
			if err != nil {
				if refusal := fault.Of(err); refusal.Kind != fault.Overloaded || refusal.RetryAfter == 0 {
					t.Fatal(err)
				}
				continue
			}
			accepted = append(accepted, r)
		}
		if len(accepted) < 2 || len(accepted) > 4 {
			t.Fatalf("%d jobs of 625 ms were accepted for a deadline of 2 s", len(accepted))
		}
		for i, r := range accepted {
			<-r.done
			if a := decode(t, r.result.bytes()); a.State != stateComplete {
				t.Fatalf("job %d was accepted but not completed: %s", i, a.Reason)
			}
		}
	})
}
