package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/work"
)

// maxCrashes is how many workers may end under one task: after that it is not started again.
const maxCrashes = 3

// submitDeadly submits a job of one task that ends its workers.
func (sim *simulation) submitDeadly(entry int, job string, timeout time.Duration) {
	sim.deadly[job+".0.0.0"] = true
	sim.submit(entry, job, 1, 100*time.Millisecond, timeout)
}

// TestDeadly_TaskEndsNoMoreThanThreeWorkers covers a task that crashes each worker that starts it: it was offered to one
// worker after the other until its caller's deadline.
func TestDeadly_TaskEndsNoMoreThanThreeWorkers(t *testing.T) {
	sim := newSimulation(t, 1, defaultLimits, 2, 8)
	sim.run(time.Second)
	sim.submitDeadly(0, jobID(1), 10*time.Second)
	sim.run(12 * time.Second)
	sim.expectCrashes(t, 1, maxCrashes)
	if answers := sim.answers[jobID(1)]; len(answers) != 1 || answers[0].Result != dispatch.JobFailed {
		t.Errorf("answers %+v, want one that says failed", answers)
	}
}

// expectCrashes checks how many workers have ended under each task.
func (sim *simulation) expectCrashes(t *testing.T, atLeast, atMost int) {
	t.Helper()
	for task := range sim.deadly {
		if count := sim.crashes[task]; count < atLeast || count > atMost {
			t.Errorf("%d workers ended under task %s, want %d to %d", count, task, atLeast, atMost)
		}
	}
}

// TestDeadly_CountSurvivesTheDeathOfTheEntry covers a deadly job whose entry dies: its caller submits it again at another
// entry, and then at a third one, which also start it as often as they know of no crash.
func TestDeadly_CountSurvivesTheDeathOfTheEntry(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, defaultLimits, 3, 9)
		sim.run(time.Second)
		for entry := range 3 {
			sim.submitDeadly(entry, jobID(1), 10*time.Second)
			began := sim.crashes[jobID(1)+".0.0.0"]
			sim.runUntil(200*time.Millisecond, func() bool { return sim.crashes[jobID(1)+".0.0.0"] > began })
			sim.run(sim.now + 5*time.Millisecond)
			if entry < 2 {
				sim.endEntry(entry, time.Minute)
			}
			sim.run(sim.now + resendAfter)
		}
		sim.run(sim.now + 12*time.Second)
		sim.expectCrashes(t, 1, maxCrashes)
	}
}

// runUntil runs until the condition holds, for at most the given time.
func (sim *simulation) runUntil(limit time.Duration, condition func() bool) {
	for until := sim.now + limit; sim.now < until && !condition(); {
		sim.run(sim.now + time.Millisecond)
	}
}

// poisoned are the results of a pool under load in which some jobs of one queue have a deadly task.
type poisoned struct {
	tallies map[string]*tally
	sim     *simulation
}

// poison says which jobs of a simulated pool have a deadly task, and which workers end by themselves meanwhile.
type poison struct {
	// share is the part of a queue's jobs that have one while the queue's window lasts.
	share  float64
	queues map[string]window
	// begin and end bound the arrivals of the jobs that are counted.
	begin, end time.Duration
	// crashed workers end by themselves at crashAt, and are back after crashedFor.
	crashed             int
	crashAt, crashedFor time.Duration
}

// window is a time in which something happens.
type window struct {
	begin, end time.Duration
}

func (w window) contains(at time.Duration) bool {
	return at >= w.begin && at < w.end
}

