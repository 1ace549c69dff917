package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// harness runs a dispatcher; the test acts as its workers.
type harness struct {
	t                testing.TB
	core             *dispatch.Dispatcher
	now              time.Duration
	offers           map[string][]work.Offer
	stops            map[string][]work.RunID
	answers          map[string]dispatch.Answer
	progressRequests []dispatch.ProgressRequest
	records          []dispatch.Record
	shared           []dispatch.AnsweredJob
	// closed are the workers whose sessions are to be closed, probes is the number of the last probe.
	closed []string
	probes uint64
}

// newHarness returns a dispatcher with idle workers of 32 cores.
func newHarness(t testing.TB, workers int) *harness {
	t.Helper()
	return newHarnessOf(t, dispatch.DefaultLimits, workers)
}

func newHarnessOf(t testing.TB, limits dispatch.Limits, workers int) *harness {
	t.Helper()
	h := &harness{
		t: t, core: dispatch.New(limits, "a", 1), now: time.Minute,
		offers: map[string][]work.Offer{}, stops: map[string][]work.RunID{}, answers: map[string]dispatch.Answer{},
	}
	for n := range workers {
		id := fmt.Sprintf("s%d", n)
		h.core.Opened(h.now, id, "a")
		h.core.Attached(h.now, id, true)
		h.core.Take(h.now, id, &work.ToEntry{
			Worker: &work.Worker{Incarnation: id, Pool: "p", Capacity: work.Needs{MilliCores: 32000, MemoryMB: 64000}, Labels: []string{"r" + id}},
			Load:   &work.Load{Accepts: true},
		})
	}
	return h
}

func (h *harness) step(by time.Duration) {
	h.now += by
	h.core.Advance(h.now)
	effects := h.core.Effects()
	for _, frame := range effects.Frames {
		h.offers[frame.Worker] = append(h.offers[frame.Worker], frame.Offers...)
		h.stops[frame.Worker] = append(h.stops[frame.Worker], frame.Stops...)
	}
	h.progressRequests = append(h.progressRequests, effects.ProgressRequests...)
	h.records = append(h.records, effects.Records...)
	h.shared = append(h.shared, effects.Answered...)
	h.closed = append(h.closed, effects.Close...)
	for _, answer := range effects.Answers {
		h.answers[answer.Job] = answer
	}
}

func (h *harness) submit(id string, tasks int, expected time.Duration) {
	h.core.Submit(h.now, submission(id, tasks, expected))
	h.step(0)
}

func submission(id string, tasks int, expected time.Duration) dispatch.Submission {
	return dispatch.Submission{
		ID: id, Timeout: 2 * time.Second,
		Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 2, Slack: 1.6, Target: 60 * time.Millisecond},
		Steps: []dispatch.Step{{Count: tasks, Needs: work.Needs{MilliCores: 3100}, Expected: expected}},
	}
}

func (h *harness) load(worker string, load work.Load) {
	load.Accepts = true
	load.LastSequence = 1 << 30
	h.core.Take(h.now, worker, &work.ToEntry{Load: &load})
	h.step(0)
}

func (h *harness) ended(worker string, id work.RunID, outcome work.Outcome) {
	h.core.Take(h.now, worker, &work.ToEntry{Ended: []work.Ended{{RunID: id, Outcome: outcome, RanMS: 50}}})
	h.step(0)
}

func (h *harness) total() int {
	total := 0
	for _, offers := range h.offers {
		total += len(offers)
	}
	return total
}

func TestLoad_WideJobIsSpreadOverTheWorkers(t *testing.T) {
	h := newHarness(t, 4)
	h.submit("j", 20, 60*time.Millisecond)
	for worker, offers := range h.offers {
		if len(offers) < 4 || len(offers) > 6 {
			t.Errorf("%s got %d of 20 tasks", worker, len(offers))
		}
	}
}

