package runner_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// bench holds a runner with one session, and answers its calls by hand.
type bench struct {
	t       *testing.T
	core    *runner.Runner
	now     time.Duration
	starts  []runner.Start
	stops   []runner.Stop
	hold    *runner.Hold
	frame   work.ToEntry
	closed  []runner.Session
	clockMS int64
}

const session runner.Session = 1

// newBench returns a runner whose worker is known and whose entry has answered a probe.
func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, core: runner.New(runner.DefaultLimits, 10), now: time.Minute, clockMS: 5000}
	b.core.Announced(b.now, announcement(1))
	b.core.Open(b.now, session, work.Hello{Entry: "e"})
	b.step(0)
	b.answerHold()
	b.echo()
	return b
}

func announcement(life int64) runner.Announcement {
	return runner.Announcement{Born: life, Sequence: 1, Worker: work.Worker{
		Incarnation: fmt.Sprintf("w@%d", life), Pool: "p", Capacity: work.Needs{MilliCores: 8000, MemoryMB: 1000},
	}}
}

// step lets time pass and gathers the effects.
func (b *bench) step(d time.Duration) {
	b.now += d
	b.clockMS += d.Milliseconds()
	b.core.Advance(b.now)
	effects := b.core.Effects()
	b.starts = append(b.starts, effects.Starts...)
	b.stops = append(b.stops, effects.Stops...)
	b.closed = append(b.closed, effects.Close...)
	if effects.Hold != nil {
		b.hold = effects.Hold
	}
	for _, frame := range effects.Frames {
		if frame.Probe != 0 {
			b.frame.Probe = frame.Probe
		}
		if frame.Load != nil {
			b.frame.Load = frame.Load
		}
		b.frame.Started = append(b.frame.Started, frame.Started...)
		b.frame.Ended = append(b.frame.Ended, frame.Ended...)
		b.frame.Refused = append(b.frame.Refused, frame.Refused...)
		b.frame.Overdue = append(b.frame.Overdue, frame.Overdue...)
	}
}

func (b *bench) reading() runner.Reading { return runner.Reading{ClockMS: b.clockMS} }

// answerHold answers the hold under way.
func (b *bench) answerHold(running ...runner.Listed) {
	b.report(&runner.Report{Answer: runner.Accepted, Running: running})
}

func (b *bench) report(report *runner.Report) {
	b.t.Helper()
	if b.hold == nil {
		b.t.Fatal("no hold is under way")
	}
	report.Number, report.Reading = b.hold.Number, b.reading()
	b.hold = nil
	b.core.Reported(b.now, report)
	b.step(0)
}

// echo answers the last probe.
func (b *bench) echo() {
	b.core.Take(b.now, session, &work.ToSidecar{Echo: b.frame.Probe})
	b.step(0)
}

func (b *bench) offer(task string, needs int64) work.RunID {
	id := work.RunID{Task: task, Run: 1}
	b.core.Take(b.now, session, &work.ToSidecar{Offers: []work.Offer{{
		RunID: id, Needs: work.Needs{MilliCores: needs}, ExpectedMS: 200, StartWithinMS: 400, SlackMS: 100,
	}}})
	b.step(0)
	return id
}

// run offers a task and confirms its start.
func (b *bench) run(task string, needs int64) work.RunID {
	b.t.Helper()
	id := b.offer(task, needs)
	if len(b.starts) == 0 || b.starts[len(b.starts)-1].Task != task {
		b.t.Fatalf("task %s is not started", task)
	}
	b.core.Started(b.now, id, runner.Accepted, b.reading())
	b.step(0)
	return id
}

func TestRunner_StartsWhatFitsAndQueuesTheRest(t *testing.T) {
	b := newBench(t)
	b.run("a.0.0.0", 5000)
	b.offer("b.0.0.0", 5000)
	b.run("c.0.0.0", 3000)
	if b.frame.Load == nil || b.frame.Load.WaitMS[2] <= 0 {
		t.Errorf("load %+v, want a wait", b.frame.Load)
	}
	b.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ListedEnd{
		{RunID: work.RunID{Task: "a.0.0.0", Run: 1}, Number: 1, Outcome: work.Done},
	}})
	if last := b.starts[len(b.starts)-1]; last.Task != "b.0.0.0" {
		t.Errorf("started last: %+v", last)
	}
	if b.hold == nil || b.hold.Confirmed != 1 {
		t.Errorf("hold %+v, want the end confirmed", b.hold)
	}
}

