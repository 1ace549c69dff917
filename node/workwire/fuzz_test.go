package workwire

import (
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// FuzzFrameToSidecar checks that no decodable frame of an entry makes a sidecar panic.
func FuzzFrameToSidecar(f *testing.F) {
	id := work.RunID{Task: "j.0.0.0", Run: 1}
	f.Add(EncodeToSidecar(&work.ToSidecar{Hello: &work.Hello{Entry: "e"}, Echo: 1, Offers: []work.Offer{{
		RunID: id, Sequence: 1, Needs: work.Needs{MilliCores: 1000}, ExpectedMS: 50, StartWithinMS: 100, SlackMS: -5, IsStored: true,
		MayReserve: true,
	}}}))
	f.Add(EncodeToSidecar(&work.ToSidecar{
		Stops: []work.RunID{id}, CancelledJobs: []string{"j"}, Confirmed: []work.Confirmed{{RunID: id, IsRecorded: true}},
	}))
	f.Add([]byte{0xa1, 0x03, 0x81, 0xa0})
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		frame, err := DecodeToSidecar(encoded)
		if err != nil {
			return
		}
		const session = 1
		now := time.Minute
		core := runner.New(runner.DefaultLimits, 1)
		core.Announced(now, runner.Announcement{Worker: work.Worker{Incarnation: "w", Capacity: work.Needs{MilliCores: 8000}}})
		core.Open(now, session, work.Hello{Entry: "e"})
		core.Advance(now)
		if hold := core.Effects().Hold; hold != nil {
			core.Reported(now, &runner.Report{Answer: runner.Accepted, Number: hold.Number, ClockReading: runner.ClockReading{ClockMS: 1}})
		}
		for range 3 {
			core.Take(now, session, frame)
			core.Advance(now)
			core.Effects()
			now += 100 * time.Millisecond
		}
	})
}

// FuzzFrameToEntry checks that no decodable frame of a sidecar makes an entry panic.
func FuzzFrameToEntry(f *testing.F) {
	id := work.RunID{Task: "j.0.0.0", Run: 1}
	f.Add(EncodeToEntry(&work.ToEntry{
		Probe: 1, Worker: &work.Worker{Incarnation: "w", Pool: "p", Capacity: work.Needs{MilliCores: 8000}},
		Load: &work.Load{Accepts: true, LastSequence: 1}, Started: []work.RunID{id},
		Ended: []work.Ended{{RunID: id, Outcome: work.Done, RanMS: 5, AwaitsConfirmation: true}},
	}))
	f.Add(EncodeToEntry(&work.ToEntry{
		Refused: []work.Refused{{RunID: id, Reason: work.Full}}, Overdue: []work.Overdue{{RunID: id, RemainingMS: -1}},
		CancelledJobs: []string{"j"},
		Crashes:       []work.Crash{{Incarnation: "w", AgeMS: -1, Runs: []work.CrashedRun{{Task: id.Task, Queue: "q", Crashes: 2, WasStarted: true, RanMS: -5}}}},
		Suspicions:    []work.Suspicion{{Incarnation: "w", OverInMS: -1, Runs: []work.CrashedRun{{Task: id.Task, Queue: "q"}}}, {IsWithdrawn: true}},
	}))
	f.Add([]byte{0xa1, 0x05, 0x81, 0xa0})
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		frame, err := DecodeToEntry(encoded)
		if err != nil {
			return
		}
		now := time.Minute
		core := dispatch.New(dispatch.DefaultLimits, "a", 1)
		core.Opened(now, "s", "a")
		core.Attached(now, "s", true)
		core.Take(now, "s", &work.ToEntry{
			Worker: &work.Worker{Incarnation: "w", Pool: "p", Capacity: work.Needs{MilliCores: 8000}}, Load: &work.Load{Accepts: true},
		})
		core.Submit(now, dispatch.Submission{
			ID: "j", Timeout: time.Second, Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 2, Slack: 1.6, Target: time.Second},
			Steps: []dispatch.Step{{Count: 2, Needs: work.Needs{MilliCores: 1000}, Expected: 50 * time.Millisecond}},
		})
		for range 3 {
			core.Advance(now)
			core.Effects()
			core.Take(now, "s", frame)
			now += 100 * time.Millisecond
		}
		core.Advance(now)
	})
}
