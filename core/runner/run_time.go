package runner

import (
	"math"
	"time"

	"flamingohall.example/core/work"
)

const (
	// minProgressPercent is the least progress from which a total run time is projected.
	minProgressPercent = 4
	// minRatioRuns is the number of runs needed to classify a worker as slow.
	minRatioRuns = 3
	// slowRatio is the ratio of measured to expected run time from which a worker counts as slow.
	slowRatio = 1.6
	// ratioDecay is the time constant with which the logarithm of the ratio decays: to about a third in this time.
	ratioDecay = 3 * time.Second
	// runTimePercentStep is the rounding step of work.Load.RunTimePercent; it keeps small changes from being sent.
	runTimePercentStep = 25
	// A run is overdue if its projected run time reaches overdueFactor times the expected one plus overdueSlack.
	overdueFactor = 1.8
	overdueSlack  = 100 * time.Millisecond
	// overdueInterval is the least time between two reports that a run is overdue.
	overdueInterval = 100 * time.Millisecond
)

// projectedRunTime estimates the total run time from the progress; 0 if there is too little progress.
func (r *taskRun) projectedRunTime() time.Duration {
	if r.percent < minProgressPercent || r.reportedAt <= r.startedAt {
		return 0
	}
	return time.Duration(float64(r.reportedAt-r.startedAt) * 100 / r.percent)
}

// runTimeRatio is the worker's measured speed, expressed as the ratio of measured to expected run times: 2 means half the
// expected speed.
type runTimeRatio struct {
	// logRatio is the natural logarithm of the ratio as of the time at.
	logRatio float64
	at       time.Duration
}

// now returns the current estimate of the ratio. It decays towards 1, because an idle worker yields no measurements.
func (r runTimeRatio) now(now time.Duration) float64 {
	return math.Exp(r.logRatio * math.Exp(-float64(now-r.at)/float64(ratioDecay)))
}

// updateRunTimeRatio measures the ratio from the progress of the running tasks. Estimates from single runs are rough, so
// classifying a worker as slow takes minRatioRuns of them; for a worker that is already slow one is enough.
func (r *Runner) updateRunTimeRatio(now time.Duration) {
	var sum float64
	count := 0
	for _, run := range r.sorted() {
		total := run.projectedRunTime()
		expected := time.Duration(run.ExpectedMS) * time.Millisecond
		if run.state != running || expected == 0 {
			continue
		}
		if total == 0 {
			// A run without progress counts once it has exceeded its expected run time.
			total = now - run.startedAt
			if total < expected {
				continue
			}
		}
		sum += math.Log(float64(total) / float64(expected))
		count++
	}
	isSlow := r.runTimeRatio.now(now) >= slowRatio
	if count >= minRatioRuns || count > 0 && isSlow {
		r.runTimeRatio = runTimeRatio{logRatio: sum / float64(count), at: now}
	}
}

// runTimePercent returns the run time ratio as it is sent to entries: in percent, rounded.
func (r *Runner) runTimePercent(now time.Duration) int64 {
	percent := 100 * r.runTimeRatio.now(now)
	return int64(math.Round(percent/runTimePercentStep)) * runTimePercentStep
}

// reportOverdue informs the entry of a run that is overdue, because the entry may have a faster worker.
func (r *Runner) reportOverdue(now time.Duration, run *taskRun) {
	total := run.projectedRunTime()
	expected := time.Duration(run.ExpectedMS) * time.Millisecond
	if run.state != running || expected == 0 || now < run.overdueSentAt+overdueInterval {
		return
	}
	if float64(total) < overdueFactor*float64(expected)+float64(overdueSlack) {
		return
	}
	if s := r.sessions[run.session]; s != nil {
		run.overdueSentAt = now
		s.frame.Overdue = append(s.frame.Overdue, work.Overdue{
			RunID: run.RunID, RemainingMS: run.remaining(now).Milliseconds(),
		})
	}
}
