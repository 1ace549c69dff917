package runner_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// harness holds a runner with one session. The test answers its calls.
type harness struct {
	t       *testing.T
	core    *runner.Runner
	now     time.Duration
	starts  []runner.Start
	stops   []runner.Stop
	hold    *runner.Hold
	verify  *runner.Order
	frame   work.ToEntry
	closed  []runner.Session
	clockMS int64
	// described and recorded are the descriptions sent to the entry, and the announcements to store, since newHarness.
	described []work.Worker
	recorded  []*runner.Announcement
	notes     []runner.Note
	waits     []runner.QueueWait
	idle      time.Duration
}

const session runner.Session = 1

// newHarness returns a runner whose worker is known and whose entry has answered a probe.
func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, core: runner.New(runner.DefaultLimits, 10), now: time.Minute, clockMS: 5000}
	h.core.Announced(h.now, announcement(1))
	h.core.Open(h.now, session, work.Hello{Entry: "e"})
	h.step(0)
	h.answerHold()
	h.echo()
	return h
}

func announcement(startedAt int64) runner.Announcement {
	return runner.Announcement{StartedAt: startedAt, Sequence: 1, Worker: work.Worker{
		Incarnation: fmt.Sprintf("w@%d", startedAt), Pool: "p", Capacity: work.Needs{MilliCores: 8000, MemoryMB: 1000},
	}}
}

// step advances the time and gathers the effects.
func (h *harness) step(d time.Duration) {
	h.now += d
	h.clockMS += d.Milliseconds()
	h.core.Advance(h.now)
	effects := h.core.Effects()
	h.starts = append(h.starts, effects.Starts...)
	h.stops = append(h.stops, effects.Stops...)
	h.closed = append(h.closed, effects.Close...)
	h.notes = append(h.notes, effects.Notes...)
	h.waits = append(h.waits, effects.Waits...)
	h.idle += effects.IdleReserved
	if effects.Hold != nil {
		h.hold = effects.Hold
	}
	if effects.Verify != nil {
		h.verify = effects.Verify
	}
	for _, frame := range effects.Frames {
		if frame.Probe != 0 {
			h.frame.Probe = frame.Probe
		}
		if frame.Load != nil {
			h.frame.Load = frame.Load
		}
		h.frame.Started = append(h.frame.Started, frame.Started...)
		h.frame.Ended = append(h.frame.Ended, frame.Ended...)
		h.frame.Refused = append(h.frame.Refused, frame.Refused...)
		h.frame.Overdue = append(h.frame.Overdue, frame.Overdue...)
	}
}

// restart replaces the worker by the announced incarnation, which confirms that it is there.
func (h *harness) restart(announced runner.Announcement) {
	h.t.Helper()
	h.core.Announced(h.now, announced)
	h.step(0)
	h.answerVerify(announced.Incarnation, runner.Accepted)
}

// answerVerify answers the call to an announced incarnation.
func (h *harness) answerVerify(incarnation string, answer runner.Answer) {
	h.t.Helper()
	if h.verify == nil || h.verify.Incarnation != incarnation || h.verify.LeaseUntilMS != 0 {
		h.t.Fatalf("verify %+v, want a call to %s without a lease", h.verify, incarnation)
	}
	h.verify = nil
	h.core.Verified(h.now, incarnation, answer)
	h.step(0)
}

func (h *harness) reading() runner.ClockReading { return runner.ClockReading{ClockMS: h.clockMS} }

// answerHold answers the pending Hold.
func (h *harness) answerHold(running ...runner.ReportedRun) {
	h.report(&runner.Report{Answer: runner.Accepted, Running: running})
}

func (h *harness) report(report *runner.Report) {
	h.t.Helper()
	if h.hold == nil {
		h.t.Fatal("no hold is pending")
	}
	report.Number, report.ClockReading = h.hold.Number, h.reading()
	h.hold = nil
	h.core.Reported(h.now, report)
	h.step(0)
}

// echo answers the last probe.
func (h *harness) echo() {
	h.core.Take(h.now, session, &work.ToSidecar{Echo: h.frame.Probe})
	h.step(0)
}

func (h *harness) offer(task string, needs int64) work.RunID {
	id := work.RunID{Task: task, Run: 1}
	h.core.Take(h.now, session, &work.ToSidecar{Offers: []work.Offer{{
		RunID: id, Needs: work.Needs{MilliCores: needs}, ExpectedMS: 200, StartWithinMS: 400, SlackMS: 100,
	}}})
	h.step(0)
	return id
}

// run offers a task and accepts its Start.
func (h *harness) run(task string, needs int64) work.RunID {
	h.t.Helper()
	id := h.offer(task, needs)
	if len(h.starts) == 0 || h.starts[len(h.starts)-1].Task != task {
		h.t.Fatalf("task %s was not started", task)
	}
	h.core.Started(h.now, "w@1", id, runner.Accepted, h.reading())
	h.step(0)
	return id
}

func TestRunner_StartsWhatFitsAndQueuesTheRest(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 5000)
	h.offer("b.0.0.0", 5000)
	h.run("c.0.0.0", 3000)
	if h.frame.Load == nil || h.frame.Load.WaitMS[2] <= 0 {
		t.Errorf("load %+v, want a wait", h.frame.Load)
	}
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{
		{RunID: work.RunID{Task: "a.0.0.0", Run: 1}, Number: 1, Outcome: work.Done},
	}})
	if last := h.starts[len(h.starts)-1]; last.Task != "b.0.0.0" {
		t.Errorf("last start %+v, want b.0.0.0", last)
	}
	if h.hold == nil || h.hold.Confirmed != 1 {
		t.Errorf("hold %+v, want the end confirmed", h.hold)
	}
}

