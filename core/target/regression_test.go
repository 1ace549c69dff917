package target

import (
	"testing"
	"time"
)

// driver sends events to a target and collects its starts.
type driver struct {
	*Target
	now    time.Duration
	waiter uint64
	starts []Start
}

func newDriver(options Options) *driver {
	options.Incarnation = "here"
	return &driver{Target: New(options)}
}

func (d *driver) send(event Event) []TaskOutcome {
	var reported []TaskOutcome
	for _, effect := range d.Step(d.now, event) {
		switch effect := effect.(type) {
		case Start:
			d.starts = append(d.starts, effect)
		case Answer:
			reported = effect.Outcomes
		}
	}
	return reported
}

// run sends task 0 of a never-repeated job and returns its current outcome.
func (d *driver) run(job byte, epoch uint64, attempt uint32) TaskOutcome {
	d.waiter++
	reported := d.send(Run{
		Waiter: d.waiter, Job: JobID{job}, Incarnation: "here", Epoch: epoch, Deadline: d.now + time.Minute,
		Tasks: []Spec{{Index: 0, Attempt: attempt}},
	})
	if len(reported) == 0 {
		reported = d.send(HoldOver{Waiter: d.waiter})
	}
	return reported[0]
}

func (d *driver) finish(outcome Outcome) {
	last := d.starts[len(d.starts)-1]
	d.send(Finished{Job: last.Job, Index: last.Index, Attempt: last.Attempt, Outcome: outcome})
}

// forgetAll lets every outcome exceed its maximum age.
func (d *driver) forgetAll() {
	d.now += smallMemory.OutcomeAge + time.Millisecond
	d.send(Tick{})
}

func wantOutcome(t *testing.T, got TaskOutcome, want Outcome, cause Cause) {
	t.Helper()
	if got.Outcome != want || got.Cause != cause {
		t.Errorf("outcome %d cause %d %q, want %d cause %d", got.Outcome, got.Cause, got.Reason, want, cause)
	}
}

// dropped returns a driver that ran job 1 under epoch 1 and has dropped its tombstone since.
func dropped() *driver {
	d := newDriver(smallMemory)
	for job := range byte(2) {
		d.run(job+1, uint64(job)+1, 1)
		d.finish(Done)
		d.forgetAll()
	}
	return d
}

func TestForgotten_TombstoneReportsUnknown(t *testing.T) {
	d := newDriver(smallMemory)
	d.run(1, 1, 1)
	d.finish(Done)
	d.forgetAll()
	wantOutcome(t, d.run(1, 1, 1), Unknown, CauseLost)
	wantOutcome(t, d.run(1, 5, 2), Unknown, CauseLost)
}

func TestForgotten_RefusalStaysNotRun(t *testing.T) {
	d := newDriver(smallMemory)
	d.send(Drain{Drained: true})
	wantOutcome(t, d.run(1, 1, 1), NotRun, CauseLeaving)
	d.send(Drain{})
	d.forgetAll()
	wantOutcome(t, d.run(1, 1, 1), NotRun, CauseSealed)
	wantOutcome(t, d.run(1, 1, 2), Running, CauseNone)
}

func TestDropped_CopyAfterCancelDoesNotStart(t *testing.T) {
	d := dropped()
	d.send(Cancel{Waiter: 100, Jobs: []CancelledJob{{Job: JobID{1}, Indexes: []uint32{0}}}})
	wantOutcome(t, d.run(1, 1, 1), Unknown, CauseLost)
	d.forgetAll()
	wantOutcome(t, d.run(1, 1, 1), Unknown, CauseLost)
}

// A cancel that names a task of a forgotten job records it as cancelled, which does not show that it never ran.
func TestDropped_CancelledTaskMayHaveRun(t *testing.T) {
	cancel := Cancel{Waiter: 100, Jobs: []CancelledJob{{Job: JobID{1}, Indexes: []uint32{0}}}}
	queries := map[string]Event{
		"seal of the task":  Seal{Waiter: 101, Job: JobID{1}, Incarnation: "here", Epoch: 1, Attempt: 1, Indexes: []uint32{0}},
		"takeover":          Seal{Waiter: 101, Job: JobID{1}, Incarnation: "here", Epoch: 9, FirstEpoch: 1, Indexes: []uint32{0}, All: true},
		"status":            Status{Waiter: 101, Job: JobID{1}, Indexes: []uint32{0}},
		"status of the job": Status{Waiter: 101, Job: JobID{1}},
	}
	for name, query := range queries {
		t.Run(name, func(t *testing.T) {
			d := dropped()
			d.send(cancel)
			wantOutcome(t, d.send(query)[0], Unknown, CauseLost)
		})
	}
	t.Run("takeover of a newer claim", func(t *testing.T) {
		d := dropped()
		d.send(cancel)
		seal := Seal{Waiter: 101, Job: JobID{1}, Incarnation: "here", Epoch: 9, FirstEpoch: 8, Indexes: []uint32{0}, All: true}
		wantOutcome(t, d.send(seal)[0], Cancelled, CauseCancelled)
	})
}

func TestDropped_SealReportsUnknownUnlessTheClaimIsNewer(t *testing.T) {
	d := dropped()
	seal := Seal{Waiter: 100, Job: JobID{9}, Incarnation: "here", Epoch: 9, Indexes: []uint32{0}, All: true}
	wantOutcome(t, d.send(seal)[0], Unknown, CauseLost)
	seal.Job = JobID{10}
	seal.FirstEpoch = 8
	wantOutcome(t, d.send(seal)[0], NotRun, CauseSealed)
}

