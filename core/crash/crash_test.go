package crash

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flamingohall.example/core/work"
)

func run(queue, task string, ranMS, expectedMS int64) work.CrashedRun {
	return work.CrashedRun{Task: task, Queue: queue, WasStarted: true, RanMS: ranMS, ExpectedMS: expectedMS}
}

// crashes reports the ends of workers w0, w1, ... in turn.
type crashes struct {
	monitor *Monitor
	now     time.Duration
	count   int
	changes []Change
}

func newCrashes() *crashes {
	c := &crashes{monitor: NewMonitor(DefaultLimits), now: time.Minute}
	c.monitor.Demanded(c.now, "p", "short", 1)
	c.monitor.Demanded(c.now, "p", "plain", 3)
	return c
}

func (c *crashes) end(after time.Duration, runs ...work.CrashedRun) []Change {
	c.now += after
	worker := fmt.Sprint("w", c.count)
	c.count++
	changes := c.monitor.Observe(c.now, "p", worker, &work.Crash{Incarnation: fmt.Sprint(worker, "@", c.now), Runs: runs})
	c.changes = append(c.changes, changes...)
	return changes
}

var eightWorkers = []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"}

func (c *crashes) members(queue string) []string {
	allowance := c.monitor.Allowed("p", queue, eightWorkers)
	return slices.DeleteFunc(slices.Clone(eightWorkers), func(w string) bool { return !allowance.Allows(w) })
}

// Load pattern: a task ends one worker after the other. Its queue is contained, to its share of the pool and to workers that it
// has ended already; the other queue keeps the rest.
func TestContainment_QueueOfARepeatedTaskKeepsItsShare(t *testing.T) {
	c := newCrashes()
	c.end(0, run("short", "deadly.0.0.0", 8, 60), run("plain", "a.0.0.0", 120, 200), run("short", "b.0.0.0", 40, 60))
	c.end(10*time.Millisecond, run("short", "deadly.0.0.0", 9, 60), run("plain", "a.0.0.0", 10, 200), run("plain", "c.0.0.0", 70, 200))
	if len(c.changes) != 1 || c.changes[0].Queue != "short" || c.changes[0].Task != "deadly.0.0.0" {
		t.Fatalf("changes %+v, want the queue short contained", c.changes)
	}
	if got := c.members("short"); !slices.Equal(got, []string{"w0", "w1"}) {
		t.Errorf("short may use %v, want the two workers that it has ended: a quarter of eight", got)
	}
	if got := c.members("plain"); len(got) != 6 || slices.Contains(got, "w0") {
		t.Errorf("plain may use %v, want the other six", got)
	}
	if history := c.monitor.Task("b.0.0.0"); history.IsSuspect || history.IsGivenUp() {
		t.Errorf("a task beside the crash: %+v", history)
	}
}

// Load pattern: two workers end by themselves within a second, with a task that was moved from one to the other.
func TestContainment_NoQueueIsContainedForTasksOfDifferentAges(t *testing.T) {
	c := newCrashes()
	c.end(0, run("short", "s.0.0.0", 50, 60), run("plain", "a.0.0.0", 180, 200))
	c.end(time.Second, run("short", "t.0.0.0", 20, 60), run("plain", "a.0.0.0", 30, 200))
	if len(c.changes) != 0 {
		t.Errorf("changes %+v, want none", c.changes)
	}
}

func TestContainment_EndsAfterACalmTimeAndLastsLongerTheNextTime(t *testing.T) {
	c := newCrashes()
	for round, want := range []time.Duration{DefaultLimits.Containment, 2 * DefaultLimits.Containment} {
		for n := range 2 {
			c.end(10*time.Millisecond, run("short", fmt.Sprint("deadly", round, ".0.0.0"), 8, 60), run("plain", fmt.Sprint(n, round, ".0.0.0"), 150, 200))
		}
		c.now += want - time.Millisecond
		if changes := c.monitor.Advance(c.now); len(changes) != 0 {
			t.Errorf("round %d: %+v before %v", round, changes, want)
		}
		c.now += time.Millisecond
		if changes := c.monitor.Advance(c.now); len(changes) != 1 || changes[0].IsContained {
			t.Errorf("round %d: changes %+v, want the queue released after %v", round, changes, want)
		}
	}
}

