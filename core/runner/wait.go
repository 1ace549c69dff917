package runner

import (
	"slices"
	"time"

	"flamingohall.example/core/work"
)

// minRemaining is what a run that has taken longer than expected is still given.
const minRemaining = 10 * time.Millisecond

// release is room that is expected to become free.
type release struct {
	at    time.Duration
	share float64
}

// expectedWait returns how long one more offer of mean size and a level of slack would wait for room, if runs take as long
// as expected and start in the order of their slack.
func (r *Runner) expectedWait(now time.Duration, level int) time.Duration {
	free := 1.0
	var releases []release
	for _, one := range r.runs {
		if one.takesRoom() {
			share := one.Needs.ShareOf(r.worker.Capacity)
			free -= share
			releases = append(releases, release{at: now + one.remaining(now), share: share})
		}
	}
	at := now
	for _, one := range r.sorted() {
		if one.state != queued || work.SlackLevel((one.latestStart()-now).Milliseconds()) > level {
			continue
		}
		share := one.Needs.ShareOf(r.worker.Capacity)
		at, free = waitFor(at, free, share, &releases)
		free -= share
		releases = append(releases, release{at: at + time.Duration(one.ExpectedMS)*time.Millisecond, share: share})
	}
	at, _ = waitFor(at, free, r.meanNeeds, &releases)
	return at - now
}

// waitFor returns when a share is free, and how much is free then. What is released until then is taken off the list.
func waitFor(at time.Duration, free, share float64, releases *[]release) (time.Duration, float64) {
	slices.SortFunc(*releases, func(a, b release) int { return int(a.at - b.at) })
	for free < share && len(*releases) > 0 {
		next := (*releases)[0]
		*releases = (*releases)[1:]
		at, free = max(at, next.at), free+next.share
	}
	return at, free
}

// remaining returns how long the run is expected to go on: by its progress, as soon as there is some.
func (r *run) remaining(now time.Duration) time.Duration {
	if total := r.impliedLength(); total > 0 {
		return max(minRemaining, total-(now-r.startedAt))
	}
	expected := time.Duration(r.ExpectedMS) * time.Millisecond
	since := r.changedAt
	if r.wasStarted {
		since = r.startedAt
	}
	return max(minRemaining, expected-(now-since))
}