func TestRunner_SilentWorkerGetsNoTasksAndQueuedOffersAreRefused(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 8000)
	h.answerHold(runner.ReportedRun{RunID: work.RunID{Task: "a.0.0.0", Run: 1}})
	h.offer("b.0.0.0", 5000)
	for range 4 {
		h.step(80 * time.Millisecond)
	}
	if len(h.frame.Refused) != 1 || h.frame.Refused[0].Task != "b.0.0.0" || h.frame.Load.Accepts {
		t.Errorf("refused %v, load %+v", h.frame.Refused, h.frame.Load)
	}
	if len(h.frame.Ended) != 0 {
		t.Errorf("ended %v, want none: the run may continue until its lease expires", h.frame.Ended)
	}
	for range 20 {
		h.step(50 * time.Millisecond)
		h.echo()
	}
	if len(h.frame.Ended) != 1 || h.frame.Ended[0].Outcome != work.Lost {
		t.Errorf("ended %v, want the run lost after its lease has expired", h.frame.Ended)
	}
}

// TestRunner_UnansweredStartCountsWhileItsStopTakesItsTime guards against a task that runs twice: its start was carried out, the answer was
// lost, and the offer was refused while the worker still stopped the run, which it lists neither as running nor as ended meanwhile.
func TestRunner_UnansweredStartCountsWhileItsStopTakesItsTime(t *testing.T) {
	h := newHarness(t)
	id := h.offer("a.0.0.0", 1000)
	h.core.Started(h.now, "w@1", id, runner.NoAnswer, runner.ClockReading{})
	h.step(0)
	if len(h.stops) != 1 || len(h.frame.Refused) != 0 {
		t.Fatalf("stops %v, refused %v", h.stops, h.frame.Refused)
	}
	h.core.Stopped(h.now, "w@1", id, runner.Accepted, h.reading())
	stoppedAt := h.now
	for h.step(0); h.now < stoppedAt+50*time.Millisecond; h.step(10 * time.Millisecond) {
		h.answerHold()
		if len(h.frame.Ended)+len(h.frame.Refused) != 0 {
			t.Fatalf("ended %v, refused %v %v after the stop, want none: a stop takes up to 50 ms", h.frame.Ended, h.frame.Refused, h.now-stoppedAt)
		}
	}
	h.step(10 * time.Millisecond)
	// This report was requested before the time of the stop was over.
	h.answerHold()
	if len(h.frame.Refused) != 0 {
		t.Fatal("the offer was refused before the worker reported its ends")
	}
	h.answerHold()
	if len(h.frame.Refused) != 1 || h.frame.Refused[0].Reason != work.Unanswered || len(h.frame.Ended) != 0 {
		t.Errorf("refused %v, ended %v", h.frame.Refused, h.frame.Ended)
	}
}

func TestRunner_RevokedRunThatCompletedIsReportedAsDone(t *testing.T) {
	h := newHarness(t)
	id := h.offer("a.0.0.0", 1000)
	h.core.Started(h.now, "w@1", id, runner.NoAnswer, runner.ClockReading{})
	h.step(0)
	h.core.Stopped(h.now, "w@1", id, runner.Accepted, h.reading())
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: id, Number: 1, Outcome: work.Done}}})
	if len(h.frame.Refused) != 0 || len(h.frame.Ended) != 1 || h.frame.Ended[0].Outcome != work.Done {
		t.Errorf("refused %v, ended %v", h.frame.Refused, h.frame.Ended)
	}
}

func TestRunner_FenceIsRaisedAfterTheWorkerRejectsIt(t *testing.T) {
	h := newHarness(t)
	id := h.offer("a.0.0.0", 1000)
	first := h.starts[0].Fence
	h.core.Started(h.now, "w@1", id, runner.Fenced, h.reading())
	h.step(20 * time.Millisecond)
	if len(h.starts) != 2 || h.starts[1].Fence <= first {
		t.Errorf("starts %+v", h.starts)
	}
}

func TestRunner_RunOfAPredecessorIsStopped(t *testing.T) {
	h := newHarness(t)
	h.step(2 * time.Second)
	h.answerHold(runner.ReportedRun{RunID: work.RunID{Task: "x.0.0.0", Run: 3}})
	if len(h.stops) != 1 || h.stops[0].Task != "x.0.0.0" {
		t.Errorf("stops %v", h.stops)
	}
}

func TestRunner_EntryThatDoesNotAnswerLosesItsRunsBeforeItsGrantEnds(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 1000)
	answeredAt := h.now
	for len(h.closed) == 0 {
		h.step(10 * time.Millisecond)
		if h.hold != nil {
			h.answerHold(runner.ReportedRun{RunID: work.RunID{Task: "a.0.0.0", Run: 1}})
		}
		if h.now > answeredAt+time.Second {
			t.Fatal("the session is still open after its grant has ended")
		}
	}
	if len(h.stops) == 0 || h.now > answeredAt+runner.DefaultLimits.Grant-runner.DefaultLimits.StopAhead+10*time.Millisecond {
		t.Errorf("stops %v, %v after the answer", h.stops, h.now-answeredAt)
	}
}

