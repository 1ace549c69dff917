package runner_test

import (
	"testing"
	"time"

	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// runStored offers a stored task and confirms its start.
func (h *harness) runStored(task string) work.RunID {
	h.t.Helper()
	id := work.RunID{Task: task, Run: 1}
	h.core.Take(h.now, session, &work.ToSidecar{Offers: []work.Offer{{
		RunID: id, Needs: work.Needs{MilliCores: 1000}, ExpectedMS: 200, StartWithinMS: 400, IsStored: true,
	}}})
	h.step(0)
	h.core.Started(h.now, "w@1", id, runner.Accepted, h.reading())
	h.step(0)
	return id
}

// reportEnd answers the Hold with the first end of the worker's incarnation.
func (h *harness) reportEnd(id work.RunID) {
	h.t.Helper()
	if h.hold == nil {
		h.step(10 * time.Millisecond)
	}
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: id, Number: 1, Outcome: work.Done}}})
}

func (h *harness) confirm(from runner.Session, confirmed work.Confirmed) {
	h.core.Take(h.now, from, &work.ToSidecar{Confirmed: []work.Confirmed{confirmed}})
	h.step(0)
}

// openAnother opens a second session whose entry has answered a probe.
func (h *harness) openAnother() runner.Session {
	const other runner.Session = 2
	h.core.Open(h.now, other, work.Hello{Entry: "f"})
	h.step(0)
	h.core.Take(h.now, other, &work.ToSidecar{Echo: h.frame.Probe})
	h.frame.Ended = nil
	h.step(0)
	return other
}

func TestConfirm_WorkerForgetsAStoredEndOnceItIsRecorded(t *testing.T) {
	h := newHarness(t)
	id := h.runStored("j.0.0.0")
	h.reportEnd(id)
	if len(h.frame.Ended) != 1 || !h.frame.Ended[0].AwaitsConfirmation {
		t.Fatalf("sent %+v", h.frame.Ended)
	}
	h.step(15 * time.Millisecond)
	if h.hold == nil || h.hold.Confirmed != 0 {
		t.Fatalf("hold %+v, want one that confirms no end", h.hold)
	}
	h.report(&runner.Report{Answer: runner.Accepted, Ended: []runner.ReportedEnd{{RunID: id, Number: 1, Outcome: work.Done}}})
	h.confirm(session, work.Confirmed{RunID: id, IsRecorded: true})
	h.step(15 * time.Millisecond)
	if h.hold == nil || h.hold.Confirmed != 1 {
		t.Errorf("hold %+v, want the end confirmed", h.hold)
	}
	if len(h.frame.Ended) != 1 {
		t.Errorf("the end was sent %d times, want once", len(h.frame.Ended))
	}
}

func TestConfirm_UnconfirmedEndIsSentAgainToAllEntries(t *testing.T) {
	h := newHarness(t)
	id := h.runStored("j.0.0.0")
	h.reportEnd(id)
	h.openAnother()
	h.step(400 * time.Millisecond)
	h.echo()
	h.step(150 * time.Millisecond)
	if len(h.frame.Ended) != 2 {
		t.Errorf("sent %d times, want once to each of two entries", len(h.frame.Ended))
	}
}

func TestConfirm_EndOfAPredecessorsRunIsSentAndNeedsNoLeaseExpiryIfNotRecorded(t *testing.T) {
	h := newHarness(t)
	id := work.RunID{Task: "old.0.0.0", Run: 4}
	for range 2 {
		h.step(500 * time.Millisecond)
		h.echo()
	}
	h.reportEnd(id)
	if len(h.frame.Ended) != 1 {
		t.Fatalf("sent %+v", h.frame.Ended)
	}
	h.confirm(session, work.Confirmed{RunID: id})
	h.offer("new.0.0.0", 1000)
	if len(h.starts) != 1 {
		t.Error("the new task was not started")
	}
}

// TestConfirm_EndRecordedTooLateIsForgottenOnlyAfterLeaseExpiry cuts the connection between the sidecar and the entry
// whose task has completed. That entry may have started the task elsewhere before another entry has the end recorded.
func TestConfirm_EndRecordedTooLateIsForgottenOnlyAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t)
	id := h.runStored("j.0.0.0")
	h.reportEnd(id)
	h.core.Closed(h.now, session)
	other := h.openAnother()
	var lease int64
	for range 24 {
		h.step(50 * time.Millisecond)
		h.core.Take(h.now, other, &work.ToSidecar{Echo: h.frame.Probe})
		if h.hold != nil {
			lease = max(lease, h.hold.LeaseUntilMS)
			h.answerHold()
		}
	}
	h.confirm(other, work.Confirmed{RunID: id, IsRecorded: true})
	for range 60 {
		if h.hold != nil && h.hold.Confirmed == 1 {
			if h.clockMS <= lease {
				t.Errorf("end confirmed at %d ms, with a lease until %d ms", h.clockMS, lease)
			}
			return
		}
		if h.hold != nil {
			lease = max(lease, h.hold.LeaseUntilMS)
			h.answerHold()
		}
		h.step(50 * time.Millisecond)
		h.core.Take(h.now, other, &work.ToSidecar{Echo: h.frame.Probe})
	}
	t.Errorf("hold %+v, want the end confirmed after the lease has expired", h.hold)
}

func TestConfirm_NewIncarnationHasNothingToConfirm(t *testing.T) {
	h := newHarness(t)
	h.reportEnd(h.runStored("j.0.0.0"))
	h.restart(announcement(2))
	if !h.core.Idle() {
		t.Error("the runner awaits the confirmation of an end of the previous incarnation")
	}
}