// simulatePoison runs the users' workload on eleven workers, some jobs of which have a deadly task. It counts the other jobs that
// arrive between begin and end.
func simulatePoison(t *testing.T, seed uint64, p poison) poisoned {
	t.Helper()
	const entries, workers, load = 4, 11, 0.55
	sim := newSimulation(t, seed, defaultLimits, entries, workers)
	sim.run(time.Second)
	var slotTime float64
	for _, k := range mix {
		slotTime += k.share * float64(k.tasks) * k.run.Seconds()
	}
	perSecond := load * 10 * workers / slotTime
	tallies := map[string]*tally{}
	for _, k := range mix {
		tallies[k.queue] = &tally{}
	}
	kinds, objectives := map[string]string{}, map[string]time.Duration{}
	number := 0
	var arrive func()
	arrive = func() {
		number++
		k, id := sim.drawKind(), jobID(number)
		w, isPoisoned := p.queues[k.queue]
		isDeadly := isPoisoned && sim.arrivals.Float64() < p.share && w.contains(sim.now)
		if isDeadly {
			sim.deadly[id+".0.0.0"] = true
		}
		if !isDeadly && sim.now >= p.begin && sim.now < p.end {
			kinds[id] = k.queue
			tallies[k.queue].jobs++
		}
		objectives[id] = sim.submitKind(sim.arrivals.IntN(entries), id, k)
		sim.after(time.Duration(sim.arrivals.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	for n := range p.crashed {
		sim.after(p.crashAt-sim.now, func() { sim.workers[n].crash(p.crashedFor) })
	}
	sim.run(p.end + 6*time.Second)
	for job, kind := range kinds {
		for _, answer := range sim.answers[job] {
			switch {
			case answer.Result == dispatch.Refused:
				tallies[kind].refused++
			case answer.Result == dispatch.Completed && answer.Trace.Took <= objectives[job]:
				tallies[kind].inTime++
			}
		}
	}
	return poisoned{tallies: tallies, sim: sim}
}

// Load pattern: a tenth of the jobs of one kind have a task that crashes each worker that starts it. Jobs of the other kinds
// must be served all the while, no task may end more than three workers, and no job without such a task may fail.
func TestDeadly_OtherKindsAreServedWhileDeadlyTasksKeepComing(t *testing.T) {
	expectOthersServed(t, "short")
}

// TestDeadly_OtherKindsAreServedBesideDeadlyTasksOfTheBusiestKind is the same where half of all work is of the kind.
func TestDeadly_OtherKindsAreServedBesideDeadlyTasksOfTheBusiestKind(t *testing.T) {
	expectOthersServed(t, "plain")
}

func expectOthersServed(t *testing.T, queue string) {
	t.Helper()
	during := window{begin: 2 * time.Second, end: 10 * time.Second}
	result := simulatePoison(t, 5, poison{share: 0.1, queues: map[string]window{queue: during}, begin: during.begin, end: during.end})
	logTallies(t, result.tallies)
	for other, counts := range result.tallies {
		if other != queue && share(counts.inTime, counts.jobs) < 0.9 {
			t.Errorf("%s: %.3f in time, want 0.9", other, share(counts.inTime, counts.jobs))
		}
	}
	result.expectTruthful(t)
}

// TestDeadly_ThirdKindIsServedBesideDeadlyTasksOfTwoKinds covers deadly tasks of two kinds at once, while a fifth of the workers
// end by themselves: the two kinds were given workers that the third one needs, each entry gave them other ones, and the kind
// without such tasks was contained in their place.
func TestDeadly_ThirdKindIsServedBesideDeadlyTasksOfTwoKinds(t *testing.T) {
	const seeds, begin, length = 16, 5 * time.Second, 8 * time.Second
	served, submitted := 0, 0
	for seed := range uint64(seeds) {
		result := simulatePoison(t, seed, poison{
			share:  0.05,
			queues: map[string]window{"short": {begin, begin + length}, "plain": {begin + time.Second, begin + time.Second + length}},
			begin:  begin, end: begin + time.Second + length, crashed: 2, crashAt: 9 * time.Second, crashedFor: 3 * time.Second,
		})
		counts := result.tallies["long"]
		served, submitted = served+counts.inTime, submitted+counts.jobs
		result.expectTruthful(t)
	}
	if share(served, submitted) < 0.9 {
		t.Errorf("long: %.3f in time, want 0.9", share(served, submitted))
	}
}

// expectTruthful checks that no task has ended too many workers and that no job without a deadly task has failed.
func (p poisoned) expectTruthful(t *testing.T) {
	t.Helper()
	p.sim.expectCrashes(t, 0, maxCrashes)
	deadlyJobs := map[string]bool{}
	for task := range p.sim.deadly {
		job, _, _ := strings.Cut(task, ".")
		deadlyJobs[job] = true
	}
	for job, answers := range p.sim.answers {
		for _, answer := range answers {
			if answer.Result == dispatch.JobFailed && !deadlyJobs[job] {
				t.Errorf("job %s without a deadly task failed", job)
			}
		}
	}
	t.Log(fmt.Sprint(len(deadlyJobs), " deadly jobs, ", p.sim.totalCrashes(), " crashes"))
}

func (sim *simulation) totalCrashes() int {
	total := 0
	for _, count := range sim.crashes {
		total += count
	}
	return total
}

// TestDeadly_StoredTaskEndsNoMoreThanThreeWorkers covers a stored deadly job whose holders die one after the other, and a
// control that changes its leader meanwhile: the job is stored, so somebody always continues it.
func TestDeadly_StoredTaskEndsNoMoreThanThreeWorkers(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, defaultLimits, 0, 8)
		sim.control = newFakeControl(sim, holderTimeout)
		for i := range 4 {
			sim.entries = append(sim.entries, &entryNode{})
			sim.startEntry(i)
		}
		sim.run(2 * time.Second)
		task := jobID(1) + ".0.0.0"
		sim.deadly[task] = true
		sim.submitStored(jobID(1), 1)
		for range 2 {
			known := sim.crashes[task]
			sim.runUntil(8*time.Second, func() bool { return sim.crashes[task] > known })
			sim.control.unavailableUntil = sim.now + 500*time.Millisecond
			sim.endHolder()
			sim.run(sim.now + 100*time.Millisecond)
		}
		sim.run(sim.now + 30*time.Second)
		sim.expectCrashes(t, 2, maxCrashes)
		if j := sim.control.table.Find(jobID(1)); j.State != jobstore.Failed {
			t.Errorf("seed %d: the job is %v, want it failed", seed, j.State)
		}
	}
}

// endHolder ends the entry that holds a stored job, for the rest of the run.
func (sim *simulation) endHolder() {
	holders := sim.control.table.Holders()
	for i, n := range sim.entries {
		if n.alive && len(holders) > 0 && n.holder == holders[0] {
			sim.endEntry(i, time.Hour)
		}
	}
}

// TestDeadly_TaskBesideACrashIsNotGivenUp covers innocent tasks: their workers end again and again, each time under another
// task, and they are tried alone in the end.
func TestDeadly_TaskBesideACrashIsNotGivenUp(t *testing.T) {
	h := newHarness(t, 4)
	h.submit("innocent", 1, 300*time.Millisecond)
	for crash := range 3 {
		worker, offer := h.lastOffer("innocent.0.0.0")
		if crash == 2 && !offer.IsExclusive {
			t.Error("after two crashes the task is not tried alone")
		}
		h.crash(worker, crash, work.CrashedRun{Task: offer.Task, Queue: "q", Crashes: offer.Crashes + 1, WasStarted: true, RanMS: int64(40 + 90*crash)},
			work.CrashedRun{Task: fmt.Sprintf("other%d.0.0.0", crash), Queue: "other", Crashes: 1, WasStarted: true, RanMS: 8})
		h.ended(worker, offer.RunID, work.Lost)
	}
	worker, offer := h.lastOffer("innocent.0.0.0")
	h.ended(worker, offer.RunID, work.Done)
	if got := h.answers["innocent"]; got.Result != dispatch.Completed {
		t.Errorf("answer %+v, want it completed", got)
	}
}

// lastOffer returns the last offer of a task, and its worker.
func (h *harness) lastOffer(task string) (worker string, last work.Offer) {
	for id, offers := range h.offers {
		for i := range offers {
			if offers[i].Task == task && offers[i].Run > last.Run {
				worker, last = id, offers[i]
			}
		}
	}
	return worker, last
}

func (h *harness) crash(worker string, number int, runs ...work.CrashedRun) {
	h.core.Take(h.now, worker, &work.ToEntry{Crashes: []work.Crash{{Incarnation: fmt.Sprint(worker, "@", number), Runs: runs}}})
}

// TestDeadly_JobThatRanIsNotRefusedAsNotRun covers the caller of a deadly job that submits it again, here at an entry that
// has only heard of the crash: the entry cannot serve it, and must not say that it has not run.
func TestDeadly_JobThatRanIsNotRefusedAsNotRun(t *testing.T) {
	h := newHarness(t, 2)
	h.crash("s0", 1, work.CrashedRun{Task: "j.0.0.0", Queue: "q", Crashes: 1, WasStarted: true, RanMS: 8})
	for _, worker := range []string{"s0", "s1"} {
		h.load(worker, work.Load{Committed: work.Needs{MilliCores: 40000}, WaitMS: [work.SlackLevels]int64{200, 200, 200}})
	}
	h.submit("j", 1, 60*time.Millisecond)
	if got := h.answers["j"]; got.Result != dispatch.GivenUp {
		t.Errorf("answer %+v, want it given up", got)
	}
	h.submit("new", 1, 60*time.Millisecond)
	if got := h.answers["new"]; got.Result != dispatch.Refused {
		t.Errorf("answer to a new job %+v, want it refused", got)
	}
}

// TestDeadly_GivenUpTaskIsNotStartedWhenItsJobIsSubmittedAgain covers an entry that has only heard of the crashes.
func TestDeadly_GivenUpTaskIsNotStartedWhenItsJobIsSubmittedAgain(t *testing.T) {
	h := newHarness(t, 3)
	for n, worker := range []string{"s0", "s1"} {
		h.crash(worker, n, work.CrashedRun{Task: "j.0.0.0", Queue: "q", Crashes: uint32(n + 1), WasStarted: true, RanMS: 8})
	}
	h.submit("j", 1, 60*time.Millisecond)
	if got := h.answers["j"]; got.Result != dispatch.JobFailed || got.Cause != dispatch.WorkersCrashed || h.total() != 0 {
		t.Errorf("answer %+v after %d offers, want it failed without any", got, h.total())
	}
}

// TestDeadly_CallerIsAnsweredOnceNoWorkerCanBeBackInTime covers a job of a contained queue whose workers go down for longer
// than its caller waits: it was held until its deadline.
func TestDeadly_CallerIsAnsweredOnceNoWorkerCanBeBackInTime(t *testing.T) {
	const downtime = 3 * time.Second
	h := newHarness(t, 2)
	for n, worker := range []string{"s0", "s1"} {
		h.crash(worker, n, work.CrashedRun{Task: "deadly.0.0.0", Queue: "q", Crashes: uint32(n + 1), WasStarted: true, RanMS: 8, ExpectedMS: 100})
	}
	h.down("s0", "s1")
	h.submit("contained", 1, 100*time.Millisecond)
	if got := h.answers["contained"]; got.Cause != dispatch.Contained {
		t.Fatalf("answer %+v, want a refusal because the queue is contained", got)
	}
	h.step(downtime)
	h.back("s0", "s1")
	h.submit("j", 1, 100*time.Millisecond)
	worker, offer := h.lastOffer("j.0.0.0")
	h.crash("s0", 2, work.CrashedRun{Task: "deadly2.0.0.0", Queue: "q", Crashes: 1, WasStarted: true, RanMS: 8})
	h.crash("s1", 3, work.CrashedRun{Task: "deadly3.0.0.0", Queue: "q", Crashes: 1, WasStarted: true, RanMS: 8},
		work.CrashedRun{Task: "j.0.0.0", Queue: "q", Crashes: 1, WasStarted: true, RanMS: 70})
	h.down("s0", "s1")
	h.ended(worker, offer.RunID, work.Lost)
	if got := h.answers["j"]; got.Result != dispatch.GivenUp || got.Cause != dispatch.Contained {
		t.Errorf("answer %+v, want the job given up at once", got)
	}
	h.submit("late", 1, 100*time.Millisecond)
	if got := h.answers["late"]; got.Result != dispatch.Refused || got.RetryAfter != downtime {
		t.Errorf("answer %+v, want a refusal until a worker may be back after %v", got, downtime)
	}
}

func (h *harness) down(workers ...string) {
	for _, worker := range workers {
		h.core.Take(h.now, worker, &work.ToEntry{Load: &work.Load{LastSequence: 1 << 30}})
	}
	h.step(0)
}

// back lets workers return from a crash.
func (h *harness) back(workers ...string) {
	for _, worker := range workers {
		h.core.Take(h.now, worker, &work.ToEntry{
			Worker: &work.Worker{Incarnation: worker + "'", Pool: "p", Capacity: work.Needs{MilliCores: 32000, MemoryMB: 64000}},
			Load:   &work.Load{Accepts: true, LastSequence: 1 << 30},
		})
	}
	h.step(0)
}

// Load pattern: a busy pool, and tasks that were beside two crashes. They are tried alone, which takes a worker for each, and must
// still end before their callers' deadlines.
func TestDeadly_TaskThatMustRunAloneIsServedInABusyPool(t *testing.T) {
	sim := newSimulation(t, 3, defaultLimits, 4, 11)
	sim.run(time.Second)
	number := 1000
	var arrive func()
	arrive = func() {
		number++
		sim.submitKind(sim.arrivals.IntN(4), jobID(number), sim.drawKind())
		sim.after(time.Duration(sim.arrivals.ExpFloat64()*float64(7*time.Millisecond)), arrive)
	}
	arrive()
	sim.run(3 * time.Second)
	const tasks = 8
	for n := range tasks {
		job, entry := jobID(n), n%len(sim.entries)
		for crash := range 2 {
			sim.entries[entry].core.Take(sim.now, name(crash), &work.ToEntry{Crashes: []work.Crash{{
				Incarnation: fmt.Sprint(job, crash), AgeMS: 1, Runs: []work.CrashedRun{
					{Task: job + ".0.0.0", Queue: "q", Crashes: uint32(crash + 1), WasStarted: true, RanMS: 30},
					{Task: "other.0.0.0", Queue: "r", Crashes: 1, WasStarted: true, RanMS: 50},
				},
			}}})
		}
		sim.submit(entry, job, 1, 100*time.Millisecond, 6*time.Second)
	}
	sim.run(10 * time.Second)
	for n := range tasks {
		if answers := sim.answers[jobID(n)]; len(answers) != 1 || answers[0].Result != dispatch.Completed {
			t.Errorf("job %d: answers %+v, want it completed", n, answers)
		}
	}
}

// TestDeadly_OffersOfAContainedQueueAreTakenBackFromOtherWorkers covers a task that waits to run alone when its queue becomes
// contained: it ended one of the workers that are left to the other queues, up to two seconds later.
func TestDeadly_OffersOfAContainedQueueAreTakenBackFromOtherWorkers(t *testing.T) {
	h := newHarness(t, 8)
	h.submit("j", 8, 300*time.Millisecond)
	offered := map[string]bool{}
	for _, worker := range h.workersWithOffers() {
		offered[worker] = true
	}
	for n, worker := range []string{"s0", "s1"} {
		h.crash(worker, n, work.CrashedRun{Task: "deadly.0.0.0", Queue: "q", Crashes: uint32(n + 1), WasStarted: true, RanMS: 8, ExpectedMS: 300})
	}
	h.step(0)
	others := 0
	for worker := range offered {
		if len(h.stops[worker]) > 0 {
			others++
		}
	}
	if len(offered) <= 4 || others < len(offered)-4 {
		t.Errorf("offers are taken back from %d of %d workers, want all but the four that the queue may use", others, len(offered))
	}
}

// TestDeadly_JobWhoseLostTaskCannotEndInTimeIsAnsweredAtOnce covers a job that lost a run late: it was held until its deadline.
func TestDeadly_JobWhoseLostTaskCannotEndInTimeIsAnsweredAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", 1, 900*time.Millisecond)
	worker, offer := h.lastOffer("j.0.0.0")
	h.step(1200 * time.Millisecond)
	h.crash(worker, 1, work.CrashedRun{Task: "j.0.0.0", Queue: "q", Crashes: 1, WasStarted: true, RanMS: 850, ExpectedMS: 900},
		work.CrashedRun{Task: "other.0.0.0", Queue: "other", Crashes: 1, WasStarted: true, RanMS: 8})
	h.ended(worker, offer.RunID, work.Lost)
	if got := h.answers["j"]; got.Result != dispatch.GivenUp || got.Cause != dispatch.WorkersCrashed {
		t.Errorf("answer %+v, want the job given up", got)
	}
}