func TestRunner_LeaseNeverReachesBeyondAGrant(t *testing.T) {
	h := newHarness(t)
	h.step(400 * time.Millisecond)
	h.offer("a.0.0.0", 1000)
	// The probe was answered 400 ms ago, so 600 ms of its grant are left.
	if lease := h.starts[0].LeaseUntilMS - h.clockMS; lease > 600 {
		t.Errorf("lease of %d ms, want at most the 600 ms that are left of the grant", lease)
	}
}

// TestRunner_LeaseOfAnIdleWorkerNeverReachesBeyondAGrant guards against a hold of an idle worker whose lease outlasts the grant
// with which a task is started later: a lease never shortens. The entry would offer the task elsewhere while it still runs.
func TestRunner_LeaseOfAnIdleWorkerNeverReachesBeyondAGrant(t *testing.T) {
	h := newHarness(t)
	limits := runner.DefaultLimits
	leaseUntil, grantUntil := int64(0), h.clockMS
	for h.now < time.Minute+3*time.Second {
		probe := h.frame.Probe
		h.step(10 * time.Millisecond)
		if h.frame.Probe != probe {
			h.echo()
			grantUntil = h.clockMS + limits.Grant.Milliseconds()
		}
		if h.hold != nil {
			leaseUntil = max(leaseUntil, h.hold.LeaseUntilMS)
			h.answerHold()
		}
		if leaseUntil > grantUntil {
			t.Fatalf("the lease lasts %d ms longer than the grant of a task that is started now", leaseUntil-grantUntil)
		}
	}
	if leaseUntil == 0 {
		t.Error("no hold had a lease")
	}
}

// TestRunner_RunsOfAPredecessorGetNoLease guards against a restarted sidecar that extends runs which it has to stop: their entries
// wait only for the leases that the predecessor gave.
func TestRunner_RunsOfAPredecessorGetNoLease(t *testing.T) {
	h := &harness{t: t, core: runner.New(runner.DefaultLimits, 10), now: time.Minute, clockMS: 5000}
	h.core.Announced(h.now, announcement(1))
	h.core.Open(h.now, session, work.Hello{Entry: "e"})
	h.step(0)
	for range 10 {
		if h.hold != nil && h.hold.LeaseUntilMS != 0 {
			t.Fatalf("hold %+v, want no lease while runs of a predecessor are reported", h.hold)
		}
		if h.hold != nil {
			h.answerHold(runner.ReportedRun{RunID: work.RunID{Task: "x.0.0.0", Run: 3}})
		}
		h.step(10 * time.Millisecond)
	}
	if len(h.stops) == 0 {
		t.Error("the run was not stopped")
	}
}

// TestRunner_StoppedRunEndsOnceItsEndIsListedOrItsStopHasTakenItsTime guards against a run that is reported as ended while the worker
// still stops it, and lists it neither as running nor as ended: its task would be started elsewhere.
func TestRunner_StoppedRunEndsOnceItsEndIsListedOrItsStopHasTakenItsTime(t *testing.T) {
	h := newHarness(t)
	id := h.offer("j.0.0.0", 8000)
	h.core.Take(h.now, session, &work.ToSidecar{Stops: []work.RunID{id}})
	h.step(0)
	// The answer to the start arrives after the stop was sent.
	h.core.Started(h.now, "w@1", id, runner.Accepted, h.reading())
	h.core.Stopped(h.now, "w@1", id, runner.Accepted, h.reading())
	stoppedAt := h.now
	for h.step(time.Millisecond); h.now < stoppedAt+50*time.Millisecond; h.step(10 * time.Millisecond) {
		if h.hold != nil {
			h.answerHold()
		}
		if len(h.frame.Ended)+len(h.frame.Refused) != 0 {
			t.Fatalf("ended %v, refused %v %v after the stop, want none: a stop takes up to 50 ms", h.frame.Ended, h.frame.Refused, h.now-stoppedAt)
		}
	}
	for range 3 {
		h.step(20 * time.Millisecond)
		if h.hold != nil {
			h.answerHold()
		}
	}
	if len(h.frame.Ended) != 1 || h.frame.Ended[0].Outcome != work.Stopped {
		t.Errorf("ended %v, want the run stopped", h.frame.Ended)
	}
}

func TestRunner_NewIncarnationEndsEarlierRuns(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 1000)
	fence := h.starts[0].Fence
	h.restart(announcement(2))
	if len(h.frame.Ended) != 1 || h.frame.Ended[0].Outcome != work.Lost {
		t.Errorf("ended %v", h.frame.Ended)
	}
	if h.hold == nil || h.hold.Incarnation != "w@2" || h.hold.Fence <= fence {
		t.Errorf("hold %+v", h.hold)
	}
}

func TestRunner_LateAnnouncementOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.restart(announcement(2))
	h.answerHold()
	id := h.run("a.0.0.0", 1000)
	h.core.Announced(h.now, announcement(1))
	h.step(0)
	h.answerVerify("w@1", runner.WrongIncarnation)
	h.answerHold(runner.ReportedRun{RunID: id})
	if len(h.frame.Ended) != 0 {
		t.Errorf("ended %v", h.frame.Ended)
	}
}

