package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/work"
)

// storedTask is a harness with a stored job "j" of one task, and what control has recorded of it.
type storedTask struct {
	*harness
	table *jobstore.Table
}

func newStoredTask(t *testing.T) *storedTask {
	t.Helper()
	s := &storedTask{harness: newStoredHarness(t, 4), table: jobstore.NewTable(jobstore.DefaultLimits)}
	s.table.Store(jobstore.Store{Job: "j", Queue: "q", Holder: "a", Steps: []uint32{1}, Attempts: 3}, 1)
	s.take(t, "a")
	return s
}

// take has the harness take the job from control.
func (s *storedTask) take(t *testing.T, holder string) {
	t.Helper()
	jobs := s.table.HeldBy(holder, 0)
	if len(jobs) != 1 {
		t.Fatalf("%d jobs of holder %s, want one", len(jobs), holder)
	}
	job := submission("j", 1, 10*time.Second)
	job.Epoch, job.Progress, job.Queue.Attempts = jobs[0].Epoch, progressOf(jobs[0]), 3
	s.core.Accept(s.now, job)
	s.step(0)
}

// step lets time pass, and has control record what the dispatcher asks for.
func (s *storedTask) step(by time.Duration) {
	s.harness.step(by)
	for _, record := range s.records {
		if record.IsCrash {
			s.table.RecordCrash(jobstore.Crash{Task: record.Task, Run: record.Run})
		} else {
			s.table.Record(jobstore.RunEnd{Task: record.Task, Run: record.Run, IsFailure: record.IsFailure}, 0)
		}
	}
	s.records = nil
}

// probeAll lets time pass while all sessions last.
func (s *storedTask) probeAll(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.step(100 * time.Millisecond)
		for n := range 4 {
			s.probe(fmt.Sprint("s", n))
		}
		s.core.JobLeaseRenewed(s.now, s.now)
	}
}

// crashOf is the report that the worker of an offer has ended under it.
func crashOf(worker string, offer work.Offer) work.Crash {
	return work.Crash{Incarnation: worker + "@1", Runs: []work.CrashedRun{
		{Task: offer.Task, Queue: "q", Crashes: offer.Crashes + 1, WasStarted: true, RanMS: 700, ExpectedMS: 10_000},
	}}
}

// lose ends the current run as lost, after the given reports of a crash.
func (s *storedTask) lose(crashes ...work.Crash) {
	worker, offer := s.lastOffer("j.0.0.0")
	s.core.Take(s.now, worker, &work.ToEntry{Crashes: crashes, Ended: []work.Ended{{RunID: offer.RunID, Outcome: work.Lost, Cause: "lease expired"}}})
	s.step(0)
}

func (s *storedTask) recorded() int {
	return s.table.Find("j").Progress(0, 0).Crashes
}

// TestStored_PlannedLeavesAfterACrashFailNoJob guards against stored jobs that were shown as failed though one worker had crashed under
// them: runs that were lost because their workers left were recorded as crashes, too, and the next holder gave the task up.
func TestStored_PlannedLeavesAfterACrashFailNoJob(t *testing.T) {
	for _, isToldFirst := range []bool{true, false} {
		holder := newStoredTask(t)
		worker, offer := holder.lastOffer("j.0.0.0")
		past := crashOf(worker, offer)
		holder.lose(past)
		holder.probeAll(3 * time.Second)
		for range 2 {
			holder.lose()
			holder.probeAll(time.Second)
		}
		if got := holder.recorded(); got != 1 {
			t.Errorf("%d crashes recorded after a crash and two planned leaves, want 1", got)
		}
		holder.table.Retire(jobstore.Retire{Holder: "a", Successors: []string{"b"}}, 2)

		next := &storedTask{harness: newStoredHarness(t, 4), table: holder.table}
		past.AgeMS = 5000
		if isToldFirst {
			next.core.Take(next.now, worker, &work.ToEntry{Crashes: []work.Crash{past}})
		}
		next.take(t, "b")
		if !isToldFirst {
			next.core.Take(next.now, worker, &work.ToEntry{Crashes: []work.Crash{past}})
		}
		next.probeAll(time.Second)
		if _, again := next.lastOffer("j.0.0.0"); again.Run != 10_001 || again.Crashes != 1 {
			t.Errorf("crash told first %v: offers %+v, answers %v; want the task offered with one crash", isToldFirst, next.offers, next.answers)
		}
		next.lose()
		next.probeAll(time.Second)
		if _, again := next.lastOffer("j.0.0.0"); again.Run != 10_002 || again.Crashes != 1 || again.IsExclusive {
			t.Errorf("crash told first %v: offer %+v, want the task offered with one crash", isToldFirst, again)
		}
		if state := next.table.Find("j").State; state != jobstore.Open {
			t.Errorf("the job is %v", state)
		}
	}
}