// TestDeadly_WaitingTasksOfAContainedQueueTakeNoRoomOfOthers covers jobs that were refused although workers were free: the tasks of a
// contained queue waited for its own workers, and were expected to start before the others on those that it must not use.
func TestDeadly_WaitingTasksOfAContainedQueueTakeNoRoomOfOthers(t *testing.T) {
	h := newHarness(t, 4)
	h.submit("j", 8, 300*time.Millisecond)
	for n, worker := range []string{"s0", "s1"} {
		h.crash(worker, n, work.CrashedRun{Task: "deadly.0.0.0", Queue: "q", Crashes: uint32(n + 1), WasStarted: true, RanMS: 8, ExpectedMS: 300})
	}
	h.down("s0", "s1")
	for n := range 8 {
		worker, offer := h.lastOffer(fmt.Sprintf("j.0.0.%d", n))
		h.ended(worker, offer.RunID, work.Lost)
	}
	for _, worker := range []string{"s2", "s3"} {
		h.load(worker, work.Load{Committed: work.Needs{MilliCores: 24000}, WaitMS: [work.SlackLevels]int64{200, 200, 200}})
	}
	before := h.total()
	s := submission("other", 4, 60*time.Millisecond)
	s.Queue.Name = "other"
	h.core.Submit(h.now, s)
	h.step(0)
	if got, isAnswered := h.answers["other"]; isAnswered || h.total() != before+4 {
		t.Errorf("answer %+v after %d offers, want the four tasks of the other queue offered", got, h.total()-before)
	}
}