// TestRunner_AnnouncementOfAnotherWorkerLosesNoRun guards against tasks that ran twice: anyone's announcement took the worker's place,
// its runs were reported as lost and started elsewhere while they went on.
func TestRunner_AnnouncementOfAnotherWorkerLosesNoRun(t *testing.T) {
	for name, answer := range map[string]runner.Answer{
		"another is there": runner.WrongIncarnation, "no answer": runner.NoAnswer, "refused": runner.ConnectionRefused, "unhealthy": runner.Unhealthy,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			id := h.run("a.0.0.0", 1000)
			stranger := announcement(1 << 62)
			stranger.Sequence = 1<<64 - 1
			h.core.Announced(h.now, stranger)
			h.step(0)
			for range 5 {
				if h.verify != nil {
					h.answerVerify(stranger.Incarnation, answer)
				}
				h.answerHold(runner.ReportedRun{RunID: id})
				h.step(60 * time.Millisecond)
			}
			next := announcement(1)
			next.Sequence, next.Capacity.MilliCores = 2, 9000
			h.core.Announced(h.now, next)
			h.offer("b.0.0.0", 1000)
			if len(h.frame.Ended) != 0 || !h.hasStarted("b.0.0.0") || h.hold.Incarnation != "w@1" {
				t.Errorf("ended %v, starts %+v, hold %+v; want the worker to go on", h.frame.Ended, h.starts, h.hold)
			}
		})
	}
}

// TestRunner_UnansweredStartIsRevokedAtTheNextIncarnationToo guards against a task that runs twice: its Start, which had no answer
// when the worker restarted under its ID, is carried out by the new process.
func TestRunner_UnansweredStartIsRevokedAtTheNextIncarnationToo(t *testing.T) {
	h := newHarness(t)
	id := h.offer("a.0.0.0", 1000)
	h.core.Started(h.now, "w@1", id, runner.NoAnswer, runner.ClockReading{})
	h.step(0)
	h.core.Stopped(h.now, "w@1", id, runner.WrongIncarnation, runner.ClockReading{})
	h.restart(announcement(2))
	h.answerHold(runner.ReportedRun{RunID: id})
	if len(h.frame.Ended)+len(h.frame.Refused) != 0 {
		t.Fatalf("ended %v, refused %v while the run goes on", h.frame.Ended, h.frame.Refused)
	}
	if last := h.stops[len(h.stops)-1]; last.Incarnation != "w@2" || last.RunID != id {
		t.Fatalf("stops %+v, want one at the new incarnation", h.stops)
	}
	h.core.Stopped(h.now, "w@2", id, runner.Accepted, h.reading())
	h.step(0)
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: id, Number: 1, Outcome: work.Stopped}}})
	if len(h.frame.Ended) != 1 || h.frame.Ended[0].Outcome != work.Lost {
		t.Errorf("ended %v, want the run lost", h.frame.Ended)
	}
}

// TestRunner_ClockOfThePreviousIncarnationGrantsNoLease guards against a lease beyond the grants: the answer to a Start of the previous incarnation,
// whose clock is ahead, arrives after the new one has taken its place.
func TestRunner_ClockOfThePreviousIncarnationGrantsNoLease(t *testing.T) {
	h := newHarness(t)
	h.clockMS = 500_000
	started := h.offer("a.0.0.0", 1000)
	late := h.reading()
	h.restart(announcement(2))
	h.clockMS = 100
	h.answerHold()
	h.core.Started(h.now, "w@1", started, runner.Accepted, late)
	h.offer("b.0.0.0", 1000)
	h.step(10 * time.Millisecond)
	if last := h.starts[len(h.starts)-1]; last.Task != "b.0.0.0" {
		t.Fatalf("starts %+v, want one of the second task", h.starts)
	}
	orders := []runner.Order{h.hold.Order}
	for _, start := range h.starts {
		orders = append(orders, start.Order)
	}
	for _, stop := range h.stops {
		orders = append(orders, stop.Order)
	}
	for _, order := range orders {
		if order.Incarnation == "w@2" && order.LeaseUntilMS > h.clockMS+runner.DefaultLimits.Lease.Milliseconds() {
			t.Errorf("order %+v to a worker whose clock is %d", order, h.clockMS)
		}
	}
}

// TestRunner_StopAtThePreviousIncarnationRefusesNoOffer guards against a task that runs twice: the answer to a Stop of the previous
// incarnation counts as the stop at the new one, to which its unanswered Start is still on its way.
func TestRunner_StopAtThePreviousIncarnationRefusesNoOffer(t *testing.T) {
	h := newHarness(t)
	id := h.offer("a.0.0.0", 1000)
	h.core.Started(h.now, "w@1", id, runner.NoAnswer, runner.ClockReading{})
	h.step(0)
	h.restart(announcement(2))
	h.core.Stopped(h.now, "w@1", id, runner.Accepted, h.reading())
	for range 20 {
		h.step(10 * time.Millisecond)
		if h.hold != nil {
			h.answerHold()
		}
	}
	if len(h.frame.Ended)+len(h.frame.Refused) != 0 {
		t.Errorf("ended %v, refused %v without a stop at the new incarnation", h.frame.Ended, h.frame.Refused)
	}
}

func TestRunner_LeavingWorkerFinishesRunsAndAcceptsNoOffers(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 8000)
	h.offer("b.0.0.0", 1000)
	leaving := announcement(1)
	leaving.Leaving, leaving.Sequence = true, 2
	h.core.Announced(h.now, leaving)
	h.step(0)
	if len(h.frame.Refused) != 1 || len(h.frame.Ended) != 0 || len(h.stops) != 0 {
		t.Errorf("refused %v, ended %v, stops %v", h.frame.Refused, h.frame.Ended, h.stops)
	}
}

