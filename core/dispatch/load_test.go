package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// desk is a dispatcher with workers that the test plays.
type desk struct {
	t       *testing.T
	core    *dispatch.Dispatcher
	now     time.Duration
	offers  map[string][]work.Offer
	stops   map[string][]work.RunID
	answers map[string]dispatch.Answer
	asks    []dispatch.ProgressRequest
}

// newDesk returns a dispatcher with idle workers of 32 cores.
func newDesk(t *testing.T, workers int) *desk {
	t.Helper()
	d := &desk{
		t: t, core: dispatch.New(dispatch.DefaultLimits, "a", 1), now: time.Minute,
		offers: map[string][]work.Offer{}, stops: map[string][]work.RunID{}, answers: map[string]dispatch.Answer{},
	}
	for n := range workers {
		id := fmt.Sprintf("s%d", n)
		d.core.Opened(d.now, id, "a")
		d.core.Attached(d.now, id, true)
		d.core.Take(d.now, id, &work.ToEntry{
			Worker: &work.Worker{Incarnation: id, Pool: "p", Capacity: work.Needs{MilliCores: 32000, MemoryMB: 64000}, Labels: []string{"r" + id}},
			Load:   &work.Load{Accepts: true},
		})
	}
	return d
}

func (d *desk) step(by time.Duration) {
	d.now += by
	d.core.Advance(d.now)
	effects := d.core.Effects()
	for _, frame := range effects.Frames {
		d.offers[frame.Worker] = append(d.offers[frame.Worker], frame.Offers...)
		d.stops[frame.Worker] = append(d.stops[frame.Worker], frame.Stops...)
	}
	d.asks = append(d.asks, effects.ProgressRequests...)
	for _, answer := range effects.Answers {
		d.answers[answer.Job] = answer
	}
}

func (d *desk) submit(id string, tasks int, expected time.Duration) {
	d.core.Submit(d.now, submission(id, tasks, expected))
	d.step(0)
}

func submission(id string, tasks int, expected time.Duration) dispatch.Submission {
	return dispatch.Submission{
		ID: id, Timeout: 2 * time.Second,
		Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 2, Slack: 1.6, Target: 60 * time.Millisecond},
		Steps: []dispatch.Step{{Count: tasks, Needs: work.Needs{MilliCores: 3100}, Expected: expected}},
	}
}

func (d *desk) load(worker string, load work.Load) {
	load.Accepts = true
	load.LastSequence = 1 << 30
	d.core.Take(d.now, worker, &work.ToEntry{Load: &load})
	d.step(0)
}

func (d *desk) ended(worker string, id work.RunID, outcome work.Outcome) {
	d.core.Take(d.now, worker, &work.ToEntry{Ended: []work.Ended{{RunID: id, Outcome: outcome, RanMS: 50}}})
	d.step(0)
}

func (d *desk) total() int {
	total := 0
	for _, offers := range d.offers {
		total += len(offers)
	}
	return total
}

func TestLoad_WideJobIsSpreadOverTheWorkers(t *testing.T) {
	d := newDesk(t, 4)
	d.submit("j", 20, 60*time.Millisecond)
	for worker, offers := range d.offers {
		if len(offers) < 4 || len(offers) > 6 {
			t.Errorf("%s got %d of 20 tasks", worker, len(offers))
		}
	}
}

// TestLoad_BurstIsRefusedAtOnce replays a burst: once all workers are full and their queues long, a short job is refused
// without having been offered, with a time to come back, and a long one that can wait is still taken.
func TestLoad_BurstIsRefusedAtOnce(t *testing.T) {
	d := newDesk(t, 2)
	for _, worker := range []string{"s0", "s1"} {
		d.load(worker, work.Load{Committed: work.Needs{MilliCores: 40000}, WaitMS: [work.SlackLevels]int64{20, 20, 20}})
	}
	d.submit("short", 2, 60*time.Millisecond)
	if got := d.answers["short"]; got.Result != dispatch.Refused || got.Cause != dispatch.Overloaded || got.RetryAfter <= 0 {
		t.Errorf("short job: %+v", got)
	}
	d.submit("long", 1, 900*time.Millisecond)
	if got, answered := d.answers["long"]; answered || d.total() != 1 {
		t.Errorf("long job: %+v, %d offers", got, d.total())
	}
}

func TestLoad_SlowedWorkerGetsNoNewTasksWhileOthersAreIdle(t *testing.T) {
	d := newDesk(t, 2)
	d.load("s0", work.Load{RunTimePercent: 500})
	d.submit("j", 4, 200*time.Millisecond)
	if len(d.offers["s0"]) != 0 {
		t.Errorf("the slow worker got %d tasks", len(d.offers["s0"]))
	}
}