// TestDeadly_JobFailsOnlyForCrashesThatAreConfirmed guards against jobs that were shown as failed for workers that had not ended: they refused
// connections for longer than their leases, and answered again.
func TestDeadly_JobFailsOnlyForCrashesThatAreConfirmed(t *testing.T) {
	for _, isConfirmed := range []bool{true, false} {
		h := newHarness(t, 4)
		s := submission("j", 1, 300*time.Millisecond)
		s.Timeout = time.Minute
		h.core.Submit(h.now, s)
		h.step(0)
		var crashes []work.Crash
		var workers []string
		for n := range 2 {
			worker, offer := h.lastOffer("j.0.0.0")
			c := work.Crash{Incarnation: fmt.Sprint(worker, "@", n), IsUnconfirmed: true, Runs: []work.CrashedRun{
				{Task: "j.0.0.0", Queue: "q", Crashes: offer.Crashes + 1, WasStarted: true, RanMS: 8, ExpectedMS: 300},
			}}
			h.core.Take(h.now, worker, &work.ToEntry{Crashes: []work.Crash{c}})
			h.ended(worker, offer.RunID, work.Lost)
			crashes, workers = append(crashes, c), append(workers, worker)
		}
		for range 50 {
			h.step(100 * time.Millisecond)
			for n := range 4 {
				h.probe(fmt.Sprint("s", n))
			}
		}
		if len(h.answers) != 0 || h.total() != 2 {
			t.Fatalf("answers %+v, %d offers; want the task held back until its crashes are confirmed", h.answers, h.total())
		}
		for n := range crashes {
			frame := &work.ToEntry{Suspicions: []work.Suspicion{{Incarnation: crashes[n].Incarnation, IsWithdrawn: true}}}
			if crashes[n].IsUnconfirmed = false; isConfirmed {
				frame = &work.ToEntry{Crashes: crashes[n : n+1]}
			}
			h.core.Take(h.now, workers[n], frame)
		}
		h.step(0)
		if got := h.answers["j"]; isConfirmed != (got.Result == dispatch.JobFailed) || isConfirmed != (h.total() == 2) {
			t.Errorf("confirmed %v: answer %+v after %d offers", isConfirmed, got, h.total())
		}
	}
}

