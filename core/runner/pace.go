package runner

import (
	"math"
	"time"

	"flamingohall.example/core/work"
)

const (
	// minProgress is the least progress, in percent, from which a run's duration is projected.
	minProgress = 4
	// minSpeedRuns is the number of runs needed to classify a worker as slow.
	minSpeedRuns = 3
	// slowRatio is the ratio of measured to expected duration from which a worker counts as slow.
	slowRatio = 1.6
	// speedDecay is the time constant with which the measured speed decays: to about a third in this time.
	speedDecay = 3 * time.Second
	// speedPercentStep is the rounding step in percent; it keeps small changes from being sent.
	speedPercentStep = 25
	// A run is reported as behind if its projected duration reaches behindFactor times the expected one plus behindSlack.
	behindFactor = 1.8
	behindSlack  = 100 * time.Millisecond
	// behindInterval is the least time between two such messages about a run.
	behindInterval = 100 * time.Millisecond
)

// projectedDuration estimates the total duration of the run from its progress; 0 if there is too little of it.
func (r *taskRun) projectedDuration() time.Duration {
	if r.percent < minProgress || r.reportedAt <= r.startedAt {
		return 0
	}
	return time.Duration(float64(r.reportedAt-r.startedAt) * 100 / r.percent)
}

// speed is the worker's measured speed: the logarithm of the ratio of measured to expected durations. Above 0 the
// worker is slower than expected.
type speed struct {
	logRatio float64
	at       time.Duration
}

// now returns the current estimate of the ratio of measured to expected durations. It decays towards 1, because an idle
// worker yields no measurements.
func (p speed) now(now time.Duration) float64 {
	return math.Exp(p.logRatio * math.Exp(-float64(now-p.at)/float64(speedDecay)))
}

// updateSpeed measures the speed from the progress of the running tasks. Estimates from single runs are rough, so
// classifying a worker as slow takes minSpeedRuns of them; for a worker that is already slow one is enough.
func (r *Runner) updateSpeed(now time.Duration) {
	var sum float64
	count := 0
	for _, run := range r.sorted() {
		total := run.projectedDuration()
		expected := time.Duration(run.ExpectedMS) * time.Millisecond
		if run.state != running || expected == 0 {
			continue
		}
		if total == 0 {
			// A run without progress counts once it has exceeded its expected duration.
			total = now - run.startedAt
			if total < expected {
				continue
			}
		}
		sum += math.Log(float64(total) / float64(expected))
		count++
	}
	isSlow := r.speed.now(now) >= slowRatio
	if count >= minSpeedRuns || count > 0 && isSlow {
		r.speed = speed{logRatio: sum / float64(count), at: now}
	}
}

// speedPercent returns the ratio of measured to expected durations as it is sent to entries: in percent, rounded.
func (r *Runner) speedPercent(now time.Duration) int64 {
	percent := 100 * r.speed.now(now)
	return int64(math.Round(percent/speedPercentStep)) * speedPercentStep
}

// reportBehind informs the entry of a run that will take much longer than expected, as it may have a faster worker.
func (r *Runner) reportBehind(now time.Duration, run *taskRun) {
	total := run.projectedDuration()
	expected := time.Duration(run.ExpectedMS) * time.Millisecond
	if run.state != running || expected == 0 || now < run.behindSentAt+behindInterval {
		return
	}
	if float64(total) < behindFactor*float64(expected)+float64(behindSlack) {
		return
	}
	if s := r.sessions[run.session]; s != nil {
		run.behindSentAt = now
		s.frame.Overdue = append(s.frame.Overdue, work.Overdue{
			RunID: run.RunID, RemainingMS: run.remaining(now).Milliseconds(),
		})
	}
}
