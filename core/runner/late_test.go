package runner_test

import (
	"testing"
	"time"

	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// nextFence answers and steps until the next call to the worker is due, and returns its fence.
func (h *harness) nextFence() uint64 {
	h.t.Helper()
	h.starts, h.stops, h.hold = nil, nil, nil
	for range 300 {
		h.step(5 * time.Millisecond)
		switch {
		case len(h.starts) > 0:
			return h.starts[0].Fence
		case len(h.stops) > 0:
			return h.stops[0].Fence
		case h.hold != nil:
			return h.hold.Fence
		}
		h.echo()
	}
	h.t.Fatal("the worker isn't called")
	return 0
}

// TestLate_OrderThatIsGivenUpHasALowerFenceThanTheNextCall guards against a task that runs twice: its start got no answer, was revoked and was
// carried out after the worker had restarted under its ID, as later calls to the worker carried the same fence.
func TestLate_OrderThatIsGivenUpHasALowerFenceThanTheNextCall(t *testing.T) {
	for name, giveUp := range map[string]func(h *harness) (fence uint64){
		"start without an answer": func(h *harness) uint64 {
			id := h.offer("a.0.0.0", 1000)
			h.core.Started(h.now, "w@1", id, runner.NoAnswer, runner.ClockReading{})
			return h.starts[0].Fence
		},
		"start whose answer is overdue": func(h *harness) uint64 {
			h.offer("a.0.0.0", 1000)
			h.step(5 * time.Millisecond)
			h.step(30 * time.Millisecond)
			h.report(&runner.Report{Answer: runner.Accepted})
			return h.starts[0].Fence
		},
		"start that its entry takes back": func(h *harness) uint64 {
			id := h.offer("a.0.0.0", 1000)
			h.core.Take(h.now, session, &work.ToSidecar{Stops: []work.RunID{id}})
			return h.starts[0].Fence
		},
		"start of an entry whose session ends": func(h *harness) uint64 {
			h.offer("a.0.0.0", 1000)
			h.core.Closed(h.now, session)
			return h.starts[0].Fence
		},
		"start of a previous incarnation": func(h *harness) uint64 {
			h.offer("a.0.0.0", 1000)
			h.restart(announcement(2))
			return h.starts[0].Fence
		},
		"stop without an answer": func(h *harness) uint64 {
			id := h.run("a.0.0.0", 1000)
			h.core.Take(h.now, session, &work.ToSidecar{Stops: []work.RunID{id}})
			h.step(0)
			h.core.Stopped(h.now, "w@1", id, runner.NoAnswer, runner.ClockReading{})
			return h.stops[0].Fence
		},
		"hold without an answer": func(h *harness) uint64 {
			h.run("a.0.0.0", 1000)
			fence := h.hold.Fence
			h.core.Reported(h.now, &runner.Report{Answer: runner.NoAnswer, Number: h.hold.Number})
			return fence
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			given := giveUp(h)
			if next := h.nextFence(); next <= given {
				t.Errorf("fence of the next call %d, want it above that of the order, %d", next, given)
			}
		})
	}
}

// pass lets time pass at a worker that answers each Hold once its wait is over. It returns the longest time without a Hold at the worker.
func (h *harness) pass(d time.Duration) (longestPause time.Duration) {
	h.t.Helper()
	const step = 10 * time.Millisecond
	var pause, waited time.Duration
	for until := h.now + d; h.now < until; h.step(step) {
		h.echo()
		if h.hold == nil {
			pause += step
			longestPause = max(longestPause, pause)
			continue
		}
		pause = 0
		if waited >= h.hold.Wait {
			waited = 0
			h.answerHold()
		}
		waited += step
	}
	return longestPause
}

// revoke offers a task whose start gets no answer, until its offer is refused.
func (h *harness) revoke(task string) {
	h.t.Helper()
	id := h.offer(task, 1000)
	h.core.Started(h.now, "w@1", id, runner.NoAnswer, runner.ClockReading{})
	h.step(0)
	h.core.Stopped(h.now, "w@1", id, runner.Accepted, h.reading())
	h.pass(200 * time.Millisecond)
	if len(h.frame.Refused) != 1 {
		h.t.Fatalf("refused %v, want the offer", h.frame.Refused)
	}
}

// TestLate_RestartOfAnIdleWorkerIsNoticedAtOnce guards against a task that runs twice: a revoked start was carried out by a restarted worker
// before its first call, which came up to a second after the restart.
func TestLate_RestartOfAnIdleWorkerIsNoticedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.revoke("a.0.0.0")
	if pause := h.pass(5 * time.Second); pause > 0 || h.hold == nil {
		t.Fatalf("no hold at the worker for %v, want one at any time", pause)
	}
	hold := h.hold
	h.hold = nil
	h.core.Reported(h.now, &runner.Report{Answer: runner.NoAnswer, Number: hold.Number})
	h.step(0)
	const until = 10 * time.Millisecond
	for range 10 {
		if h.hold == nil || h.hold.Wait != 0 && h.hold.Number > hold.Number+1 {
			t.Fatalf("hold %+v, want a call that is answered at once within %v of a refused connection", h.hold, until)
		}
		refused := h.hold.Number
		h.hold = nil
		h.core.Reported(h.now, &runner.Report{Answer: runner.ConnectionRefused, Number: refused})
		h.step(0)
		if due := h.core.UntilHold(h.now); due > until {
			t.Fatalf("the next call is due in %v", due)
		}
		h.step(until)
	}
}