// TestLoad_BurstIsRefusedAtOnce covers a burst. Once all workers are full and their queues are long, a short job must be
// refused with a retry time and without any offer; a long job that can wait must still be accepted.
func TestLoad_BurstIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	for _, worker := range []string{"s0", "s1"} {
		h.load(worker, work.Load{Committed: work.Needs{MilliCores: 40000}, WaitMS: [work.SlackLevels]int64{20, 20, 20}})
	}
	h.submit("short", 2, 60*time.Millisecond)
	if got := h.answers["short"]; got.Result != dispatch.Refused || got.Cause != dispatch.Overloaded || got.RetryAfter <= 0 {
		t.Errorf("short job: %+v", got)
	}
	h.submit("long", 1, 900*time.Millisecond)
	if got, answered := h.answers["long"]; answered || h.total() != 1 {
		t.Errorf("long job: %+v, %d offers", got, h.total())
	}
}

func TestLoad_SlowedWorkerGetsNoNewTasksWhileOthersAreIdle(t *testing.T) {
	h := newHarness(t, 2)
	h.load("s0", work.Load{RunTimePercent: 500})
	h.submit("j", 4, 200*time.Millisecond)
	if len(h.offers["s0"]) != 0 {
		t.Errorf("the slow worker got %d tasks", len(h.offers["s0"]))
	}
}

// TestLoad_RunOnASlowedWorkerIsMoved covers a worker that becomes slow while a job runs there.
func TestLoad_RunOnASlowedWorkerIsMoved(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", 1, 200*time.Millisecond)
	slow, other := "s0", "s1"
	if len(h.offers["s1"]) > 0 {
		slow, other = other, slow
	}
	id := h.offers[slow][0].RunID
	h.core.Take(h.now, slow, &work.ToEntry{Started: []work.RunID{id}})
	h.step(100 * time.Millisecond)
	h.core.Take(h.now, slow, &work.ToEntry{Overdue: []work.Overdue{{RunID: id, RemainingMS: 900}}})
	h.step(0)
	if len(h.stops[slow]) != 0 {
		t.Fatal("a run that is longer than expected on a healthy worker was stopped")
	}
	h.load(slow, work.Load{RunTimePercent: 400})
	h.core.Take(h.now, slow, &work.ToEntry{Overdue: []work.Overdue{{RunID: id, RemainingMS: 150}}})
	h.step(0)
	if len(h.stops[slow]) != 0 {
		t.Fatal("a run that will be in time was stopped")
	}
	h.core.Take(h.now, slow, &work.ToEntry{Overdue: []work.Overdue{{RunID: id, RemainingMS: 900}}})
	h.step(0)
	if len(h.stops[slow]) != 1 || len(h.offers[other]) != 0 {
		t.Fatalf("stops %v, offers elsewhere %v", h.stops[slow], h.offers[other])
	}
	h.ended(slow, id, work.Stopped)
	if len(h.offers[other]) != 1 || h.offers[other][0].Run != 2 {
		t.Errorf("offers elsewhere %v", h.offers[other])
	}
}

func TestJob_FailedTaskIsTriedElsewhereAsOftenAsTheQueueAllows(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", 1, 60*time.Millisecond)
	first := "s0"
	if len(h.offers["s1"]) > 0 {
		first = "s1"
	}
	h.ended(first, h.offers[first][0].RunID, work.Failed)
	second := map[string]string{"s0": "s1", "s1": "s0"}[first]
	if len(h.offers[second]) != 1 {
		t.Fatalf("offers %v", h.offers)
	}
	h.ended(second, h.offers[second][0].RunID, work.Failed)
	if got := h.answers["j"]; got.Result != dispatch.JobFailed || got.Cause != dispatch.TaskFailed {
		t.Errorf("answer %+v", got)
	}
}

func TestJob_LaterStepWaitsForTheEarlierOne(t *testing.T) {
	h := newHarness(t, 2)
	s := submission("j", 1, 60*time.Millisecond)
	s.Steps = append(s.Steps, dispatch.Step{Count: 1, Needs: work.Needs{MilliCores: 100}, After: []int{0}, Label: "rs1"})
	h.core.Submit(h.now, s)
	h.step(0)
	if h.total() != 1 {
		t.Fatalf("%d offers before the first step is done", h.total())
	}
	for worker, offers := range h.offers {
		h.ended(worker, offers[0].RunID, work.Done)
	}
	last := h.offers["s1"][len(h.offers["s1"])-1]
	if last.Task != "j.0.1.0" {
		t.Fatalf("offers %v", h.offers)
	}
	h.ended("s1", last.RunID, work.Done)
	if h.answers["j"].Result != dispatch.Completed {
		t.Errorf("answer %+v", h.answers["j"])
	}
}