func TestMonitor_CrashIsCountedOnce(t *testing.T) {
	m := NewMonitor(DefaultLimits)
	for range 3 {
		m.Observe(time.Minute, "p", "w", &work.Crash{Incarnation: "w@1", Runs: []work.CrashedRun{run("q", "a.0.0.0", 8, 60)}})
	}
	if got := m.Task("a.0.0.0"); got.Crashes != 1 || got.IsGivenUp() {
		t.Errorf("history %+v, want one crash", got)
	}
}

// TestMonitor_CrashThatIsLearnedAndReportedCountsOnce guards against tasks that are given up too early: an entry learns of a crash from
// control, and of the same one from the sidecar when its session opens.
func TestMonitor_CrashThatIsLearnedAndReportedCountsOnce(t *testing.T) {
	const task = "a.0.0.0"
	crashOf := func(number, crashes uint32) *work.Crash {
		r := run("q", task, 8, 60)
		r.Crashes = crashes
		return &work.Crash{Incarnation: fmt.Sprint("w@", number), Runs: []work.CrashedRun{r}}
	}
	past := crashOf(1, 1)
	past.AgeMS = 3000
	learn := func(m *Monitor) { m.Learn(time.Minute, task, 1) }
	observe := func(c *work.Crash) func(m *Monitor) {
		return func(m *Monitor) { m.Observe(time.Minute, "p", "w", c) }
	}
	withdraw := func(m *Monitor) {
		m.Suspect(time.Minute, "p", "w", &work.Suspicion{Incarnation: "w@2", IsWithdrawn: true})
	}
	for _, c := range []struct {
		name  string
		steps []func(*Monitor)
		want  int
	}{
		{"learned, reported", []func(*Monitor){learn, observe(past)}, 1},
		{"reported, learned", []func(*Monitor){observe(past), learn}, 1},
		{"learned, another one", []func(*Monitor){learn, observe(crashOf(2, 2))}, 2},
		{"learned, reported, another one", []func(*Monitor){learn, observe(past), observe(crashOf(2, 2))}, 2},
		{"learned, another one withdrawn", []func(*Monitor){learn, observe(crashOf(2, 2)), withdraw}, 1},
		{"learned, reported, another one withdrawn", []func(*Monitor){learn, observe(past), observe(crashOf(2, 2)), withdraw}, 1},
	} {
		m := NewMonitor(DefaultLimits)
		for _, step := range c.steps {
			step(m)
		}
		if got := m.Task(task); got.Crashes != c.want || c.want == 1 && got.IsGivenUp() {
			t.Errorf("%s: history %+v, want %d crashes", c.name, got, c.want)
		}
	}
}

func TestMonitor_OnlyATaskThatWasAloneIsGivenUp(t *testing.T) {
	c := newCrashes()
	for range 4 {
		c.end(time.Second, run("plain", "beside.0.0.0", 100, 200), run("short", "other.0.0.0", 30, 60))
	}
	if got := c.monitor.Task("beside.0.0.0"); got.Crashes != 4 || got.IsGivenUp() || !got.MustRunAlone() {
		t.Errorf("history %+v, want it tried alone", got)
	}
	c.end(time.Second, run("plain", "beside.0.0.0", 100, 200), run("plain", "beside.0.0.1", 100, 200))
	if got := c.monitor.Task("beside.0.0.0"); !got.IsGivenUp() {
		t.Errorf("history %+v, want it given up after a crash under its job alone", got)
	}
}