// TestLoad_RunOnASlowedWorkerIsMoved replays a worker that turns slow while a job runs there.
func TestLoad_RunOnASlowedWorkerIsMoved(t *testing.T) {
	d := newDesk(t, 2)
	d.submit("j", 1, 200*time.Millisecond)
	slow, other := "s0", "s1"
	if len(d.offers["s1"]) > 0 {
		slow, other = other, slow
	}
	id := d.offers[slow][0].RunID
	d.core.Take(d.now, slow, &work.ToEntry{Started: []work.RunID{id}})
	d.step(100 * time.Millisecond)
	d.core.Take(d.now, slow, &work.ToEntry{SlowRuns: []work.SlowRun{{RunID: id, RemainingMS: 900}}})
	d.step(0)
	if len(d.stops[slow]) != 0 {
		t.Fatal("a run that is longer than expected on a sound worker was stopped")
	}
	d.load(slow, work.Load{RunTimePercent: 400})
	d.core.Take(d.now, slow, &work.ToEntry{SlowRuns: []work.SlowRun{{RunID: id, RemainingMS: 150}}})
	d.step(0)
	if len(d.stops[slow]) != 0 {
		t.Fatal("a run that will be in time was stopped")
	}
	d.core.Take(d.now, slow, &work.ToEntry{SlowRuns: []work.SlowRun{{RunID: id, RemainingMS: 900}}})
	d.step(0)
	if len(d.stops[slow]) != 1 || len(d.offers[other]) != 0 {
		t.Fatalf("stops %v, offers elsewhere %v", d.stops[slow], d.offers[other])
	}
	d.ended(slow, id, work.Stopped)
	if len(d.offers[other]) != 1 || d.offers[other][0].Run != 2 {
		t.Errorf("offers elsewhere %v", d.offers[other])
	}
}

func TestJob_FailedTaskIsTriedElsewhereAsOftenAsTheQueueAllows(t *testing.T) {
	d := newDesk(t, 2)
	d.submit("j", 1, 60*time.Millisecond)
	first := "s0"
	if len(d.offers["s1"]) > 0 {
		first = "s1"
	}
	d.ended(first, d.offers[first][0].RunID, work.Failed)
	second := map[string]string{"s0": "s1", "s1": "s0"}[first]
	if len(d.offers[second]) != 1 {
		t.Fatalf("offers %v", d.offers)
	}
	d.ended(second, d.offers[second][0].RunID, work.Failed)
	if got := d.answers["j"]; got.Result != dispatch.JobFailed || got.Cause != dispatch.TaskFailed {
		t.Errorf("answer %+v", got)
	}
}

func TestJob_LaterStepWaitsForTheEarlierOne(t *testing.T) {
	d := newDesk(t, 2)
	s := submission("j", 1, 60*time.Millisecond)
	s.Steps = append(s.Steps, dispatch.Step{Count: 1, Needs: work.Needs{MilliCores: 100}, After: []int{0}, Label: "rs1"})
	d.core.Submit(d.now, s)
	d.step(0)
	if d.total() != 1 {
		t.Fatalf("%d offers before the first step is done", d.total())
	}
	for worker, offers := range d.offers {
		d.ended(worker, offers[0].RunID, work.Done)
	}
	last := d.offers["s1"][len(d.offers["s1"])-1]
	if last.Task != "j.0.1.0" {
		t.Fatalf("offers %v", d.offers)
	}
	d.ended("s1", last.RunID, work.Done)
	if d.answers["j"].Result != dispatch.Completed {
		t.Errorf("answer %+v", d.answers["j"])
	}
}

func TestJob_CallerWhoLeavesStopsIt(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("j", 2, 60*time.Millisecond)
	d.core.CallerLeft(d.now, "j")
	d.step(0)
	if len(d.stops["s0"]) != 2 || d.answers["j"].Result != dispatch.GivenUp {
		t.Errorf("stops %v, answer %+v", d.stops["s0"], d.answers["j"])
	}
}

func TestJob_DeadlinePassesAtOnce(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("j", 1, 60*time.Millisecond)
	d.step(2 * time.Second)
	if d.answers["j"].Result != dispatch.GivenUp || len(d.stops["s0"]) != 1 {
		t.Errorf("answer %+v, stops %v", d.answers["j"], d.stops)
	}
}

