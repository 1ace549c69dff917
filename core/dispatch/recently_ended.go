package dispatch

import "time"

const (
	// recentlyEndedRetention is how long the state of a stored job is kept after its end here: longer than any answer of
	// control can be in transit. Control keeps it longer.
	recentlyEndedRetention = 2 * time.Minute
	// maxRecentlyEnded limits how many are kept.
	maxRecentlyEnded = 20_000
)

// recentlyEnded holds the stored jobs that have ended here recently.
type recentlyEnded struct {
	jobs  map[string]endedJob
	order []jobEnd
}

type endedJob struct {
	epoch uint32
	state StoredState
}

type jobEnd struct {
	id string
	at time.Duration
}

// endStates maps the results of stored jobs to their states.
var endStates = map[Result]StoredState{
	Completed: StoredCompleted, JobFailed: StoredFailed, JobCancelled: StoredCancelled,
}

// covers reports whether the job has ended here under this epoch or a later one.
func (r *recentlyEnded) covers(id string, epoch uint32) bool {
	ended, isKnown := r.jobs[id]
	return isKnown && epoch <= ended.epoch
}

func (r *recentlyEnded) add(now time.Duration, j *job, state StoredState) {
	for len(r.order) > 0 && (now-r.order[0].at > recentlyEndedRetention || len(r.order) >= maxRecentlyEnded) {
		delete(r.jobs, r.order[0].id)
		r.order = r.order[1:]
	}
	r.jobs[j.ID] = endedJob{epoch: j.Epoch, state: state}
	r.order = append(r.order, jobEnd{id: j.ID, at: now})
}
