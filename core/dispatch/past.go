package dispatch

import "time"

const (
	// pastMemory is how long the states of stored jobs are remembered after their end here: longer than any answer of
	// control is on its way. Control knows them longer.
	pastMemory = 2 * time.Minute
	// maxPast bounds how many are remembered.
	maxPast = 20_000
)

// past remembers the stored jobs that are over here.
type past struct {
	jobs  map[string]pastJob
	order []pastEntry
}

type pastJob struct {
	epoch uint32
	state StoredState
}

type pastEntry struct {
	id string
	at time.Duration
}

// endStates are the states that ends stand for.
var endStates = map[Result]StoredState{
	Completed: StoredCompleted, JobFailed: StoredFailed, JobCancelled: StoredCancelled,
}

// knows reports whether the job was here as this holder's, or a later one's.
func (p *past) knows(id string, epoch uint32) bool {
	known, isKnown := p.jobs[id]
	return isKnown && epoch <= known.epoch
}

func (p *past) add(now time.Duration, j *job, state StoredState) {
	for len(p.order) > 0 && (now-p.order[0].at > pastMemory || len(p.order) >= maxPast) {
		delete(p.jobs, p.order[0].id)
		p.order = p.order[1:]
	}
	p.jobs[j.ID] = pastJob{epoch: j.Epoch, state: state}
	p.order = append(p.order, pastEntry{id: j.ID, at: now})
}