// TestStored_CrashIsRecordedOnceConfirmed guards against records of crashes that were none: the worker refused connections for longer than
// its lease, and answered again.
func TestStored_CrashIsRecordedOnceConfirmed(t *testing.T) {
	for name, want := range map[string]int{"withdrawn": 0, "confirmed": 1, "neither": 1} {
		s := newStoredTask(t)
		worker, offer := s.lastOffer("j.0.0.0")
		c := crashOf(worker, offer)
		c.IsUnconfirmed = true
		s.lose(c)
		s.probeAll(time.Second)
		if got := s.recorded(); got != 0 {
			t.Errorf("%s: %d crashes recorded while the crash is not confirmed", name, got)
		}
		switch name {
		case "withdrawn":
			s.core.Take(s.now, worker, &work.ToEntry{Suspicions: []work.Suspicion{{Incarnation: c.Incarnation, IsWithdrawn: true}}})
		case "confirmed":
			c.IsUnconfirmed = false
			s.core.Take(s.now, worker, &work.ToEntry{Crashes: []work.Crash{c}})
			s.step(0)
			if got := s.recorded(); got != 1 {
				t.Errorf("%d crashes recorded after the confirmation, want 1", got)
			}
		}
		s.probeAll(15 * time.Second)
		if got := s.recorded(); got != want {
			t.Errorf("%s: %d crashes recorded, want %d", name, got, want)
		}
	}
}

// TestStored_CrashUnderAnEarlierRunIsNotRecordedForALaterOne covers an entry that learns of a crash when its session opens again, and has
// offered the task anew to that worker.
func TestStored_CrashUnderAnEarlierRunIsNotRecordedForALaterOne(t *testing.T) {
	s := newStoredTask(t)
	worker, offer := s.lastOffer("j.0.0.0")
	past := crashOf(worker, offer)
	past.AgeMS = 60_000
	s.core.Take(s.now, worker, &work.ToEntry{Crashes: []work.Crash{past}})
	s.step(0)
	if got := s.recorded(); got != 0 {
		t.Errorf("%d crashes recorded for a run that goes on, want none", got)
	}
	s.core.Closed(s.now, worker)
	s.step(10 * time.Millisecond)
	s.reopen(worker)
	later := crashOf(worker, offer)
	later.Incarnation, later.AgeMS = worker+"@2", 1
	s.core.Take(s.now, worker, &work.ToEntry{Crashes: []work.Crash{later}})
	s.step(0)
	if got := s.recorded(); got != 1 {
		t.Errorf("%d crashes recorded for the run that was at the worker when its session ended, want 1", got)
	}
}

// TestStoredHistory_NoJobFailsForOneCrash guards against the same failure in random histories: workers leave as planned and crash, and the
// holders of the jobs end.
func TestStoredHistory_NoJobFailsForOneCrash(t *testing.T) {
	const jobs, length = 8, 24 * time.Second
	failed := 0
	for seed := range uint64(15) {
		sim := newSimulation(t, seed, defaultLimits, 0, 6)
		sim.control = newFakeControl(sim, holderTimeout)
		for i := range 4 {
			sim.entries = append(sim.entries, &entryNode{})
			sim.startEntry(i)
		}
		for n := range jobs {
			sim.after(time.Second+time.Duration(sim.random.Int64N(int64(length/4))), func() {
				sim.control.store(sim.random.IntN(4), dispatch.Submission{
					ID: jobID(n), Spec: "5s", IsStored: true, Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond},
					Steps: []dispatch.Step{{Count: 1, Needs: work.Needs{MilliCores: 1000}, Expected: 5 * time.Second}},
				})
			})
		}
		crashes := map[string]int{}
		for _, w := range sim.workers {
			for at := 2 * time.Second; at < length; at += 3 * time.Second {
				sim.after(at+time.Duration(sim.random.Int64N(int64(2*time.Second))), func() {
					if sim.random.IntN(4) > 0 {
						w.leave(500*time.Millisecond, 500*time.Millisecond)
						return
					}
					for task := range w.runs {
						crashes[task]++
					}
					w.crash(500 * time.Millisecond)
				})
			}
		}
		for i := range sim.entries {
			sim.after(time.Duration(6+4*i)*time.Second, func() { sim.endEntry(i, 500*time.Millisecond) })
		}
		sim.run(length)
		for n := range jobs {
			if j := sim.control.table.Find(jobID(n)); j != nil && j.State == jobstore.Failed && crashes[jobID(n)+".0.0.0"] < 2 {
				if failed++; failed < 8 {
					t.Errorf("seed %d: job %s failed after %d crashes", seed, jobID(n), crashes[jobID(n)+".0.0.0"])
				}
			}
		}
	}
	if failed > 0 {
		t.Errorf("%d jobs failed", failed)
	}
}