// refuseHolds refuses the connections of all holds for the given time.
func (h *harness) refuseHolds(during time.Duration) {
	h.t.Helper()
	for until := h.now + during; h.now < until; h.step(5 * time.Millisecond) {
		if hold := h.hold; hold != nil {
			if hold.LeaseUntilMS != 0 && h.frame.Load != nil && !h.frame.Load.Accepts {
				h.t.Fatalf("hold %+v renews the lease of a worker that is gone", hold)
			}
			h.hold = nil
			h.core.Reported(h.now, &runner.Report{Answer: runner.ConnectionRefused, Number: hold.Number})
		}
		h.echo()
	}
}

// TestRunner_RefusedConnectionAloneEndsNoRun guards against tasks that ran twice: one refused connection counted as the end of the
// worker and of all its runs, which were started elsewhere while they went on.
func TestRunner_RefusedConnectionAloneEndsNoRun(t *testing.T) {
	for name, refuse := range map[string]func(h *harness, id work.RunID){
		"one hold": func(h *harness, _ work.RunID) { h.refuseHolds(20 * time.Millisecond) },
		"one start": func(h *harness, id work.RunID) {
			h.core.Started(h.now, "w@1", id, runner.ConnectionRefused, runner.ClockReading{})
		},
		"one stop": func(h *harness, id work.RunID) {
			h.core.Take(h.now, session, &work.ToSidecar{Stops: []work.RunID{id}})
			h.step(0)
			h.core.Stopped(h.now, "w@1", id, runner.ConnectionRefused, runner.ClockReading{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			first := h.run("a.0.0.0", 1000)
			second := h.offer("b.0.0.0", 1000)
			refuse(h, second)
			h.step(10 * time.Millisecond)
			h.answerHold(runner.ReportedRun{RunID: first}, runner.ReportedRun{RunID: second})
			h.step(100 * time.Millisecond)
			if len(h.frame.Ended) != 0 {
				t.Errorf("ended %v", h.frame.Ended)
			}
		})
	}
}

// TestRunner_WorkerThatRefusesConnectionsKeepsItsRunsUntilTheLeaseEnds guards against tasks that ran twice: a worker that had refused
// connections for 50 ms counted as ended, and its tasks were started elsewhere while it went on with them.
func TestRunner_WorkerThatRefusesConnectionsKeepsItsRunsUntilTheLeaseEnds(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 1000)
	h.offer("b.0.0.0", 8000)
	h.step(0)
	lease, heard := h.hold.LeaseUntilMS, h.clockMS
	h.refuseHolds(40 * time.Millisecond)
	if len(h.frame.Ended) != 0 || h.frame.Load.Accepts || len(h.frame.Refused) != 1 {
		t.Fatalf("ended %v, refused %v, load %+v; want no more tasks and the run to count", h.frame.Ended, h.frame.Refused, h.frame.Load)
	}
	// The worker's clock may run 2% slower.
	slowest := heard + (lease-heard)*100/98
	for h.clockMS < slowest {
		h.refuseHolds(5 * time.Millisecond)
		if len(h.frame.Ended) != 0 {
			t.Fatalf("at %d: ended %v, before the lease until %d has ended on a slow clock at %d", h.clockMS, h.frame.Ended, lease, slowest)
		}
	}
	h.refuseHolds(100 * time.Millisecond)
	if len(h.frame.Ended) != 1 || h.frame.Ended[0].Outcome != work.Lost {
		t.Errorf("ended %v, want the run lost", h.frame.Ended)
	}
}

// TestRunner_ReplacedWorkerLosesItsRunsAtOnce covers the end of a worker that is replaced before its lease has expired.
func TestRunner_ReplacedWorkerLosesItsRunsAtOnce(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 1000)
	h.refuseHolds(100 * time.Millisecond)
	h.restart(announcement(2))
	if len(h.frame.Ended) != 1 || h.frame.Ended[0].Outcome != work.Lost {
		t.Errorf("ended %v, want the run lost", h.frame.Ended)
	}
}

// TestRunner_WorkerWithAnOpenCallHasNotEnded guards against tasks that ran twice: a worker that only stopped listening, and went on
// with its runs and its open connections, counted as one that had ended.
func TestRunner_WorkerWithAnOpenCallHasNotEnded(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 1000)
	open := h.hold
	// A Hold is repeated while the first one is open.
	for h.hold == open {
		h.step(10 * time.Millisecond)
		h.echo()
	}
	lease := h.hold.LeaseUntilMS
	for len(h.frame.Ended) == 0 && h.clockMS < lease+200 {
		h.refuseHolds(10 * time.Millisecond)
	}
	if len(h.frame.Ended) != 1 || h.clockMS <= lease {
		t.Errorf("at %d: ended %v, want the run lost after its lease until %d", h.clockMS, h.frame.Ended, lease)
	}
}

// TestRunner_WorkerThatRefusedConnectionsKeepsItsRuns covers a worker that listens again before the lease has expired.
func TestRunner_WorkerThatRefusedConnectionsKeepsItsRuns(t *testing.T) {
	h := newHarness(t)
	id := h.run("a.0.0.0", 1000)
	h.refuseHolds(40 * time.Millisecond)
	h.step(30 * time.Millisecond)
	h.answerHold(runner.ReportedRun{RunID: id})
	for range 20 {
		h.step(100 * time.Millisecond)
		h.echo()
		if h.hold != nil {
			h.answerHold(runner.ReportedRun{RunID: id})
		}
	}
	if len(h.frame.Ended) != 0 || !h.frame.Load.Accepts {
		t.Errorf("ended %v, load %+v; want the run to go on under a new lease", h.frame.Ended, h.frame.Load)
	}
}