func TestMonitor_RemembersABoundedNumberOfTasks(t *testing.T) {
	limits := DefaultLimits
	limits.Tasks = 10
	m := NewMonitor(limits)
	for n := range 100 {
		now := time.Minute + time.Duration(n)*time.Second
		m.Observe(now, "p", "w", &work.Crash{Incarnation: fmt.Sprint("w@", n), Runs: []work.CrashedRun{run("q", fmt.Sprint(n, ".0.0.0"), 8, 60)}})
	}
	if len(m.tasks) > limits.Tasks+1 || m.Task("99.0.0.0").Crashes != 1 {
		t.Errorf("%d tasks are remembered, want at most %d and the latest", len(m.tasks), limits.Tasks+1)
	}
}

// TestMonitor_PastCrashesContainNoQueue covers an entry that starts some time after such crashes: the sidecars tell it of all of
// them at once.
func TestMonitor_PastCrashesContainNoQueue(t *testing.T) {
	m := NewMonitor(DefaultLimits)
	for n := range 3 {
		past := &work.Crash{Incarnation: fmt.Sprint("w@", n), AgeMS: 30_000, Runs: []work.CrashedRun{run("q", "a.0.0.0", 8, 200)}}
		if changes := m.Observe(time.Minute, "p", fmt.Sprint("w", n), past); len(changes) != 0 {
			t.Errorf("changes %+v, want none", changes)
		}
	}
	if got := m.Task("a.0.0.0"); got.Crashes != 3 || !got.IsGivenUp() {
		t.Errorf("history %+v, want the crashes counted", got)
	}
}

// TestContainment_BusiestQueueLeavesHalfOfThePool covers a queue with most of the work: its workers are down most of the time, and
// the others were left with too few.
func TestContainment_BusiestQueueLeavesHalfOfThePool(t *testing.T) {
	c := newCrashes()
	for n := range 3 {
		c.end(10*time.Millisecond, run("plain", "deadly.0.0.0", 8, 200), run("short", fmt.Sprint(n, ".0.0.0"), 40, 60))
	}
	if got := c.members("plain"); len(got) != 4 {
		t.Errorf("plain may use %v, want half of the eight", got)
	}
}

// TestContainment_WorkerThatEndedByItselfIsNoMember covers workers that end with tasks of a contained queue, but not under them: they
// became its members in place of workers that it had ended.
func TestContainment_WorkerThatEndedByItselfIsNoMember(t *testing.T) {
	c := newCrashes()
	c.count = 4
	c.end(0, run("short", "deadly.0.0.0", 8, 60), run("plain", "a.0.0.0", 120, 200))
	c.end(10*time.Millisecond, run("short", "deadly.0.0.0", 8, 60), run("plain", "b.0.0.0", 60, 200))
	c.count = 0
	for n := range 4 {
		c.end(time.Second, run("short", fmt.Sprint("c", n, ".0.0.0"), int64(30+8*n), 60), run("plain", fmt.Sprint("d", n, ".0.0.0"), int64(90+20*n), 200))
	}
	if got := c.members("short"); len(got) == 0 || slices.ContainsFunc(got, func(w string) bool { return w != "w4" && w != "w5" }) {
		t.Errorf("short may use %v, want only workers that it has ended", got)
	}
}

// TestContainment_QueueIsReleasedOnceAnotherExplainsAllItsCrashes covers an innocent queue, tasks of which had started together with
// the deadly ones at two workers by chance.
func TestContainment_QueueIsReleasedOnceAnotherExplainsAllItsCrashes(t *testing.T) {
	c := newCrashes()
	c.end(0, run("long", "a.0.0.0", 9, 900), run("short", "deadly.0.0.0", 8, 20))
	c.end(10*time.Millisecond, run("long", "b.0.0.0", 8, 900), run("short", "deadly.0.0.0", 8, 20))
	if len(c.changes) != 1 || c.changes[0].Queue != "long" {
		t.Fatalf("changes %+v, want the queue long contained first", c.changes)
	}
	for n := range 4 {
		c.end(10*time.Millisecond, run("long", fmt.Sprint("l", n, ".0.0.0"), 400, 900), run("short", "deadly2.0.0.0", 8, 60))
	}
	last := c.changes[len(c.changes)-1]
	if last.Queue != "long" || last.IsContained || !c.monitor.IsContained("p", "short") {
		t.Errorf("changes %+v, want short contained and long released", c.changes)
	}
}

