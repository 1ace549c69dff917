package crash

import (
	"cmp"
	"maps"
	"slices"

	"flamingohall.example/core/work"
)

// culprit is a task that has probably ended a worker.
type culprit struct {
	task, queue string
	// ranMS is how long it ran before its worker ended.
	ranMS int64
}

const (
	// maxRunRatio and runMarginMS bound the difference of similar run times, in milliseconds: workers differ in speed, and starts
	// and ends are learned by messages.
	maxRunRatio = 1.25
	runMarginMS = 2
	// minLead is how many times better one queue must explain the crashes than chance, and than any other queue.
	minLead = 3
	// minOdds is how many times better it must do so than chance if no task was at two of the workers. Then the workers may have
	// ended by themselves.
	minOdds = 10
	// unexplainedOdds is how improbable it is that a worker ends by itself among others that tasks have ended.
	unexplainedOdds = 0.2
	// repeatedOdds is how much more probable it is that a task ended its worker if another worker had ended at the same point of
	// its work.
	repeatedOdds = 4
)

func isSimilar(aMS, bMS int64) bool {
	return float64(max(aMS, bMS)) <= maxRunRatio*float64(min(aMS, bMS))+runMarginMS
}

// findCulprit returns the task of the last crash that has most probably ended its worker, if that is clear enough. Tasks of one
// queue that end their workers fail at about the same point of their work, so that each of the crashes has a task of this queue
// and age. That the tasks of another queue are of one age in all crashes is a coincidence, which is the less probable the longer
// they run.
func findCulprit(crashes []ended) (culprit, bool) {
	if len(crashes) < crashesUntilGivenUp {
		return culprit{}, false
	}
	odds, found := map[string]float64{}, map[string]culprit{}
	last := crashes[len(crashes)-1].runs
	for i := range last {
		if !last[i].WasStarted {
			continue
		}
		candidate := culprit{task: last[i].Task, queue: last[i].Queue, ranMS: last[i].RanMS}
		if o := oddsOf(candidate, crashes); o > odds[candidate.queue] {
			odds[candidate.queue], found[candidate.queue] = o, candidate
		}
	}
	ranked := slices.SortedFunc(maps.Keys(odds), func(a, b string) int {
		return cmp.Or(cmp.Compare(odds[b], odds[a]), cmp.Compare(a, b))
	})
	if len(ranked) == 0 {
		return culprit{}, false
	}
	best, second := odds[ranked[0]], 1.0
	if len(ranked) > 1 {
		second = max(second, odds[ranked[1]])
	}
	isClear := best >= minLead*second && (best >= minOdds || hasRepeated(crashes))
	return found[ranked[0]], isClear
}

// hasRepeated reports whether a task was at the workers of the last crash and of an earlier one.
func hasRepeated(crashes []ended) bool {
	last := crashes[len(crashes)-1]
	return slices.ContainsFunc(crashes[:len(crashes)-1], func(earlier ended) bool {
		return slices.ContainsFunc(last.runs, func(r work.CrashedRun) bool { return earlier.has(r.Task) })
	})
}

func (e *ended) has(task string) bool {
	return slices.ContainsFunc(e.runs, func(r work.CrashedRun) bool { return r.Task == task && r.WasStarted })
}

// oddsOf returns how much more probable the crashes are if tasks of the candidate's queue end their workers at its age than if
// such tasks were at the workers by chance. The candidate is one of several in the last crash.
func oddsOf(candidate culprit, crashes []ended) float64 {
	odds, isRepeated := 1.0, false
	for i := range crashes[:len(crashes)-1] {
		chance, match := chanceOfMatch(candidate, crashes[i].runs)
		if match == noMatch {
			odds *= unexplainedOdds
			continue
		}
		odds /= chance
		isRepeated = isRepeated || match == sameTask
	}
	if isRepeated {
		odds *= repeatedOdds
	}
	return odds / float64(jobsOf(crashes[len(crashes)-1].runs, candidate.queue))
}

// jobsOf returns how many jobs of a queue had started tasks among runs. The tasks of one job start together and are lost
// together, so they are one candidate and one coincidence, not several.
func jobsOf(runs []work.CrashedRun, queue string) int {
	jobs := map[string]bool{}
	for i := range runs {
		if runs[i].Queue == queue && runs[i].WasStarted {
			jobs[work.JobOf(runs[i].Task)] = true
		}
	}
	return len(jobs)
}

// match says which task of a crash is of the candidate's queue and age.
type match uint8

const (
	noMatch match = iota
	sameQueue
	sameTask
)

// chanceOfMatch looks for a task of the candidate's queue that had run for about as long as the candidate, and returns how
// probable it is by chance that there is one. If it is the candidate itself, the chance is that of one task.
func chanceOfMatch(candidate culprit, runs []work.CrashedRun) (float64, match) {
	found, hasMate := noMatch, false
	// The tasks of one job count once, see jobsOf.
	chances := map[string]float64{}
	for i := range runs {
		run := &runs[i]
		if run.Queue != candidate.queue || !run.WasStarted {
			continue
		}
		chance := chanceOfAge(candidate.ranMS, run.ExpectedMS)
		if isSimilar(candidate.ranMS, run.RanMS) {
			switch {
			case run.Task == candidate.task:
				return chance, sameTask
			case work.JobOf(run.Task) == work.JobOf(candidate.task):
				hasMate = true
				continue
			}
			found = sameQueue
		}
		job := work.JobOf(run.Task)
		chances[job] = max(chances[job], chance)
	}
	if found == noMatch && hasMate {
		// Tasks of one job start at several workers at once, so that they are of one age there tells nothing.
		return 1, sameQueue
	}
	none := 1.0
	for _, job := range slices.Sorted(maps.Keys(chances)) {
		none *= 1 - chances[job]
	}
	return 1 - none, found
}

// chanceOfAge returns how probable it is that a task of the expected run time is of about the given age.
func chanceOfAge(ageMS, expectedMS int64) float64 {
	const minChance, maxChance = 0.01, 0.99
	width := float64(ageMS)*(maxRunRatio-1/maxRunRatio) + 2*runMarginMS
	return min(maxChance, max(minChance, width/max(1, float64(expectedMS))))
}