// TestRunner_PartialReportEndsNoRun guards against runs that counted as lost, since a worker's lists could not be read as a whole.
func TestRunner_PartialReportEndsNoRun(t *testing.T) {
	for _, isPartial := range []bool{true, false} {
		h := newHarness(t)
		h.run("a.0.0.0", 1000)
		for range 3 {
			h.step(20 * time.Millisecond)
			if h.hold != nil {
				h.report(&runner.Report{Answer: runner.Accepted, IsPartial: isPartial})
			}
		}
		if isLost := len(h.frame.Ended) == 1; isLost == isPartial {
			t.Errorf("partial %v: ended %v", isPartial, h.frame.Ended)
		}
	}
}

// newSlowHarness returns a harness whose worker has four runs with a progress of 20% after 200 ms, a fifth of the
// expected speed.
func newSlowHarness(t *testing.T) (*harness, []runner.ReportedRun) {
	t.Helper()
	h := newHarness(t)
	var running []runner.ReportedRun
	for n := range 4 {
		running = append(running, runner.ReportedRun{RunID: h.run(fmt.Sprintf("a.0.0.%d", n), 1000)})
	}
	for range 4 {
		h.step(50 * time.Millisecond)
		for i := range running {
			running[i].Percent += 5
		}
		h.answerHold(running...)
		h.echo()
	}
	return h, running
}

// TestRunner_SlowWorkerIsReported has a worker that runs five times slower than expected. The entry must receive its
// measured speed and a report for each overdue run.
func TestRunner_SlowWorkerIsReported(t *testing.T) {
	h, _ := newSlowHarness(t)
	if h.frame.Load.RunTimePercent < 400 || h.frame.Load.RunTimePercent > 600 {
		t.Errorf("run time is %d%% of the expected one, want about 500", h.frame.Load.RunTimePercent)
	}
	if len(h.frame.Overdue) < 4 || h.frame.Overdue[0].RemainingMS < 600 {
		t.Errorf("overdue %v", h.frame.Overdue)
	}
}

// TestRunner_StalledRunIsStopped has a run without progress on a worker that answers.
func TestRunner_StalledRunIsStopped(t *testing.T) {
	h := newHarness(t)
	id := h.run("a.0.0.0", 1000)
	for range 30 {
		h.step(50 * time.Millisecond)
		h.answerHold(runner.ReportedRun{RunID: id, Percent: 10})
		h.echo()
	}
	if len(h.stops) != 1 {
		t.Fatalf("stops %v", h.stops)
	}
	h.core.Stopped(h.now, "w@1", id, runner.Accepted, h.reading())
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: id, Number: 1, Outcome: work.Stopped}}})
	if len(h.frame.Ended) != 1 || h.frame.Ended[0].Outcome != work.Stalled {
		t.Errorf("ended %v", h.frame.Ended)
	}
}

func TestRunner_LateTaskStartsBeforeOneWithMoreSlack(t *testing.T) {
	h := newHarness(t)
	first := h.run("a.0.0.0", 8000)
	h.offer("late.0.0.0", 8000)
	h.step(150 * time.Millisecond)
	h.echo()
	h.offer("fresh.0.0.0", 8000)
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: first, Number: 1, Outcome: work.Done}}})
	if last := h.starts[len(h.starts)-1]; last.Task != "late.0.0.0" {
		t.Errorf("started %s first", last.Task)
	}
}

// TestRunner_SlowSpeedIsRememberedAfterRunsAreMovedAway has a slow worker whose runs were all moved to other workers. It
// must not be reported as healthy as soon as it is idle; its measured speed decays within seconds.
func TestRunner_SlowSpeedIsRememberedAfterRunsAreMovedAway(t *testing.T) {
	h, running := newSlowHarness(t)
	var ended []runner.ReportedEnd
	for i, run := range running {
		ended = append(ended, runner.ReportedEnd{RunID: run.RunID, Number: uint64(i + 1), Outcome: work.Stopped})
	}
	h.step(50 * time.Millisecond)
	h.report(&runner.Report{Answer: runner.Accepted, Ended: ended})
	h.step(100 * time.Millisecond)
	if h.frame.Load.RunTimePercent < 400 {
		t.Errorf("run time is %d%% of the expected one right after, want at least 400", h.frame.Load.RunTimePercent)
	}
	for range 60 {
		h.step(100 * time.Millisecond)
		if h.hold != nil {
			h.answerHold()
		}
		h.echo()
	}
	if h.frame.Load.RunTimePercent > 150 {
		t.Errorf("run time is %d%% of the expected one six seconds later, want at most 150", h.frame.Load.RunTimePercent)
	}
}

// loadRate returns how many loads a second each entry receives while the worker's load changes constantly.
func loadRate(t *testing.T, entries int) float64 {
	t.Helper()
	h := newHarness(t)
	for id := range entries - 1 {
		h.core.Open(h.now, session+runner.Session(id+1), work.Hello{Entry: fmt.Sprint("e", id)})
	}
	h.run("j.0.0.0", 8000)
	h.offer("j.0.0.1", 8000)
	const span = 200
	sent := 0
	for range span {
		h.now += time.Millisecond
		h.core.Advance(h.now)
		for _, frame := range h.core.Effects().Frames {
			if frame.Load != nil {
				sent++
			}
		}
	}
	return float64(sent) / float64(entries) * 1000 / span
}