func TestJob_NoWorkerAndTooLarge(t *testing.T) {
	d := newDesk(t, 0)
	d.submit("none", 1, 60*time.Millisecond)
	if got := d.answers["none"]; got.Result != dispatch.Refused || got.Cause != dispatch.NoWorkers {
		t.Errorf("answer %+v", got)
	}
	d = newDesk(t, 1)
	s := submission("large", 1, 60*time.Millisecond)
	s.Steps[0].Needs.MilliCores = 64000
	d.core.Submit(d.now, s)
	d.step(0)
	if got := d.answers["large"]; got.Result != dispatch.Refused || got.Cause != dispatch.TooLarge {
		t.Errorf("answer %+v", got)
	}
}

func TestJob_AtMostSoManyTasksOnAWorker(t *testing.T) {
	d := newDesk(t, 2)
	s := submission("j", 4, 60*time.Millisecond)
	s.Steps[0].MaxPerWorker = 1
	d.core.Submit(d.now, s)
	d.step(0)
	if len(d.offers["s0"]) != 1 || len(d.offers["s1"]) != 1 {
		t.Errorf("offers %v", d.offers)
	}
}

func TestJob_SubmittedTwiceRunsOnceAndLosesOneCaller(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("j", 1, 60*time.Millisecond)
	d.submit("j", 1, 60*time.Millisecond)
	d.core.CallerLeft(d.now, "j")
	d.step(0)
	if d.total() != 1 || len(d.stops["s0"]) != 0 {
		t.Errorf("%d offers, stops %v", d.total(), d.stops)
	}
}

func TestJob_UnreachableWorkersTasksWaitUntilTheyAreOver(t *testing.T) {
	d := newDesk(t, 2)
	d.submit("j", 1, 60*time.Millisecond)
	first := "s0"
	if len(d.offers["s1"]) > 0 {
		first = "s1"
	}
	d.core.Take(d.now, first, &work.ToEntry{Probe: 1})
	d.core.Closed(d.now, first)
	d.step(dispatch.DefaultLimits.Grant - time.Millisecond)
	if d.total() != 1 {
		t.Fatal("offered again while it may run")
	}
	d.step(2 * time.Millisecond)
	if d.total() != 2 {
		t.Error("not offered again")
	}
}

// TestLoad_RoomOnASlowedWorkerDoesNotCount replays a burst while a worker is slow: it stands idle, and what would have to
// wait for the others is refused.
func TestLoad_RoomOnASlowedWorkerDoesNotCount(t *testing.T) {
	d := newDesk(t, 2)
	d.load("s0", work.Load{RunTimePercent: 500})
	d.load("s1", work.Load{Committed: work.Needs{MilliCores: 40000}, WaitMS: [work.SlackLevels]int64{150, 180, 200}, RunTimePercent: 100})
	d.submit("short", 2, 60*time.Millisecond)
	if got := d.answers["short"]; got.Result != dispatch.Refused || got.Cause != dispatch.Overloaded {
		t.Errorf("answer %+v, offers %v", got, d.offers)
	}
}

func TestLoad_NotesTellTheAgeOfTheLoadThatTheOfferWasMadeWith(t *testing.T) {
	d := newDesk(t, 1)
	d.step(70 * time.Millisecond)
	d.submit("j", 1, 100*time.Millisecond)
	which := d.offers["s0"][0].RunID
	d.step(30 * time.Millisecond)
	d.core.Take(d.now, "s0", &work.ToEntry{
		Load: &work.Load{Accepts: true}, Refused: []work.Refused{{RunID: which, Reason: work.Expired}},
	})
	for _, note := range d.core.Effects().Notes {
		if note.Kind == dispatch.OfferRejected && note.Age != 70*time.Millisecond {
			t.Errorf("age %v, want that of the load at the offer, 70 ms", note.Age)
		}
	}
}

// TestLoad_JobsThatCanOnlyBeLateLeaveRoomForThoseThatCome replays a start of the system: callers have waited for it, some
// too long to be served in time, and others come.
func TestLoad_JobsThatCanOnlyBeLateLeaveRoomForThoseThatCome(t *testing.T) {
	d := newDesk(t, 2)
	taken := 0
	for n := range 20 {
		late := submission(fmt.Sprint("late", n), 2, 60*time.Millisecond)
		late.Waited = 300 * time.Millisecond
		d.core.Submit(d.now, late)
		d.step(0)
		if _, isRefused := d.answers[late.ID]; !isRefused {
			taken++
		}
	}
	if taken == 0 || taken > 3 {
		t.Errorf("%d late jobs were taken, want a few while the workers are idle", taken)
	}
	for n := range 6 {
		d.submit(fmt.Sprint("fresh", n), 2, 60*time.Millisecond)
		if got, isRefused := d.answers[fmt.Sprint("fresh", n)]; isRefused {
			t.Errorf("fresh job: %+v", got)
		}
	}
}
