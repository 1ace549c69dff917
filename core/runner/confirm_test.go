package runner_test

import (
	"testing"
	"time"

	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// runStored offers a stored task and confirms its start.
func (b *bench) runStored(task string) work.RunID {
	b.t.Helper()
	id := work.RunID{Task: task, Run: 1}
	b.core.Take(b.now, session, &work.ToSidecar{Offers: []work.Offer{{
		RunID: id, Needs: work.Needs{MilliCores: 1000}, ExpectedMS: 200, StartWithinMS: 400, IsStored: true,
	}}})
	b.step(0)
	b.core.Started(b.now, id, runner.Accepted, b.reading())
	b.step(0)
	return id
}

// listEnd answers the hold with the first end of the worker's life.
func (b *bench) listEnd(id work.RunID) {
	b.t.Helper()
	if b.hold == nil {
		b.step(10 * time.Millisecond)
	}
	b.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: id, Number: 1, Outcome: work.Done}}})
}

func (b *bench) confirm(from runner.Session, confirmed work.Confirmed) {
	b.core.Take(b.now, from, &work.ToSidecar{Confirmed: []work.Confirmed{confirmed}})
	b.step(0)
}

// openAnother opens a second session whose entry answers.
func (b *bench) openAnother() runner.Session {
	const other runner.Session = 2
	b.core.Open(b.now, other, work.Hello{Entry: "f"})
	b.step(0)
	b.core.Take(b.now, other, &work.ToSidecar{Echo: b.frame.Probe})
	b.frame.Ended = nil
	b.step(0)
	return other
}

func TestConfirm_WorkerForgetsAStoredEndOnceItIsRecorded(t *testing.T) {
	b := newBench(t)
	id := b.runStored("j.0.0.0")
	b.listEnd(id)
	if len(b.frame.Ended) != 1 || !b.frame.Ended[0].AwaitsConfirmation {
		t.Fatalf("told %+v", b.frame.Ended)
	}
	b.step(15 * time.Millisecond)
	if b.hold == nil || b.hold.Confirmed != 0 {
		t.Fatalf("hold %+v, want one that lets nothing be forgotten", b.hold)
	}
	b.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: id, Number: 1, Outcome: work.Done}}})
	b.confirm(session, work.Confirmed{RunID: id, IsRecorded: true})
	b.step(15 * time.Millisecond)
	if b.hold == nil || b.hold.Confirmed != 1 {
		t.Errorf("hold %+v, want the end to be forgotten", b.hold)
	}
	if len(b.frame.Ended) != 1 {
		t.Errorf("the end was told %d times", len(b.frame.Ended))
	}
}

func TestConfirm_EndThatNobodyConfirmsIsToldAgainToAll(t *testing.T) {
	b := newBench(t)
	id := b.runStored("j.0.0.0")
	b.listEnd(id)
	b.openAnother()
	b.step(400 * time.Millisecond)
	b.echo()
	b.step(150 * time.Millisecond)
	if len(b.frame.Ended) != 2 {
		t.Errorf("told %d times, want once to each of two entries", len(b.frame.Ended))
	}
}

func TestConfirm_EndOfAPredecessorsRunIsToldAndNeedsNoLapseIfNobodyKeepsIt(t *testing.T) {
	b := newBench(t)
	id := work.RunID{Task: "old.0.0.0", Run: 4}
	for range 2 {
		b.step(500 * time.Millisecond)
		b.echo()
	}
	b.listEnd(id)
	if len(b.frame.Ended) != 1 {
		t.Fatalf("told %+v", b.frame.Ended)
	}
	b.confirm(session, work.Confirmed{RunID: id})
	b.offer("new.0.0.0", 1000)
	if len(b.starts) != 1 {
		t.Error("the worker gets no new tasks")
	}
}

// TestConfirm_EndRecordedTooLateIsForgottenOnlyAfterALapse replays a cut between the sidecar and the entry whose task is done.
// That entry may have started the task elsewhere by the time another one has the end recorded.
func TestConfirm_EndRecordedTooLateIsForgottenOnlyAfterALapse(t *testing.T) {
	b := newBench(t)
	id := b.runStored("j.0.0.0")
	b.listEnd(id)
	b.core.Closed(b.now, session)
	other := b.openAnother()
	var lease int64
	for range 24 {
		b.step(50 * time.Millisecond)
		b.core.Take(b.now, other, &work.ToSidecar{Echo: b.frame.Probe})
		if b.hold != nil {
			lease = max(lease, b.hold.LeaseUntilMS)
			b.answerHold()
		}
	}
	b.confirm(other, work.Confirmed{RunID: id, IsRecorded: true})
	for range 60 {
		if b.hold != nil && b.hold.Confirmed == 1 {
			if b.clockMS <= lease {
				t.Errorf("forgotten at %d, with a lease until %d", b.clockMS, lease)
			}
			return
		}
		if b.hold != nil {
			lease = max(lease, b.hold.LeaseUntilMS)
			b.answerHold()
		}
		b.step(50 * time.Millisecond)
		b.core.Take(b.now, other, &work.ToSidecar{Echo: b.frame.Probe})
	}
	t.Errorf("hold %+v, want the end forgotten after the lapse", b.hold)
}

func TestConfirm_NewLifeOfTheWorkerHasNothingToConfirm(t *testing.T) {
	b := newBench(t)
	b.listEnd(b.runStored("j.0.0.0"))
	b.core.Announced(b.now, announcement(2))
	b.step(0)
	if !b.core.Idle() {
		t.Error("waits for the confirmation of an earlier life's end")
	}
}