func TestForgotten_CancelledBeforeArrivalStaysCancelled(t *testing.T) {
	d := newDriver(smallMemory)
	d.send(Cancel{Waiter: 100, Jobs: []CancelledJob{{Job: JobID{1}, Indexes: []uint32{0}}}})
	wantOutcome(t, d.run(1, 1, 1), Cancelled, CauseCancelled)
	d.forgetAll()
	wantOutcome(t, d.run(1, 1, 1), NotRun, CauseSealed)
}

// takeOver seals a job at epoch 2 before the first holder's request, sent under epoch 1, arrives.
func takeOver(disabled disabledSafeguards) (*driver, TaskOutcome, TaskOutcome) {
	d := newDriver(largeMemory)
	d.disabled = disabled
	sealed := d.send(Seal{Waiter: 100, Job: JobID{1}, Incarnation: "here", Epoch: 2, Indexes: []uint32{0}, All: true})
	return d, sealed[0], d.run(1, 1, 1)
}

func TestFence_DelayedRequestOfOldHolderStartsNothing(t *testing.T) {
	d, sealed, late := takeOver(disabledSafeguards{})
	wantOutcome(t, sealed, NotRun, CauseSealed)
	wantOutcome(t, late, NotRun, CauseFenced)
	wantOutcome(t, d.run(1, 2, 1), Running, CauseNone)
	if _, _, late := takeOver(disabledSafeguards{fence: true}); late.Outcome != Running {
		t.Errorf("without the fence the delayed request ended as %d: the test does not exercise the fence", late.Outcome)
	}
}

func TestSeal_OwnEpochStopsTheDelayedAttempt(t *testing.T) {
	d := newDriver(largeMemory)
	seal := Seal{Waiter: 100, Job: JobID{1}, Incarnation: "here", Epoch: 1, Indexes: []uint32{0}, Attempt: 1}
	wantOutcome(t, d.send(seal)[0], NotRun, CauseSealed)
	wantOutcome(t, d.run(1, 1, 1), NotRun, CauseSealed)
	wantOutcome(t, d.run(1, 1, 2), Running, CauseNone)
	wantOutcome(t, d.send(seal)[0], Running, CauseNone)
}

func TestSeal_OfAnotherProcessReportsUnknown(t *testing.T) {
	d := newDriver(largeMemory)
	seal := Seal{Waiter: 100, Job: JobID{1}, Incarnation: "earlier", Epoch: 2, Indexes: []uint32{0}, All: true}
	wantOutcome(t, d.send(seal)[0], Unknown, CauseLost)
}

func TestSeal_StaleHolderGetsUnknownForUnseenTasks(t *testing.T) {
	d := newDriver(largeMemory)
	d.run(1, 3, 1)
	seal := Seal{Waiter: 100, Job: JobID{1}, Incarnation: "here", Epoch: 2, Indexes: []uint32{0, 1}, All: true}
	reported := d.send(seal)
	wantOutcome(t, reported[0], Running, CauseNone)
	wantOutcome(t, reported[1], Unknown, CauseFenced)
}

func TestMemory_FullOfOutcomesStillAcceptsWork(t *testing.T) {
	d := newDriver(smallMemory)
	for job := range byte(20) {
		wantOutcome(t, d.run(job+1, uint64(job)+1, 1), Running, CauseNone)
		d.finish(Done)
	}
	if _, bytes, _ := d.Remembered(); bytes > smallMemory.OutcomeBytes {
		t.Errorf("%d bytes remembered", bytes)
	}
}

func TestStart_NeverRepeatedTaskMayOutliveItsDeadline(t *testing.T) {
	d := newDriver(largeMemory)
	d.run(1, 1, 1)
	if got := d.starts[0].Deadline; got != time.Minute+largeMemory.SettleTime {
		t.Errorf("deadline %s", got)
	}
	d.send(Run{
		Waiter: 50, Job: JobID{2}, Repeatable: true, Deadline: time.Minute, Tasks: []Spec{{Index: 0, Attempt: 1}},
	})
	if got := d.starts[1].Deadline; got != time.Minute {
		t.Errorf("deadline %s of a repeatable task", got)
	}
}

func TestQueue_JobsTakeTurnsAndEarlierDeadlinesGoFirst(t *testing.T) {
	d := newDriver(Options{Slots: 1, Queue: 100, OutcomeBytes: 1 << 20, OutcomeAge: time.Hour, Tombstones: 1})
	for job, deadline := range []time.Duration{3, 2, 1} {
		d.send(Run{
			Waiter: uint64(job + 1), Job: JobID{byte(job)}, Repeatable: true, Deadline: deadline * time.Second,
			Tasks: []Spec{{Index: 0, Attempt: 1}, {Index: 1, Attempt: 1}},
		})
	}
	var order []byte
	for range 6 {
		order = append(order, d.starts[len(d.starts)-1].Job[0])
		d.finish(Done)
	}
	if got, want := string(order), "\x00\x02\x01\x00\x02\x01"; got != want {
		t.Errorf("order %v, want %v", order, []byte(want))
	}
}

func TestSlots_ShrinkOnRefusalAndRecover(t *testing.T) {
	d := newDriver(largeMemory)
	for job := range byte(3) {
		d.run(job+1, 1, 1)
	}
	last := d.starts[2]
	d.send(Finished{Job: last.Job, Index: 0, Attempt: 1, Outcome: NotRun, Cause: CauseBusy})
	if load := d.Load(); load.Slots != 2 || load.Busy != 2 {
		t.Fatalf("load %+v after a refusal with two running", load)
	}
	wantOutcome(t, d.run(4, 1, 1), Queued, CauseNone)
	d.now += slotRecoveryDelay
	d.send(Tick{})
	if load := d.Load(); load.Slots != 3 || load.Busy != 3 || load.Queued != 0 {
		t.Errorf("load %+v after the recovery", load)
	}
}