func TestJob_IsStoppedWhenItsCallerLeaves(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", 2, 60*time.Millisecond)
	h.core.CallerLeft(h.now, "j")
	h.step(0)
	if len(h.stops["s0"]) != 2 || h.answers["j"].Result != dispatch.GivenUp {
		t.Errorf("stops %v, answer %+v", h.stops["s0"], h.answers["j"])
	}
}

func TestJob_DeadlinePassesAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", 1, 60*time.Millisecond)
	h.step(2 * time.Second)
	if h.answers["j"].Result != dispatch.GivenUp || len(h.stops["s0"]) != 1 {
		t.Errorf("answer %+v, stops %v", h.answers["j"], h.stops)
	}
}

func TestJob_NoWorkerAndTooLarge(t *testing.T) {
	h := newHarness(t, 0)
	h.submit("none", 1, 60*time.Millisecond)
	if got := h.answers["none"]; got.Result != dispatch.Refused || got.Cause != dispatch.NoWorkers || got.Trace.PredictedWait != 0 {
		t.Errorf("answer %+v", got)
	}
	h = newHarness(t, 1)
	s := submission("large", 1, 60*time.Millisecond)
	s.Steps[0].Needs.MilliCores = 64000
	h.core.Submit(h.now, s)
	h.step(0)
	if got := h.answers["large"]; got.Result != dispatch.Refused || got.Cause != dispatch.TooLarge {
		t.Errorf("answer %+v", got)
	}
}

func TestJob_MaxPerWorkerLimitsTheTasksOnAWorker(t *testing.T) {
	h := newHarness(t, 2)
	s := submission("j", 4, 60*time.Millisecond)
	s.Steps[0].MaxPerWorker = 1
	h.core.Submit(h.now, s)
	h.step(0)
	if len(h.offers["s0"]) != 1 || len(h.offers["s1"]) != 1 {
		t.Errorf("offers %v", h.offers)
	}
}

func TestJob_SubmittedTwiceRunsOnceAndLosesOneCaller(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", 1, 60*time.Millisecond)
	h.submit("j", 1, 60*time.Millisecond)
	h.core.CallerLeft(h.now, "j")
	h.step(0)
	if h.total() != 1 || len(h.stops["s0"]) != 0 {
		t.Errorf("%d offers, stops %v", h.total(), h.stops)
	}
}

func TestJob_UnreachableWorkersTasksWaitUntilTheyAreOver(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", 1, 60*time.Millisecond)
	first := "s0"
	if len(h.offers["s1"]) > 0 {
		first = "s1"
	}
	h.core.Take(h.now, first, &work.ToEntry{Probe: 1})
	h.core.Closed(h.now, first)
	h.step(dispatch.DefaultLimits.Grant - time.Millisecond)
	if h.total() != 1 {
		t.Fatal("offered again while it may run")
	}
	h.step(2 * time.Millisecond)
	if h.total() != 2 {
		t.Error("not offered again")
	}
}

// TestLoad_RoomOnASlowedWorkerDoesNotCount covers a burst while a worker is slow: its free capacity is not used, and
// jobs that would have to wait for the other workers are refused.
func TestLoad_RoomOnASlowedWorkerDoesNotCount(t *testing.T) {
	h := newHarness(t, 2)
	h.load("s0", work.Load{RunTimePercent: 500})
	h.load("s1", work.Load{Committed: work.Needs{MilliCores: 40000}, WaitMS: [work.SlackLevels]int64{150, 180, 200}, RunTimePercent: 100})
	h.submit("short", 2, 60*time.Millisecond)
	if got := h.answers["short"]; got.Result != dispatch.Refused || got.Cause != dispatch.Overloaded {
		t.Errorf("answer %+v, offers %v", got, h.offers)
	}
}

func TestLoad_NotesReportTheAgeOfTheLoadAtTheOffer(t *testing.T) {
	h := newHarness(t, 1)
	h.step(70 * time.Millisecond)
	h.submit("j", 1, 100*time.Millisecond)
	runID := h.offers["s0"][0].RunID
	h.step(30 * time.Millisecond)
	h.core.Take(h.now, "s0", &work.ToEntry{
		Load: &work.Load{Accepts: true}, Refused: []work.Refused{{RunID: runID, Reason: work.Expired}},
	})
	for _, note := range h.core.Effects().Notes {
		if note.Kind == dispatch.OfferRejected && note.Age != 70*time.Millisecond {
			t.Errorf("age %v, want that of the load at the offer, 70 ms", note.Age)
		}
	}
}

