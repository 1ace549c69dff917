package share

import (
	"math"
	"time"

	"flamingohall.example/core/work"
)

const (
	// ratePeriod is the averaging time of the rate at which work starts. It covers some hundred starts of an entry near full
	// load, and is shorter than a crest takes to rise.
	ratePeriod = 200 * time.Millisecond
	// tolerableShare is the part of the spare time of the most urgent jobs that a wait may take without any refusal. The
	// rest covers what waits vary by: a job is as late as the last of its tasks.
	tolerableShare = 0.3
	// priorityShare is the part of that spare time by which the wait counts as longer for each level of priority below the
	// first, up to maxLevels, so that less urgent jobs are refused somewhat more often.
	priorityShare = 0.02
	maxLevels     = 5
	// minSpare is the least spare time that bounds the backlog. Shorter waits come from messages in transit alone, so that a queue
	// whose objective leaves less, or is shorter than its work, can't be helped by refusing the jobs of all queues.
	minSpare = 50 * time.Millisecond
	// rememberedFor is how long a queue without jobs still counts as one of the pool's queues.
	rememberedFor = 5 * time.Second
)

// Meter measures the backlog of one entry in one pool. It is not safe for concurrent use.
type Meter struct {
	// started is the decaying sum of the thousandths of a core that started, as of the time at.
	started float64
	at      time.Duration
}

// Started counts the start of a task.
func (m *Meter) Started(now time.Duration, needs work.Needs) {
	m.started, m.at = m.decayed(now)+float64(needs.MilliCores), now
}

// Report returns the entry's backlog, given the total needs of its tasks that wait for their start.
func (m *Meter) Report(now time.Duration, waiting work.Needs) work.Backlog {
	return work.Backlog{
		WaitingMilliCores:   waiting.MilliCores,
		MilliCoresPerSecond: int64(m.decayed(now) / ratePeriod.Seconds()),
	}
}

func (m *Meter) decayed(now time.Duration) float64 {
	return m.started * math.Exp(-float64(now-m.at)/float64(ratePeriod))
}

// Wait returns how long a task that joins a backlog waits for its start: 0 if nothing has started lately, since the pool is idle
// or has just become reachable.
func Wait(b work.Backlog) time.Duration {
	if b.MilliCoresPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(b.WaitingMilliCores) / float64(b.MilliCoresPerSecond) * float64(time.Second))
}

// Spares holds the spare times of the queues of one pool: how long a queue's jobs can wait and still end in time.
type Spares struct {
	queues map[string]spare
}

type spare struct {
	mean time.Duration
	at   time.Duration
}

// Observe adds the spare time of a job.
func (s *Spares) Observe(now time.Duration, queue string, of time.Duration) {
	if s.queues == nil {
		s.queues = map[string]spare{}
	}
	known, isKnown := s.queues[queue]
	if !isKnown {
		known.mean = of
	}
	const weight = 0.05
	known.mean += time.Duration(weight * float64(of-known.mean))
	known.at = now
	s.queues[queue] = known
}

// Least returns the spare time of the most urgent queue that had jobs lately. The backlog delays the jobs of all queues, so
// this queue bounds it.
func (s *Spares) Least(now time.Duration) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, known := range s.queues {
		if now-known.at <= rememberedFor {
			least = min(least, known.mean)
		}
	}
	return max(least, minSpare)
}

// RefusedPart returns the part of the jobs of a priority that is refused, from 0 to 1: none while the wait is tolerable, and
// all once it takes the whole spare time of the most urgent jobs. In between the part grows with the wait, which then
// settles where the accepted work equals the capacity. A limit at which all entries refuse everything at once would leave
// workers idle until the next reports.
func RefusedPart(wait, leastSpare time.Duration, priority int) float64 {
	spare := float64(leastSpare)
	tolerable := tolerableShare * spare
	effectiveWait := float64(wait) + priorityShare*spare*float64(min(priority, maxLevels))
	if wait == 0 || effectiveWait <= tolerable {
		return 0
	}
	return min(1, (effectiveWait-tolerable)/(spare-tolerable))
}

const (
	// minRetryAfter is the least time after which a refused caller may return.
	minRetryAfter = time.Second
	// maxRetrySpread bounds the time over which refused callers are told to return.
	maxRetrySpread = 4 * time.Second
)

// RetryAfter returns when a refused caller may return, in whole seconds as callers are told them. The returning callers are spread over a time that is the longer, the more of
// them there are for each accepted one, because they come on top of the new jobs: all at once they would be refused again. Of
// this time, callers of higher priority get the earlier part. draw is a random number from 0 to 1.
func RetryAfter(refusedPart float64, priority int, draw float64) time.Duration {
	perAccepted := refusedPart / max(1-refusedPart, 0.01)
	spread := min(float64(maxRetrySpread), 2*perAccepted*float64(time.Second))
	position := (float64(min(priority, 2)) + draw) / 3
	return (minRetryAfter + time.Duration(spread*position)).Round(time.Second)
}