func TestRunner_TotalRateOfLoadsIsBounded(t *testing.T) {
	if got := loadRate(t, 4); got < 70 {
		t.Errorf("each of 4 entries received %.0f loads a second, want one about every 10 ms", got)
	}
	for _, entries := range []int{13, 40} {
		if got := loadRate(t, entries) * float64(entries); got > 450 {
			t.Errorf("%d entries received %.0f loads a second, want 400 and those sent with other messages", entries, got)
		}
	}
}

func TestRunner_StartThatIsNotCarriedOutIsRefusedSoon(t *testing.T) {
	h := newHarness(t)
	began := h.now
	id := h.offer("j.0.0.0", 8000)
	h.step(5 * time.Millisecond)
	h.step(30 * time.Millisecond)
	if h.hold == nil || h.hold.Wait != 0 {
		t.Fatalf("hold %+v, want one without a wait", h.hold)
	}
	h.answerHold()
	if len(h.stops) != 1 || h.stops[0].RunID != id {
		t.Fatalf("stops %v, want the start revoked", h.stops)
	}
	if took := h.now - began; took > 35*time.Millisecond {
		t.Errorf("revoked after %v, want 25 ms and the 10 ms that the test steps further", took)
	}
	h.core.Stopped(h.now, "w@1", id, runner.Accepted, h.reading())
	// The wait is the longest time that a stop takes (50 ms) with its margin, and nothing is added to it but a call.
	for stoppedAt := h.now; h.now <= stoppedAt+60*time.Millisecond; {
		h.step(time.Millisecond)
		if h.hold == nil || h.hold.Wait != 0 {
			t.Fatalf("hold %+v %v after the stop, want one without a wait", h.hold, h.now-stoppedAt)
		}
		h.answerHold()
	}
	if len(h.frame.Refused) != 1 || h.frame.Refused[0].Reason != work.Unanswered {
		t.Fatalf("refused %v, want the offer refused", h.frame.Refused)
	}
}

func TestRunner_StartWhoseAnswerIsMissingIsKeptIfItRuns(t *testing.T) {
	h := newHarness(t)
	id := h.offer("j.0.0.0", 8000)
	h.step(30 * time.Millisecond)
	h.answerHold(runner.ReportedRun{RunID: id})
	h.step(30 * time.Millisecond)
	if len(h.stops) != 0 || len(h.frame.Started) != 1 {
		t.Errorf("stops %v, started %v, want the run to continue", h.stops, h.frame.Started)
	}
}

func TestRunner_ReportFromBeforeStartIsOverdueRevokesNothing(t *testing.T) {
	h := newHarness(t)
	h.offer("j.0.0.0", 8000)
	h.step(time.Millisecond)
	h.answerHold()
	h.step(time.Millisecond)
	h.answerHold()
	if len(h.stops) != 0 {
		t.Errorf("stops %v, want none", h.stops)
	}
}

// TestRunner_FailedHoldsAreRetriedWithADelay has a worker that breaks every connection. Retrying it without a delay would
// be a busy loop.
func TestRunner_FailedHoldsAreRetriedWithADelay(t *testing.T) {
	h := newHarness(t)
	h.run("j.0.0.0", 8000)
	h.answerHold()
	holds := 0
	for range 500 {
		if hold := h.hold; hold != nil {
			holds++
			h.hold = nil
			h.core.Reported(h.now, &runner.Report{Number: hold.Number, Answer: runner.NoAnswer})
		}
		h.step(time.Millisecond)
	}
	if holds < 5 || holds > 20 {
		t.Errorf("%d holds in half a second, want one about every 50 ms", holds)
	}
}

// TestRunner_RecoveredWorkerGetsTasksOnceItHasAnswered restarts the sidecar long before the next announcement of the
// worker.
func TestRunner_RecoveredWorkerGetsTasksOnceItHasAnswered(t *testing.T) {
	h := &harness{t: t, core: runner.New(runner.DefaultLimits, 10), now: time.Minute, clockMS: 5000}
	h.core.Open(h.now, session, work.Hello{Entry: "e"})
	h.core.Recover(h.now, announcement(1))
	h.step(0)
	h.echo()
	h.offer("early", 1000)
	if len(h.frame.Refused) != 1 {
		t.Fatal("an offer was accepted before the worker answered")
	}
	h.answerHold()
	h.offer("j", 1000)
	if len(h.starts) != 1 || h.starts[0].Incarnation != "w@1" {
		t.Fatalf("starts %+v", h.starts)
	}
	h.core.Recover(h.now, announcement(7))
	h.restart(announcement(2))
	if h.hold == nil || h.hold.Incarnation != "w@2" {
		t.Errorf("hold %+v, want the incarnation that the worker announced", h.hold)
	}
}

func TestRunner_RecoveredWorkerOfAnotherIncarnationGetsNoTasks(t *testing.T) {
	h := &harness{t: t, core: runner.New(runner.DefaultLimits, 10), now: time.Minute, clockMS: 5000}
	h.core.Open(h.now, session, work.Hello{Entry: "e"})
	h.core.Recover(h.now, announcement(1))
	h.step(0)
	h.echo()
	h.report(&runner.Report{Answer: runner.WrongIncarnation})
	h.offer("j", 1000)
	if len(h.starts) != 0 {
		t.Errorf("starts %+v", h.starts)
	}
}