// TestLate_WorkerThatStaysAwayIsCalledLessOften bounds the cost of calls to an address that refuses connections.
func TestLate_WorkerThatStaysAwayIsCalledLessOften(t *testing.T) {
	h := newHarness(t)
	h.revoke("a.0.0.0")
	calls := 0
	for range 20_000 {
		if hold := h.hold; hold != nil {
			calls++
			h.hold = nil
			h.core.Reported(h.now, &runner.Report{Answer: runner.ConnectionRefused, Number: hold.Number})
		}
		h.echo()
		h.step(time.Millisecond)
	}
	// 5 s with a call every 10 ms, and 15 s with one every 25 ms.
	if calls < 1000 || calls > 1150 {
		t.Errorf("%d calls in 20 s, want about 1,100", calls)
	}
}

// TestLate_WorkerWithoutGivenUpOrdersIsCalledOnceASecond bounds the cost of an idle worker.
func TestLate_WorkerWithoutGivenUpOrdersIsCalledOnceASecond(t *testing.T) {
	h := newHarness(t)
	holds := 0
	for range 500 {
		h.step(10 * time.Millisecond)
		h.echo()
		if h.hold != nil {
			holds++
			h.answerHold()
		}
	}
	if holds > 6 {
		t.Errorf("%d holds in 5 s, want one a second", holds)
	}
}

// TestLate_OvertakenCallRaisesNoFence guards against fences that leave the range of their encoding: a call that was overtaken by one with a
// higher fence is rejected, which doesn't show that another process calls the worker.
func TestLate_OvertakenCallRaisesNoFence(t *testing.T) {
	h := newHarness(t)
	overtaken := h.offer("a.0.0.0", 1000)
	given := h.offer("b.0.0.0", 1000)
	before := h.starts[0].Fence
	h.core.Started(h.now, "w@1", given, runner.NoAnswer, runner.ClockReading{})
	h.step(0)
	h.core.Started(h.now, "w@1", overtaken, runner.Fenced, h.reading())
	h.step(20 * time.Millisecond)
	last := h.starts[len(h.starts)-1]
	if last.RunID != overtaken || last.Fence <= before || last.Fence > before+10 {
		t.Errorf("starts %+v, want the overtaken one again with a fence a little above %d", h.starts, before)
	}
}

// TestLate_RunOfAnotherIncarnationIsStoppedBeforeItsAnnouncement guards against a task that runs twice for as long as a lease: the start was
// carried out by a restarted worker before its first call, and what it listed was ignored until its first announcement.
func TestLate_RunOfAnotherIncarnationIsStoppedBeforeItsAnnouncement(t *testing.T) {
	h := newHarness(t)
	h.revoke("a.0.0.0")
	h.stops = nil
	late, fence := work.RunID{Task: "a.0.0.0", Run: 1}, h.hold.Fence
	h.report(&runner.Report{Answer: runner.WrongIncarnation, AnsweredBy: "w@2", Running: []runner.ReportedRun{{RunID: late}}})
	if len(h.stops) != 1 || h.stops[0].Incarnation != "w@2" || h.stops[0].RunID != late || h.stops[0].Fence <= fence {
		t.Fatalf("stops %+v, want one of the run at the other incarnation with a fence above %d", h.stops, fence)
	}
	h.core.Stopped(h.now, "w@2", late, runner.Accepted, h.reading())
	h.step(0)
	if h.hold == nil || h.hold.Wait != 0 || h.hold.LeaseUntilMS != 0 {
		t.Errorf("hold %+v, want one at once, without a lease", h.hold)
	}
}

// TestLate_EndsAreConfirmedOnlyToTheIncarnationThatReportedThem guards against ends that a restarted worker forgets unreported: they are numbered
// from 1 again, and each call carried the number that its previous incarnation could forget.
func TestLate_EndsAreConfirmedOnlyToTheIncarnationThatReportedThem(t *testing.T) {
	h := newHarness(t)
	id := h.runStored("a.0.0.0")
	h.reportEnd(id)
	h.confirm(session, work.Confirmed{RunID: id, IsRecorded: true})
	if h.hold == nil || h.hold.Confirmed != 1 {
		t.Fatalf("hold %+v, want one that confirms the end", h.hold)
	}
	h.core.Reported(h.now, &runner.Report{Answer: runner.NoAnswer, Number: h.hold.Number})
	h.step(time.Millisecond)
	if h.hold.Confirmed != 0 {
		t.Fatalf("hold %+v after one without an answer confirms an end of a worker that may have restarted", h.hold)
	}
	h.answerHold()
	if h.hold == nil || h.hold.Confirmed != 1 {
		t.Fatalf("hold %+v, want the end confirmed again once the worker has answered", h.hold)
	}
	h.answerHold()
	for range 200 {
		h.step(10 * time.Millisecond)
		h.echo()
		if h.hold != nil && h.hold.Confirmed != 0 {
			t.Fatalf("hold %+v confirms an end that the worker has forgotten", h.hold)
		}
		if h.hold != nil {
			h.answerHold()
		}
	}
}

// TestLate_SidecarThatRecallsItsWorkerCallsItWithoutPause guards against a task that runs twice: what the predecessor of a sidecar gave up may be
// carried out, too, by a worker that restarts.
func TestLate_SidecarThatRecallsItsWorkerCallsItWithoutPause(t *testing.T) {
	h := &harness{t: t, core: runner.New(runner.DefaultLimits, 10), now: time.Minute, clockMS: 5000}
	h.core.Open(h.now, session, work.Hello{Entry: "e"})
	h.core.Recover(h.now, announcement(1))
	h.step(0)
	h.echo()
	if pause := h.pass(5 * time.Second); pause > 0 {
		t.Errorf("no hold at the worker for %v, want one at any time", pause)
	}
}
