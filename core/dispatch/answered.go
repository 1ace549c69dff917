package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

const (
	// AnsweredRetention is how long an answer is remembered. A submission arrives again within seconds: its caller repeats it
	// after a lost answer, or a copy of it was delayed.
	AnsweredRetention = 30 * time.Second
	// maxAnswered limits how many answers are remembered; the oldest are dropped first.
	maxAnswered = 250_000
)

// AnsweredJob is the answer to a job whose caller waited, in the form in which entries share it.
type AnsweredJob struct {
	// Key is the JobKey of the job's ID.
	Key uint64
	// HasFailed is true for JobFailed, false for Completed.
	HasFailed bool
}

func (a AnsweredJob) result() Result {
	if a.HasFailed {
		return JobFailed
	}
	return Completed
}

// JobKey returns a hash of a job's ID, the same at all entries. It is short for a cryptographic hash, but a caller can't find
// an ID with the key of another caller's job.
func JobKey(id string) uint64 {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:])
}

// answeredJobs remembers the final answers to jobs whose callers waited, given by this entry or by others. A submission
// that arrives again gets the same answer, and its tasks don't run a second time. Load pattern: callers that repeat a
// request whose answer was lost, and requests that arrive twice, at any entry.
type answeredJobs struct {
	byKey map[uint64]bool
	order []answeredAt
}

type answeredAt struct {
	key uint64
	at  time.Duration
}

func newAnsweredJobs() answeredJobs {
	return answeredJobs{byKey: map[uint64]bool{}}
}

func (a *answeredJobs) add(now time.Duration, answered AnsweredJob) {
	a.dropOld(now)
	if _, isKnown := a.byKey[answered.Key]; isKnown {
		return
	}
	a.byKey[answered.Key] = answered.HasFailed
	a.order = append(a.order, answeredAt{key: answered.Key, at: now})
}

func (a *answeredJobs) dropOld(now time.Duration) {
	for len(a.order) > 0 && (now-a.order[0].at > AnsweredRetention || len(a.order) >= maxAnswered) {
		delete(a.byKey, a.order[0].key)
		a.order = a.order[1:]
	}
}

// find returns the answer to the job with the key.
func (a *answeredJobs) find(now time.Duration, key uint64) (AnsweredJob, bool) {
	a.dropOld(now)
	hasFailed, isKnown := a.byKey[key]
	return AnsweredJob{Key: key, HasFailed: hasFailed}, isKnown
}

// remember keeps the answer to a job whose caller waited, and passes it on to be shared with the other entries. A job that
// was refused or given up may be submitted again.
func (d *Dispatcher) remember(now time.Duration, j *job, answer Answer) {
	if answer.Cause == AnsweredBefore || answer.Result != Completed && answer.Result != JobFailed {
		return
	}
	answered := AnsweredJob{Key: j.key, HasFailed: answer.Result == JobFailed}
	d.answered.add(now, answered)
	d.effects.Answered = append(d.effects.Answered, answered)
}

// AnsweredElsewhere handles the answers that another entry has given. A job that is in progress here as well is stopped
// and answered likewise.
func (d *Dispatcher) AnsweredElsewhere(now time.Duration, answers []AnsweredJob) {
	news := make(map[uint64]AnsweredJob, len(answers))
	for _, answered := range answers {
		d.answered.add(now, answered)
		news[answered.Key] = answered
	}
	for _, j := range d.sortedJobs() {
		if answered, isAnswered := news[j.key]; isAnswered && !j.IsStored {
			d.stopTasks(j)
			d.answer(now, j, Answer{Result: answered.result(), Cause: AnsweredBefore})
		}
	}
}

// RecentlyAnswered returns all answers that are remembered, oldest first.
func (d *Dispatcher) RecentlyAnswered(now time.Duration) []AnsweredJob {
	d.answered.dropOld(now)
	all := make([]AnsweredJob, 0, len(d.answered.order))
	for _, answered := range d.answered.order {
		all = append(all, AnsweredJob{Key: answered.key, HasFailed: d.answered.byKey[answered.key]})
	}
	return all
}