// TestMonitor_EndOfAWorkerDuringATrialFailsNoTask covers an innocent task that was beside a crash, and is alone at a worker that ends
// by itself. It was given up, and its job failed.
func TestMonitor_EndOfAWorkerDuringATrialFailsNoTask(t *testing.T) {
	c := newCrashes()
	c.end(0, run("plain", "innocent.0.0.0", 30, 200), run("short", "deadly.0.0.0", 8, 60))
	c.end(time.Second, run("plain", "innocent.0.0.0", 150, 200))
	if c.monitor.Task("innocent.0.0.0").IsGivenUp() {
		t.Error("the task is given up after crashes at different points of its work")
	}
	c.end(time.Second, run("plain", "innocent.0.0.0", 60, 200))
	if !c.monitor.Task("innocent.0.0.0").IsGivenUp() {
		t.Error("the task is not given up after three crashes, the last two of them alone")
	}
}

// TestContainment_TasksOfOneJobAtSeveralWorkersAreNoEvidence covers workers that end by themselves at the same moment, while the tasks
// of a new job run on all of them. They are of one age there, and their queue was contained.
func TestContainment_TasksOfOneJobAtSeveralWorkersAreNoEvidence(t *testing.T) {
	c := newCrashes()
	for n := range 3 {
		c.end(0, run("plain", fmt.Sprint("j.0.0.", n), 20, 900), run("short", fmt.Sprint(n, ".0.0.0"), int64(10+20*n), 60))
	}
	if len(c.changes) != 0 {
		t.Errorf("changes %+v, want none", c.changes)
	}
}

// TestContainment_SuspicionContainsAndItsWithdrawalReleases covers workers that refuse connections and answer again: no task is counted as one
// that has ended a worker, and its queue is not kept contained.
func TestContainment_SuspicionContainsAndItsWithdrawalReleases(t *testing.T) {
	c := newCrashes()
	suspect := func(worker string, runs ...work.CrashedRun) []Change {
		c.now += 10 * time.Millisecond
		return c.monitor.Suspect(c.now, "p", worker, &work.Suspicion{Incarnation: worker + "@1", Runs: runs})
	}
	suspect("w0", run("short", "t.0.0.0", 8, 60), run("plain", "a.0.0.0", 120, 200))
	suspect("w1", run("short", "t.0.0.0", 9, 60), run("plain", "a.0.0.0", 10, 200))
	if !c.monitor.IsContained("p", "short") {
		t.Fatal("the queue is not contained")
	}
	if got := c.monitor.Task("t.0.0.0"); got.Crashes != 0 || got.MustRunAlone() {
		t.Errorf("history %+v after suspicions alone", got)
	}
	c.monitor.Observe(c.now, "p", "w1", &work.Crash{Incarnation: "w1@1", Runs: []work.CrashedRun{run("short", "t.0.0.0", 9, 60)}})
	if got := c.monitor.Task("t.0.0.0"); got.Crashes != 1 {
		t.Errorf("history %+v after a crash", got)
	}
	c.monitor.Suspect(c.now, "p", "w1", &work.Suspicion{Incarnation: "w1@1", IsWithdrawn: true})
	if got := c.monitor.Task("t.0.0.0"); got.Crashes != 0 || c.monitor.IsContained("p", "short") {
		t.Errorf("history %+v after the crash is withdrawn, or the queue is still contained", got)
	}
}
