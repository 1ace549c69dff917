package runner

import (
	"slices"
	"time"

	"flamingohall.example/core/work"
)

// minRemaining is the estimated remaining time of a run that has exceeded its expected run time.
const minRemaining = 10 * time.Millisecond

// release is capacity that is expected to become free.
type release struct {
	at    time.Duration
	share float64
}

// expectedWait estimates how long another offer of mean size and the given slack level would wait for capacity.
func (r *Runner) expectedWait(now time.Duration, level int) time.Duration {
	if r.isPlanned() {
		return r.meanOfferWait(now, level)
	}
	return r.expectedWaitFor(now, level, r.meanShare, false)
}

// expectedWaitFor estimates how long an offer that needs a share of the capacity would wait for it. It assumes that runs
// take as long as expected and start in the order of their slack. An offer that yields because it is late waits for all others.
func (r *Runner) expectedWaitFor(now time.Duration, level int, needed float64, yields bool) time.Duration {
	free := 1.0
	var releases []release
	for _, run := range r.runs {
		if run.usesCapacity() {
			share := r.shareOfRun(run)
			free -= share
			releases = append(releases, release{at: now + run.remaining(now), share: share})
		}
	}
	at := now
	for _, run := range r.sorted() {
		if run.state != queued || !yields && (run.yields(now) || work.SlackLevel((run.latestStart()-now).Milliseconds()) > level) {
			continue
		}
		share := r.shareOfRun(run)
		at, free = waitForShare(at, free, share, &releases)
		free -= share
		releases = append(releases, release{at: at + time.Duration(run.ExpectedMS)*time.Millisecond, share: share})
	}
	at, _ = waitForShare(at, free, needed, &releases)
	return at - now
}

// waitForShare returns when a share of the capacity is free and how much is free then. It removes the releases up to
// that time from the list.
func waitForShare(at time.Duration, free, share float64, releases *[]release) (time.Duration, float64) {
	slices.SortFunc(*releases, func(a, b release) int { return int(a.at - b.at) })
	for free < share && len(*releases) > 0 {
		next := (*releases)[0]
		*releases = (*releases)[1:]
		at, free = max(at, next.at), free+next.share
	}
	return at, free
}

// remaining estimates the run's remaining time, from its progress if there is enough and from its expected run time
// otherwise.
func (r *taskRun) remaining(now time.Duration) time.Duration {
	if total := r.projectedRunTime(); total > 0 {
		return max(minRemaining, total-(now-r.startedAt))
	}
	expected := time.Duration(r.ExpectedMS) * time.Millisecond
	since := r.changedAt
	if r.wasStarted {
		since = r.startedAt
	}
	return max(minRemaining, expected-(now-since))
}
