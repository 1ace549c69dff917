package runner

import (
	"math"
	"time"

	"flamingohall.example/core/work"
)

const (
	// minProgress is the progress, in percent, from which on it tells how long a run will take.
	minProgress = 4
	// minPaceRuns is how many runs must have made progress for the worker's pace to be told.
	minPaceRuns = 3
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

// pace returns how long runs take at present, in percent of what is expected. Estimates of single runs are rough; the
// mean over a few tells a slow worker.
func (r *Runner) pace(now time.Duration) int64 {
	var sum float64
	count := 0
	for _, one := range r.sorted() {
		total := one.impliedLength()
		if one.state != running || one.ExpectedMS == 0 {
			continue
		}
		if total == 0 {
			// A run without progress counts once it has lasted longer than it should.
			total = now - one.startedAt
			if total < time.Duration(one.ExpectedMS)*time.Millisecond {
				continue
			}
		}
		sum += math.Log(float64(total) / float64(time.Duration(one.ExpectedMS)*time.Millisecond))
		count++
	}
	if count < minPaceRuns {
		return 0
	}
	percent := 100 * math.Exp(sum/float64(count))
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
		s.frame.Behind = append(s.frame.Behind, work.Behind{
			RunID: one.RunID, RemainingMS: one.remaining(now).Milliseconds(),
		})
	}
}