func TestRunner_SilentWorkerGetsNoMoreAndGivesBackWhatWaits(t *testing.T) {
	b := newBench(t)
	b.run("a.0.0.0", 8000)
	b.answerHold(runner.Listed{RunID: work.RunID{Task: "a.0.0.0", Run: 1}})
	b.offer("b.0.0.0", 5000)
	for range 4 {
		b.step(80 * time.Millisecond)
	}
	if len(b.frame.Refused) != 1 || b.frame.Refused[0].Task != "b.0.0.0" || b.frame.Load.Accepts {
		t.Errorf("refused %v, load %+v", b.frame.Refused, b.frame.Load)
	}
	if len(b.frame.Ended) != 0 {
		t.Errorf("ended %v: the run may go on until its lease lapses", b.frame.Ended)
	}
	for range 20 {
		b.step(50 * time.Millisecond)
		b.echo()
	}
	if len(b.frame.Ended) != 1 || b.frame.Ended[0].Outcome != work.Lost {
		t.Errorf("ended %v, want the run lost with its lease", b.frame.Ended)
	}
}

func TestRunner_UnansweredStartIsRevokedBeforeItIsGivenBack(t *testing.T) {
	b := newBench(t)
	id := b.offer("a.0.0.0", 1000)
	b.core.Started(b.now, id, runner.NoAnswer, runner.Reading{})
	b.step(0)
	if len(b.stops) != 1 || len(b.frame.Refused) != 0 {
		t.Fatalf("stops %v, refused %v", b.stops, b.frame.Refused)
	}
	b.core.Stopped(b.now, id, runner.Accepted, b.reading())
	b.step(0)
	if len(b.frame.Refused) != 0 {
		t.Fatal("given back before a list of ends was seen")
	}
	b.answerHold()
	if len(b.frame.Refused) != 1 || b.frame.Refused[0].Reason != work.Unanswered {
		t.Errorf("refused %v", b.frame.Refused)
	}
}

func TestRunner_RevokedStartThatWasDoneIsToldAsDone(t *testing.T) {
	b := newBench(t)
	id := b.offer("a.0.0.0", 1000)
	b.core.Started(b.now, id, runner.NoAnswer, runner.Reading{})
	b.step(0)
	b.core.Stopped(b.now, id, runner.Accepted, b.reading())
	b.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ListedEnd{{RunID: id, Number: 1, Outcome: work.Done}}})
	if len(b.frame.Refused) != 0 || len(b.frame.Ended) != 1 || b.frame.Ended[0].Outcome != work.Done {
		t.Errorf("refused %v, ended %v", b.frame.Refused, b.frame.Ended)
	}
}

func TestRunner_FenceRisesUntilTheWorkerTakesIt(t *testing.T) {
	b := newBench(t)
	id := b.offer("a.0.0.0", 1000)
	first := b.starts[0].Fence
	b.core.Started(b.now, id, runner.Fenced, b.reading())
	b.step(20 * time.Millisecond)
	if len(b.starts) != 2 || b.starts[1].Fence <= first {
		t.Errorf("starts %+v", b.starts)
	}
}

func TestRunner_RunOfAPredecessorIsStopped(t *testing.T) {
	b := newBench(t)
	b.step(2 * time.Second)
	b.answerHold(runner.Listed{RunID: work.RunID{Task: "x.0.0.0", Run: 3}})
	if len(b.stops) != 1 || b.stops[0].Task != "x.0.0.0" {
		t.Errorf("stops %v", b.stops)
	}
}

func TestRunner_EntryThatDoesNotAnswerLosesItsRunsBeforeItsGrantEnds(t *testing.T) {
	b := newBench(t)
	b.run("a.0.0.0", 1000)
	answeredAt := b.now
	for len(b.closed) == 0 {
		b.step(10 * time.Millisecond)
		if b.hold != nil {
			b.answerHold(runner.Listed{RunID: work.RunID{Task: "a.0.0.0", Run: 1}})
		}
		if b.now > answeredAt+time.Second {
			t.Fatal("the session goes on after its grant")
		}
	}
	if len(b.stops) == 0 || b.now > answeredAt+runner.DefaultLimits.Grant-runner.DefaultLimits.StopAhead+10*time.Millisecond {
		t.Errorf("stops %v, %v after the answer", b.stops, b.now-answeredAt)
	}
}