func TestRunner_RecoveredWorkerThatWasLeavingGetsNoTasks(t *testing.T) {
	h := &harness{t: t, core: runner.New(runner.DefaultLimits, 10), now: time.Minute, clockMS: 5000}
	h.core.Open(h.now, session, work.Hello{Entry: "e"})
	leaving := announcement(1)
	leaving.Leaving = true
	h.core.Recover(h.now, leaving)
	h.step(0)
	h.echo()
	h.answerHold()
	h.offer("j", 1000)
	if len(h.starts) != 0 {
		t.Errorf("starts %+v", h.starts)
	}
}

// Load pattern: nearly full pool, where several entries choose the same worker by loads of some milliseconds ago. An offer
// that the worker can't start in time returns at once with the current load, while it can still start elsewhere.
func TestRunner_OfferThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.run("a.0.0.0", 8000)
	offer := func(task string, startWithinMS int64) {
		h.core.Take(h.now, session, &work.ToSidecar{Offers: []work.Offer{{
			RunID: work.RunID{Task: task, Run: 1}, Needs: work.Needs{MilliCores: 5000}, ExpectedMS: 200,
			StartWithinMS: startWithinMS, SlackMS: 100,
		}}})
		h.step(0)
	}
	offer("b.0.0.0", 10)
	if len(h.frame.Refused) != 1 || h.frame.Refused[0].Reason != work.Full {
		t.Fatalf("refused %+v, want b.0.0.0 as full: the only run is expected to end in 200 ms", h.frame.Refused)
	}
	if h.frame.Load == nil || h.frame.Load.WaitMS[0] < 100 {
		t.Errorf("load %+v with the refusal, want the current wait", h.frame.Load)
	}
	offer("c.0.0.0", 400)
	if len(h.frame.Refused) != 1 {
		t.Errorf("refused %+v, want c.0.0.0 queued", h.frame.Refused)
	}
}

// Load pattern: a worker that leaves calls unanswered. The answer to a Hold that waits for ends may be lost; the end must
// not stay unknown, and its capacity unused, for as long as a Hold may wait.
func TestRunner_LostAnswerOfAWaitingHoldHidesNoEndForLong(t *testing.T) {
	h := newHarness(t)
	id := h.run("a.0.0.0", 8000)
	h.answerHold(runner.ReportedRun{RunID: id})
	lost := h.hold
	if lost == nil || lost.Wait == 0 {
		t.Fatalf("hold %+v, want one that waits", lost)
	}
	sent := h.now
	for h.hold == lost && h.now < sent+lost.Wait {
		h.step(5 * time.Millisecond)
	}
	if h.hold == lost || h.now-sent > lost.Wait/2 {
		t.Fatalf("no other hold %v after the first, which waits for %v", h.now-sent, lost.Wait)
	}
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: id, Number: 1, Outcome: work.Done}}})
	if len(h.frame.Ended) != 1 {
		t.Errorf("ended %+v, want the end", h.frame.Ended)
	}
}

// Load pattern: hundreds of sessions, of which few have runs. A session without runs costs few probes, and its entry's next
// task starts at once.
func TestRunner_SessionWithoutRunsIsProbedSeldom(t *testing.T) {
	h := newHarness(t)
	probes, last := 0, h.frame.Probe
	for span := time.Duration(0); span < 6*time.Second; span += 20 * time.Millisecond {
		h.step(20 * time.Millisecond)
		if h.frame.Probe != last {
			probes, last = probes+1, h.frame.Probe
			h.echo()
		}
		if h.hold != nil {
			h.answerHold()
		}
	}
	if probes > 18 {
		t.Errorf("%d probes in 6 s, want at most three a second", probes)
	}
	h.run("a.0.0.0", 1000)
	if h.frame.Probe == last {
		h.step(200 * time.Millisecond)
	}
	if h.frame.Probe == last {
		t.Error("a session with a run was not probed within 200 ms")
	}
}

// TestRunner_RefusedConnectionsAreLoggedWithTheirEvidence covers what tells a worker that refuses connections and goes on with its runs
// from one that has ended, and from one that has started again.
func TestRunner_RefusedConnectionsAreLoggedWithTheirEvidence(t *testing.T) {
	h := newHarness(t)
	id := h.run("a.0.0.0", 1000)
	h.step(20 * time.Millisecond)
	h.core.Reported(h.now, &runner.Report{Answer: runner.ConnectionRefused, Number: h.hold.Number, Failure: "dial: connection refused"})
	for range 3 {
		h.step(10 * time.Millisecond)
	}
	h.answerHold(runner.ReportedRun{RunID: id})
	var found []runner.Note
	for _, note := range h.notes {
		if note.Kind == runner.ConnectionsRefused || note.Kind == runner.ConnectionsAccepted {
			found = append(found, note)
		}
	}
	if len(found) != 2 {
		t.Fatalf("notes %+v, want one of the refusal and one of the answer", h.notes)
	}
	for _, note := range found {
		e := note.Evidence
		if e.Incarnation != "w@1" || e.Failure != "dial: connection refused" || e.AnsweredHold == 0 || e.LeaseLeft < 900*time.Millisecond || e.Runs != 1 {
			t.Errorf("evidence %+v of note %d", e, note.Kind)
		}
	}
	if e := found[1].Evidence; e.Listed != 1 || e.RefusedFor < 20*time.Millisecond {
		t.Errorf("evidence %+v of the answer, want the run that went on and the time of the refusals", e)
	}
}