// TestDeadly_JobsOfWorkersThatOnlyRefuseConnectionsDoNotFail guards against jobs that are shown as failed because workers refused
// connections for longer than their lease: no worker has ended.
func TestDeadly_JobsOfWorkersThatOnlyRefuseConnectionsDoNotFail(t *testing.T) {
	for seed := range uint64(15) {
		sim := newSimulation(t, seed, defaultLimits, 1, 3)
		for n := range 8 {
			sim.after(time.Second+time.Duration(n)*100*time.Millisecond, func() { sim.submit(0, jobID(n), 1, 900*time.Millisecond, 0) })
		}
		for _, w := range sim.workers {
			for k := range 10 {
				at := 1200*time.Millisecond + time.Duration(k)*2500*time.Millisecond + time.Duration(sim.random.Int64N(int64(time.Second)))
				sim.after(at, func() { w.refusesUntil = sim.now + 1300*time.Millisecond })
			}
		}
		sim.run(30 * time.Second)
		for job, answers := range sim.answers {
			for _, answer := range answers {
				if answer.Result == dispatch.JobFailed {
					t.Errorf("seed %d: job %s failed (%v), but no worker has ended", seed, job, answer.Cause)
				}
			}
		}
		for _, overlap := range sim.overlaps {
			t.Errorf("seed %d: %s", seed, overlap)
		}
	}
}