func TestRunner_LeaseNeverReachesBeyondAGrant(t *testing.T) {
	b := newBench(t)
	b.step(400 * time.Millisecond)
	b.offer("a.0.0.0", 1000)
	// The probe was answered 400 ms ago, so 600 ms of its grant are left.
	if lease := b.starts[0].LeaseUntilMS - b.clockMS; lease > 600 {
		t.Errorf("a lease of %d ms, 600 ms before the grant ends", lease)
	}
}

func TestRunner_NewLifeOfTheWorkerEndsWhatRan(t *testing.T) {
	b := newBench(t)
	b.run("a.0.0.0", 1000)
	fence := b.starts[0].Fence
	b.core.Announced(b.now, announcement(2))
	b.step(0)
	if len(b.frame.Ended) != 1 || b.frame.Ended[0].Outcome != work.Lost {
		t.Errorf("ended %v", b.frame.Ended)
	}
	if b.hold == nil || b.hold.Incarnation != "w@2" || b.hold.Fence <= fence {
		t.Errorf("hold %+v", b.hold)
	}
}

func TestRunner_LateHeartbeatOfAnEarlierLifeIsIgnored(t *testing.T) {
	b := newBench(t)
	b.core.Announced(b.now, announcement(2))
	b.step(0)
	b.answerHold()
	b.run("a.0.0.0", 1000)
	b.core.Announced(b.now, announcement(1))
	b.step(0)
	if len(b.frame.Ended) != 0 {
		t.Errorf("ended %v", b.frame.Ended)
	}
}

func TestRunner_LeavingWorkerFinishesAndTakesNothing(t *testing.T) {
	b := newBench(t)
	b.run("a.0.0.0", 8000)
	b.offer("b.0.0.0", 1000)
	leaving := announcement(1)
	leaving.Leaving, leaving.Sequence = true, 2
	b.core.Announced(b.now, leaving)
	b.step(0)
	if len(b.frame.Refused) != 1 || len(b.frame.Ended) != 0 || len(b.stops) != 0 {
		t.Errorf("refused %v, ended %v, stops %v", b.frame.Refused, b.frame.Ended, b.stops)
	}
}

func TestRunner_RefusedConnectionMeansThatNothingRuns(t *testing.T) {
	b := newBench(t)
	b.run("a.0.0.0", 1000)
	b.report(&runner.Report{Answer: runner.ConnectionRefused})
	if len(b.frame.Ended) != 1 || b.frame.Ended[0].Outcome != work.Lost || b.frame.Load.Accepts {
		t.Errorf("ended %v, load %+v", b.frame.Ended, b.frame.Load)
	}
}

// newSlowBench returns a bench whose worker has four runs that each came to 20% in 200 ms, a fifth of the speed expected.
func newSlowBench(t *testing.T) (*bench, []runner.Listed) {
	t.Helper()
	b := newBench(t)
	var listed []runner.Listed
	for n := range 4 {
		listed = append(listed, runner.Listed{RunID: b.run(fmt.Sprintf("a.0.0.%d", n), 1000)})
	}
	for range 4 {
		b.step(50 * time.Millisecond)
		for i := range listed {
			listed[i].Percent += 5
		}
		b.answerHold(listed...)
		b.echo()
	}
	return b, listed
}

// TestRunner_SlowWorkerIsTold replays a worker that turns five times slower: its pace is told, and each run that will
// be late.
func TestRunner_SlowWorkerIsTold(t *testing.T) {
	b, _ := newSlowBench(t)
	if b.frame.Load.RunTimePercent < 400 || b.frame.Load.RunTimePercent > 600 {
		t.Errorf("pace %d%%, want about 500", b.frame.Load.RunTimePercent)
	}
	if len(b.frame.Overdue) < 4 || b.frame.Overdue[0].RemainingMS < 600 {
		t.Errorf("behind %v", b.frame.Overdue)
	}
}