// TestLoad_LateJobsLeaveRoomForNewOnes covers the start of the system: some callers have waited too long to be served in
// time, while new jobs keep arriving.
func TestLoad_LateJobsLeaveRoomForNewOnes(t *testing.T) {
	h := newHarness(t, 2)
	taken := 0
	for n := range 20 {
		late := submission(fmt.Sprint("late", n), 2, 60*time.Millisecond)
		late.Waited = 300 * time.Millisecond
		h.core.Submit(h.now, late)
		h.step(0)
		if _, isRefused := h.answers[late.ID]; !isRefused {
			taken++
		}
	}
	if taken == 0 || taken > 3 {
		t.Errorf("%d late jobs were taken, want a few while the workers are idle", taken)
	}
	for n := range 6 {
		h.submit(fmt.Sprint("fresh", n), 2, 60*time.Millisecond)
		if got, isRefused := h.answers[fmt.Sprint("fresh", n)]; isRefused {
			t.Errorf("fresh job: %+v", got)
		}
	}
}

// Load pattern: nearly full pool, where loads are some milliseconds old. A task that a full worker refuses is offered again
// at once, by the load that came with the refusal, and after a few refusals in a row only after a delay.
func TestLoad_TaskRefusedByAFullWorkerIsOfferedElsewhereAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", 1, 200*time.Millisecond)
	refuse := func() {
		for worker, offers := range h.offers {
			if len(offers) == 0 {
				continue
			}
			delete(h.offers, worker)
			h.core.Take(h.now, worker, &work.ToEntry{
				Load: &work.Load{
					Accepts: true, Committed: work.Needs{MilliCores: 32000, MemoryMB: 64000}, WaitMS: [3]int64{50, 50, 50},
					LastSequence: offers[0].Sequence,
				},
				Refused: []work.Refused{{RunID: offers[0].RunID, Reason: work.Full}},
			})
		}
		h.step(0)
	}
	first := h.workersWithOffers()
	refuse()
	if second := h.workersWithOffers(); len(first) != 1 || len(second) != 1 || first[0] == second[0] {
		t.Fatalf("offered to %v and after the refusal to %v, want another worker at once", first, second)
	}
	immediate := 1
	for ; h.total() > 0 && immediate < 20; immediate++ {
		refuse()
	}
	if immediate >= 20 {
		t.Fatalf("offered at once after %d refusals in a row, want a delay after a few", immediate)
	}
	h.step(time.Second)
	if h.total() != 1 {
		t.Errorf("%d offers after a delay, want one", h.total())
	}
}

func (h *harness) workersWithOffers() []string {
	var workers []string
	for worker, offers := range h.offers {
		if len(offers) > 0 {
			workers = append(workers, worker)
		}
	}
	return workers
}

// Load pattern: after a loss of everything, all entries accept at the same moment what waited for them, before any load
// report shows the others' tasks. Together they must not accept several times what the workers can run.
func TestLoad_EntriesThatOpenTogetherShareTheWorkers(t *testing.T) {
	const entries, workers, slotsPerWorker = 8, 10, 10
	for name, c := range map[string]struct {
		waited time.Duration
		// maxShare is the largest share of the workers that all entries may take together.
		maxShare float64
	}{
		"jobs in time": {time.Millisecond, 1.3},
		"late jobs":    {2 * time.Second, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, workers)
			h.core.SetEntries(entries)
			for n := range 100 {
				job := submission(fmt.Sprint("j", n), 1, 200*time.Millisecond)
				job.Waited, job.Timeout = c.waited, 2*time.Second+c.waited
				h.core.Submit(h.now, job)
			}
			h.step(0)
			accepted := 100 - len(h.answers)
			if together := float64(accepted*entries) / (workers * slotsPerWorker); accepted == 0 || together > c.maxShare {
				t.Errorf("one of %d entries accepted %d tasks, together %.2f of the workers, want at most %.2f",
					entries, accepted, together, c.maxShare)
			}
		})
	}
}
