package workwire

import (
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// TestDecodeSubmission_JobsThatWouldEndAnEntryAreRefused guards against a stored job that ends one entry after the other.
func TestDecodeSubmission_JobsThatWouldEndAnEntryAreRefused(t *testing.T) {
	for name, steps := range map[string][]dispatch.Step{
		"too many tasks":     {{Count: 1 << 40}},
		"an overflow":        {{Count: 1 << 62}, {Count: 1 << 62}, {Count: 1 << 62}, {Count: 1 << 62}, {Count: 1}},
		"too many in total":  {{Count: 1400}, {Count: 1}},
		"a negative number":  {{Count: -1}},
		"a step of the past": {{Count: 1, After: []int{-1}}},
		"the step itself":    {{Count: 1, After: []int{0}}},
		"an unknown step":    {{Count: 1, After: []int{5}}},
	} {
		if job, err := DecodeSubmission(EncodeSubmission(&dispatch.Submission{ID: "j", Steps: steps})); err == nil {
			t.Errorf("%s: decoded %d steps", name, len(job.Steps))
		}
	}
}

// FuzzStoredJob checks that no decodable job that control assigns makes an entry panic, or take much memory.
func FuzzStoredJob(f *testing.F) {
	f.Add(EncodeSubmission(&dispatch.Submission{
		ID: "j", Spec: "x", IsStored: true, Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 2},
		Steps: []dispatch.Step{{Count: 2, Expected: time.Second}, {Count: 1, After: []int{0}}},
	}), uint32(0), uint32(1))
	f.Add(EncodeSubmission(&dispatch.Submission{ID: "j", Steps: []dispatch.Step{{Count: 1, After: []int{5}}}}), uint32(9), uint32(7))
	f.Add(EncodeSubmission(&dispatch.Submission{ID: "j", Steps: []dispatch.Step{{Count: 1, After: []int{0}}}}), uint32(1<<31), uint32(0))
	f.Add(EncodeSubmission(&dispatch.Submission{ID: "j", Steps: []dispatch.Step{{Count: 1 << 40}}}), uint32(0), uint32(0))
	f.Add(EncodeSubmission(&dispatch.Submission{ID: "j", Steps: []dispatch.Step{{Count: -1}}}), uint32(0), uint32(0))
	f.Fuzz(func(_ *testing.T, encoded []byte, step, index uint32) {
		job, err := DecodeSubmission(encoded)
		if err != nil {
			return
		}
		job.Epoch = 2
		job.Progress = []dispatch.TaskProgress{{Step: int(step), Index: int(index), IsDone: true}}
		now := time.Minute
		core := dispatch.New(dispatch.DefaultLimits, "a", 1)
		core.JobLeaseRenewed(now, now)
		core.Opened(now, "s", "a")
		core.Attached(now, "s", true)
		core.Take(now, "s", &work.ToEntry{
			Worker: &work.Worker{Incarnation: "w", Pool: "p", Capacity: work.Needs{MilliCores: 8000}}, Load: &work.Load{Accepts: true},
		})
		core.Accept(now, *job)
		for range 3 {
			core.Advance(now)
			core.Effects()
			now += time.Second
		}
	})
}

// FuzzAnnouncement checks that no decodable announcement that control gives back makes a sidecar panic.
func FuzzAnnouncement(f *testing.F) {
	f.Add(EncodeAnnouncement(&runner.Announcement{
		Worker: work.Worker{Incarnation: "w@5", Pool: "p", Labels: []string{"a"}, Capacity: work.Needs{MilliCores: -1}}, StartedAt: 5, ColdMS: 1 << 62,
	}))
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		announcement, err := DecodeAnnouncement(encoded)
		if err != nil {
			return
		}
		now := time.Minute
		core := runner.New(runner.DefaultLimits, 1)
		core.Recover(now, *announcement)
		core.Announced(now, *announcement)
		for range 3 {
			core.Advance(now)
			core.Effects()
			now += time.Second
		}
	})
}