// TestRunner_StalledRunIsStopped replays a run whose progress stands still on a worker that answers.
func TestRunner_StalledRunIsStopped(t *testing.T) {
	b := newBench(t)
	id := b.run("a.0.0.0", 1000)
	for range 30 {
		b.step(50 * time.Millisecond)
		b.answerHold(runner.Listed{RunID: id, Percent: 10})
		b.echo()
	}
	if len(b.stops) != 1 {
		t.Fatalf("stops %v", b.stops)
	}
	b.core.Stopped(b.now, id, runner.Accepted, b.reading())
	b.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ListedEnd{{RunID: id, Number: 1, Outcome: work.Stopped}}})
	if len(b.frame.Ended) != 1 || b.frame.Ended[0].Outcome != work.Stalled {
		t.Errorf("ended %v", b.frame.Ended)
	}
}

func TestRunner_LateTaskGoesBeforeOneThatHasTime(t *testing.T) {
	b := newBench(t)
	first := b.run("a.0.0.0", 8000)
	b.offer("late.0.0.0", 8000)
	b.step(150 * time.Millisecond)
	b.echo()
	b.offer("fresh.0.0.0", 8000)
	b.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ListedEnd{{RunID: first, Number: 1, Outcome: work.Done}}})
	if last := b.starts[len(b.starts)-1]; last.Task != "late.0.0.0" {
		t.Errorf("started %s first", last.Task)
	}
}

// TestRunner_SlowWorkerIsRememberedWhenItsRunsAreTakenAway replays a slow worker whose runs were all moved: it is not told
// as sound the moment it is idle, and its pace fades within seconds.
func TestRunner_SlowWorkerIsRememberedWhenItsRunsAreTakenAway(t *testing.T) {
	b, listed := newSlowBench(t)
	var ended []runner.ListedEnd
	for i, one := range listed {
		ended = append(ended, runner.ListedEnd{RunID: one.RunID, Number: uint64(i + 1), Outcome: work.Stopped})
	}
	b.step(50 * time.Millisecond)
	b.report(&runner.Report{Answer: runner.Accepted, Ended: ended})
	b.step(100 * time.Millisecond)
	if b.frame.Load.RunTimePercent < 400 {
		t.Errorf("pace %d%% right after", b.frame.Load.RunTimePercent)
	}
	for range 60 {
		b.step(100 * time.Millisecond)
		if b.hold != nil {
			b.answerHold()
		}
		b.echo()
	}
	if b.frame.Load.RunTimePercent > 150 {
		t.Errorf("pace %d%% six seconds later", b.frame.Load.RunTimePercent)
	}
}

// loadsTold returns how many loads a second reach each entry while the worker's load changes all the time.
func loadsTold(t *testing.T, entries int) float64 {
	t.Helper()
	b := newBench(t)
	for id := range entries - 1 {
		b.core.Open(b.now, session+runner.Session(id+1), work.Hello{Entry: fmt.Sprint("e", id)})
	}
	b.run("j.0.0.0", 8000)
	b.offer("j.0.0.1", 8000)
	const span = 200
	told := 0
	for range span {
		b.now += time.Millisecond
		b.core.Advance(b.now)
		for _, frame := range b.core.Effects().Frames {
			if frame.Load != nil {
				told++
			}
		}
	}
	return float64(told) / float64(entries) * 1000 / span
}

func TestRunner_LoadsOfAllEntriesTogetherAreBounded(t *testing.T) {
	if got := loadsTold(t, 4); got < 70 {
		t.Errorf("each of 4 entries was told %.0f loads in a second, want one about every 10 ms", got)
	}
	for _, entries := range []int{13, 40} {
		if got := loadsTold(t, entries) * float64(entries); got > 450 {
			t.Errorf("%d entries were told %.0f loads in a second, want 400 and what goes with other news", entries, got)
		}
	}
}

func TestRunner_StartThatIsNotCarriedOutIsGivenBackSoon(t *testing.T) {
	b := newBench(t)
	began := b.now
	id := b.offer("j.0.0.0", 8000)
	b.step(5 * time.Millisecond)
	b.step(30 * time.Millisecond)
	if b.hold == nil || b.hold.Wait != 0 {
		t.Fatalf("hold %+v, want one that asks at once what runs", b.hold)
	}
	b.answerHold()
	if len(b.stops) != 1 || b.stops[0].RunID != id {
		t.Fatalf("stops %v, want the start to be revoked", b.stops)
	}
	b.core.Stopped(b.now, id, runner.Accepted, b.reading())
	b.step(time.Millisecond)
	b.answerHold()
	if len(b.frame.Refused) != 1 || b.frame.Refused[0].Reason != work.Unanswered {
		t.Fatalf("refused %v, want the task to be given back", b.frame.Refused)
	}
	if took := b.now - began; took > 50*time.Millisecond {
		t.Errorf("given back after %v, want less than the slack of a short job", took)
	}
}

