package runner

import (
	"math"
	"time"

	"flamingohall.example/core/work"
)

const (
	// minProgress is the progress, in percent, from which on it tells how long a run will take.
	minProgress = 4
	// minPaceRuns is how many runs must have made progress for a worker to be called slow.
	minPaceRuns = 3
	// slowRatio is the pace from which on a worker counts as slow.
	slowRatio = 1.6
	// paceMemory is the time in which what is known of the pace fades to a third of it.
	paceMemory = 3 * time.Second
	// pacePrecision keeps small changes from being told, in percent.
	pacePrecision = 25
	// behindFactor and behindSlack bound how much longer than expected a run may take before its entry is told.
	behindFactor = 1.8
	behindSlack  = 100 * time.Millisecond
	// behindPeriod is the time between two such messages about a run.
	behindPeriod = 100 * time.Millisecond
)

// impliedLength returns how long the run takes in all, judged by its progress; 0 when there is too little of it.
func (r *run) impliedLength() time.Duration {
	if r.percent < minProgress || r.reportedAt <= r.startedAt {
		return 0
	}
	return time.Duration(float64(r.reportedAt-r.startedAt) * 100 / r.percent)
}

// pace is what is remembered of how long runs take, as the logarithm of the ratio to what is expected.
type pace struct {
	logRatio float64
	at       time.Duration
}

// now returns the ratio that is believed. It fades: nobody knows how a worker does that gets no work.
func (p pace) now(now time.Duration) float64 {
	return math.Exp(p.logRatio * math.Exp(-float64(now-p.at)/float64(paceMemory)))
}

// updatePace takes the progress of the running tasks in. Estimates of single runs are rough, so that a few are needed to
// call a worker slow; to learn whether it still is, one will do.
func (r *Runner) updatePace(now time.Duration) {
	var sum float64
	count := 0
	for _, one := range r.sorted() {
		total := one.impliedLength()
		expected := time.Duration(one.ExpectedMS) * time.Millisecond
		if one.state != running || expected == 0 {
			continue
		}
		if total == 0 {
			// A run without progress counts once it has lasted longer than it should.
			total = now - one.startedAt
			if total < expected {
				continue
			}
		}
		sum += math.Log(float64(total) / float64(expected))
		count++
	}
	isSlow := r.pace.now(now) >= slowRatio
	if count >= minPaceRuns || count > 0 && isSlow {
		r.pace = pace{logRatio: sum / float64(count), at: now}
	}
}

// pacePercent returns the pace as it is told, in percent.
func (r *Runner) pacePercent(now time.Duration) int64 {
	percent := 100 * r.pace.now(now)
	return int64(math.Round(percent/pacePrecision)) * pacePrecision
}

// tellBehind lets the entry know of a run that will take much longer than expected: it may have a better worker.
func (r *Runner) tellBehind(now time.Duration, one *run) {
	total := one.impliedLength()
	expected := time.Duration(one.ExpectedMS) * time.Millisecond
	if one.state != running || expected == 0 || now < one.toldBehindAt+behindPeriod {
		return
	}
	if float64(total) < behindFactor*float64(expected)+float64(behindSlack) {
		return
	}
	if s := r.sessions[one.session]; s != nil {
		one.toldBehindAt = now
		s.frame.Overdue = append(s.frame.Overdue, work.Overdue{
			RunID: one.RunID, RemainingMS: one.remaining(now).Milliseconds(),
		})
	}
}
