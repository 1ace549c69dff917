package entry

import (
	"container/list"
	"crypto/sha256"
	"sync"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/job"
	"flamingohall.example/core/placement"
)

// record is a submission that this entry knows: in progress, or answered and kept for resubmissions. Only the loop may
// use it, except for done, the fields that never change, and those that are final once done is closed.
type record struct {
	accepted  *accepted
	job       *job.Job
	createdAt time.Time
	deadline  time.Time
	claimTime time.Duration
	waitTime  time.Duration
	isPlaced  bool
	// retryAfter is the delay after which a new submission may succeed; it is returned with a failed job.
	retryAfter time.Duration

	waiting *placement.Waiting
	// cursor is the task index at which the search for the next waiting task begins.
	cursor int
	// candidates are the IDs of the targets that the claim names; nil allows all.
	candidates map[string]bool
	// firstEpoch is the epoch of the job's first claim.
	firstEpoch  uint64
	isExtending bool
	timer       *time.Timer
	// wake is the time for which timer is set.
	wake time.Time

	// done is closed once result or failure is set.
	done    chan struct{}
	result  *result
	failure *fault.Error
	// isPinned prevents the eviction of an answered record until its answer is stored with control.
	isPinned bool
	// isStored is true once control has stored the answer or storing it has finally failed.
	isStored bool
}

// result is a final answer. It is encoded on first use.
type result struct {
	once    sync.Once
	answer  *answer
	encoded []byte
	// size is the approximate memory use of the answer in bytes.
	size int
}

// answerOverheadBytes is the approximate memory use of an answer without results: once for the answer, and per task.
const answerOverheadBytes = 256

func newResult(a *answer) *result {
	size := answerOverheadBytes
	for i := range a.Tasks {
		size += answerOverheadBytes + len(a.Tasks[i].Result)
	}
	return &result{answer: a, size: size}
}

func encodedResult(encoded []byte) *result {
	return &result{encoded: encoded, size: answerOverheadBytes + len(encoded)}
}

func (r *result) bytes() []byte {
	r.once.Do(func() {
		if r.encoded == nil {
			r.encoded = r.answer.encode()
			r.answer = nil
		}
	})
	return r.encoded
}

// isAnswered reports whether the record has its final answer.
func (r *record) isAnswered() bool {
	return r.result != nil || r.failure != nil
}

func (r *record) sameBody(digest [sha256.Size]byte) bool {
	return r.accepted.digest == digest
}

// releaseWork drops what an answered record no longer needs, mainly the payloads.
func (r *record) releaseWork() {
	slim := *r.accepted
	slim.Tasks = nil
	r.accepted = &slim
	r.job = nil
	r.waiting = nil
	r.candidates = nil
	r.timer = nil
}

// store holds the records by job id and limits the memory use of the answered ones.
type store struct {
	byID     map[string]*record
	answered *list.List
	// size is the memory use of the answered records, limit its maximum, both in bytes.
	size  int
	limit int
	// active counts the records that have no final answer, or whose answer is not stored yet.
	active int
}

func newStore(limitBytes int) *store {
	return &store{byID: map[string]*record{}, answered: list.New(), limit: limitBytes}
}

func (s *store) add(r *record) {
	s.byID[r.accepted.id] = r
	s.active++
}

// drop removes a record in progress, as after a refusal.
func (s *store) drop(r *record) {
	delete(s.byID, r.accepted.id)
	s.active--
}

// keep retains an answered record for resubmissions and evicts the oldest ones beyond the limit.
func (s *store) keep(r *record) {
	s.active--
	r.releaseWork()
	s.answered.PushBack(r)
	s.size += r.result.size
	for s.size > s.limit && s.answered.Len() > 0 {
		oldest, _ := s.answered.Remove(s.answered.Front()).(*record)
		s.size -= oldest.result.size
		delete(s.byID, oldest.accepted.id)
	}
}