func TestRunner_StartWhoseAnswerIsMissingIsKeptIfItRuns(t *testing.T) {
	b := newBench(t)
	id := b.offer("j.0.0.0", 8000)
	b.step(30 * time.Millisecond)
	b.answerHold(runner.Listed{RunID: id})
	b.step(30 * time.Millisecond)
	if len(b.stops) != 0 || len(b.frame.Started) != 1 {
		t.Errorf("stops %v, started %v, want the run to go on", b.stops, b.frame.Started)
	}
}

func TestRunner_ReportFromBeforeTheDoubtRevokesNothing(t *testing.T) {
	b := newBench(t)
	b.offer("j.0.0.0", 8000)
	b.step(time.Millisecond)
	b.answerHold()
	b.step(time.Millisecond)
	b.answerHold()
	if len(b.stops) != 0 {
		t.Errorf("stops %v, want the start to be waited for", b.stops)
	}
}

// TestRunner_HoldsThatFailAtOnceAreRepeatedWithPauses answers every call as a worker does that breaks its connections.
func TestRunner_HoldsThatFailAtOnceAreRepeatedWithPauses(t *testing.T) {
	b := newBench(t)
	b.run("j.0.0.0", 8000)
	b.answerHold()
	holds := 0
	for range 500 {
		if hold := b.hold; hold != nil {
			holds++
			b.hold = nil
			b.core.Reported(b.now, &runner.Report{Number: hold.Number, Answer: runner.NoAnswer})
		}
		b.step(time.Millisecond)
	}
	if holds < 5 || holds > 20 {
		t.Errorf("%d holds in half a second, want one about every 50 ms", holds)
	}
}

// TestRunner_RecalledWorkerGetsTasksOnceItHasAnswered replays a restart of the sidecar long before the worker announces itself
// again.
func TestRunner_RecalledWorkerGetsTasksOnceItHasAnswered(t *testing.T) {
	b := &bench{t: t, core: runner.New(runner.DefaultLimits, 10), now: time.Minute, clockMS: 5000}
	b.core.Open(b.now, session, work.Hello{Entry: "e"})
	b.core.Recall(b.now, announcement(1))
	b.step(0)
	b.echo()
	b.offer("early", 1000)
	if len(b.frame.Refused) != 1 {
		t.Fatal("a task was taken before the worker has answered")
	}
	b.answerHold()
	b.offer("j", 1000)
	if len(b.starts) != 1 || b.starts[0].Incarnation != "w@1" {
		t.Fatalf("starts %+v", b.starts)
	}
	b.core.Recall(b.now, announcement(7))
	b.core.Announced(b.now, announcement(2))
	b.step(0)
	if b.hold == nil || b.hold.Incarnation != "w@2" {
		t.Errorf("hold %+v, want the worker as it announces itself", b.hold)
	}
}

func TestRunner_RecalledWorkerOfAnotherLifeGetsNothing(t *testing.T) {
	b := &bench{t: t, core: runner.New(runner.DefaultLimits, 10), now: time.Minute, clockMS: 5000}
	b.core.Open(b.now, session, work.Hello{Entry: "e"})
	b.core.Recall(b.now, announcement(1))
	b.step(0)
	b.echo()
	b.report(&runner.Report{Answer: runner.WrongIncarnation})
	b.offer("j", 1000)
	if len(b.starts) != 0 {
		t.Errorf("starts %+v", b.starts)
	}
}

func TestRunner_RecalledWorkerThatWasLeavingGetsNothing(t *testing.T) {
	b := &bench{t: t, core: runner.New(runner.DefaultLimits, 10), now: time.Minute, clockMS: 5000}
	b.core.Open(b.now, session, work.Hello{Entry: "e"})
	said := announcement(1)
	said.Leaving = true
	b.core.Recall(b.now, said)
	b.step(0)
	b.echo()
	b.answerHold()
	b.offer("j", 1000)
	if len(b.starts) != 0 {
		t.Errorf("starts %+v", b.starts)
	}
}
