package claim

import (
	"bytes"
	"container/list"
)

// Status is the result of a Claim or Finish.
type Status uint8

// Results of Claim and Finish.
const (
	// Granted means that the caller is the job's holder under Answer.Epoch.
	Granted Status = iota + 1
	// Held means that another process is the job's holder.
	Held
	// Finished means that the job is finished; Answer.Body is empty if its answer is no longer kept.
	Finished
	// Conflict means that the job was claimed with a different body.
	Conflict
	// Fenced means that the epoch in the request is not the job's current one.
	Fenced
	// Full means that there is no room for another job, since no job is old enough to be evicted.
	Full
)

// Limits bound the content of a Table. Times are in milliseconds, sizes in bytes; the package documentation explains
// them.
type Limits struct {
	AnswerBytes int
	AnswerMS    int64
	RecordBytes int
	RecordMS    int64
	MinRecordMS int64
}

// DefaultLimits are the limits of the replicated state. They must be the same on all replicas.
var DefaultLimits = Limits{
	AnswerBytes: 16 << 20,
	AnswerMS:    60 * 60 * 1000,
	RecordBytes: 36 << 20,
	RecordMS:    24 * 60 * 60 * 1000,
	MinRecordMS: 60 * 60 * 1000,
}

// MaxAnswerBytes is the size of the largest answer that is stored. Of a job with a larger one, only the fact that it
// finished is stored.
const MaxAnswerBytes = 1 << 20

// recordOverheadBytes estimates the memory of a record without its strings and byte slices.
const recordOverheadBytes = 160

// Target identifies a process that may have tasks of the job.
type Target struct {
	ID          string `cbor:"id"`
	Incarnation string `cbor:"inc"`
}

// Request is a claim of a job. At most one of TakeOverEpoch and ExtendEpoch is set.
type Request struct {
	Job         string `cbor:"job"`
	Holder      string `cbor:"by"`
	Incarnation string `cbor:"inc"`
	// Digest identifies the body. It may be empty if ExtendEpoch is set.
	Digest  []byte   `cbor:"sum"`
	Targets []Target `cbor:"on"`
	// TakeOverEpoch is the epoch of the claim to take over from a dead holder. ExtendEpoch is the epoch of the caller's
	// own claim, to which the targets are added.
	TakeOverEpoch uint64 `cbor:"take"`
	ExtendEpoch   uint64 `cbor:"ext"`
	// HolderGone means that the caller found that the holder's process has ended, so its lease need not expire first.
	HolderGone bool `cbor:"gone,omitempty"`
}

// Finish reports a job as finished and stores its answer to the caller, under the job's current epoch.
type Finish struct {
	Job   string `cbor:"job"`
	Epoch uint64 `cbor:"epoch"`
	Body  []byte `cbor:"body"`
}

// Answer is the state of a job after a request.
type Answer struct {
	Status Status `cbor:"status"`
	Epoch  uint64 `cbor:"epoch"`
	// First is the epoch of the job's first claim.
	First       uint64   `cbor:"first"`
	Holder      string   `cbor:"by"`
	Incarnation string   `cbor:"inc"`
	HolderLive  bool     `cbor:"live"`
	Targets     []Target `cbor:"on"`
	Body        []byte   `cbor:"body"`
}

// Live reports whether a process is a registered and running node.
type Live func(id, incarnation string) bool

// record is one job. Holder, Incarnation and Targets are cleared when it finishes. Replaced is the epoch of the
// previous holder's claim.
type record struct {
	Job         string   `cbor:"job"`
	Digest      []byte   `cbor:"sum"`
	Epoch       uint64   `cbor:"epoch"`
	First       uint64   `cbor:"first"`
	Replaced    uint64   `cbor:"was"`
	Holder      string   `cbor:"by"`
	Incarnation string   `cbor:"inc"`
	Targets     []Target `cbor:"on"`
	TouchedMS   int64    `cbor:"at"`
	Finished    bool     `cbor:"done"`
	Body        []byte   `cbor:"body"`
}

// Table holds all claims. It is not safe for concurrent use.
type Table struct {
	limits Limits
	jobs   map[string]*list.Element
	// order holds the records as *record, least recently touched first.
	order *list.List
	// answered holds the finished jobs that still have a record, oldest first. Jobs that finished earlier are stubs.
	answered []*record
	stubs    stubs
	// answerBytes is the size of the answered records. recordBytes is the size of the other records and of the stubs. It
	// includes the stubs that answered records will become, so it doesn't grow when a record becomes a stub.
	answerBytes int
	recordBytes int
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, jobs: map[string]*list.Element{}, order: list.New(), stubs: newStubs()}
}

// Len returns the number of jobs in the table.
func (t *Table) Len() int {
	return len(t.jobs) + t.stubs.len()
}

// Claim processes a request. index is the log index of the command; index and nowMS must not decrease between calls.
func (t *Table) Claim(request Request, index uint64, nowMS int64, live Live) Answer {
	t.expire(nowMS)
	if finished, found := t.stubs.find(request.Job); found {
		return finished.answer(request)
	}
	element, known := t.jobs[request.Job]
	if !known {
		return t.claimUnknown(request, index, nowMS)
	}
	job := element.Value.(*record)
	if !job.matches(request) {
		return Answer{Status: Conflict}
	}
	if job.Finished {
		return Answer{Status: Finished, Epoch: job.Epoch, Body: job.Body}
	}
	switch {
	case request.ExtendEpoch != 0:
		return t.extend(element, request, nowMS, live)
	case job.heldBy(request):
		return t.claimAgain(element, request, nowMS, live)
	case request.TakeOverEpoch == job.Epoch && (request.HolderGone || !live(job.Holder, job.Incarnation)):
		return t.takeOver(element, request, index, nowMS)
	}
	return job.answer(Held, live)
}

// claimUnknown processes a request for a job that is not in the table.
func (t *Table) claimUnknown(request Request, index uint64, nowMS int64) Answer {
	if request.ExtendEpoch != 0 || request.TakeOverEpoch != 0 {
		return Answer{Status: Fenced}
	}
	job := &record{
		Job: request.Job, Digest: request.Digest, Epoch: index, First: index, Holder: request.Holder,
		Incarnation: request.Incarnation, Targets: request.Targets, TouchedMS: nowMS,
	}
	if !t.makeRoom(job.size(), nowMS) {
		return Answer{Status: Full}
	}
	t.insert(job)
	return job.granted()
}

// claimAgain processes a repeated request by the current holder, including the takeover that made it the holder.
func (t *Table) claimAgain(element *list.Element, request Request, nowMS int64, live Live) Answer {
	job := element.Value.(*record)
	if request.TakeOverEpoch != 0 && request.TakeOverEpoch != job.Replaced {
		return job.answer(Held, live)
	}
	t.addTargets(element, request.Targets, nowMS)
	return job.granted()
}

func (t *Table) extend(element *list.Element, request Request, nowMS int64, live Live) Answer {
	job := element.Value.(*record)
	if !job.heldBy(request) || job.Epoch != request.ExtendEpoch {
		return job.answer(Fenced, live)
	}
	t.addTargets(element, request.Targets, nowMS)
	return job.granted()
}

// takeOver replaces the holder. The answer includes all targets of earlier holders, which the caller has to seal.
func (t *Table) takeOver(element *list.Element, request Request, index uint64, nowMS int64) Answer {
	job := element.Value.(*record)
	t.recordBytes -= job.size()
	job.Replaced = job.Epoch
	job.Epoch = index
	job.Holder = request.Holder
	job.Incarnation = request.Incarnation
	t.recordBytes += job.size()
	t.addTargets(element, request.Targets, nowMS)
	return job.granted()
}

// addTargets adds the targets that the job doesn't have yet and marks the job as touched.
func (t *Table) addTargets(element *list.Element, targets []Target, nowMS int64) {
	job := element.Value.(*record)
	t.recordBytes -= job.size()
	known := make(map[Target]bool, len(job.Targets))
	for _, target := range job.Targets {
		known[target] = true
	}
	// A new slice, since earlier answers may still refer to the old one.
	merged := append([]Target(nil), job.Targets...)
	for _, target := range targets {
		if !known[target] {
			known[target] = true
			merged = append(merged, target)
		}
	}
	job.Targets = merged
	t.recordBytes += job.size()
	t.touch(element, nowMS)
}

// Finish stores the answer of a job under its current epoch. A repeated Finish doesn't replace the first answer.
func (t *Table) Finish(finish Finish, nowMS int64) Status {
	t.expire(nowMS)
	if finished, found := t.stubs.find(finish.Job); found && finished.Epoch == finish.Epoch {
		return Finished
	}
	element, known := t.jobs[finish.Job]
	if !known {
		return Fenced
	}
	job := element.Value.(*record)
	if job.Epoch != finish.Epoch {
		return Fenced
	}
	if job.Finished {
		return Finished
	}
	t.recordBytes -= job.size()
	job.Finished = true
	job.Holder, job.Incarnation, job.Targets = "", "", nil
	t.recordBytes += stubBytes
	t.touch(element, nowMS)
	t.storeAnswer(job, finish.Body)
	return Finished
}

// storeAnswer appends a finished job to answered. It does so even if the body is too large to be stored, so that jobs
// become stubs in the order in which they finished.
func (t *Table) storeAnswer(job *record, body []byte) {
	if len(body) <= MaxAnswerBytes {
		job.Body = body
	}
	t.answered = append(t.answered, job)
	t.answerBytes += job.size()
	for t.answerBytes > t.limits.AnswerBytes {
		t.shrinkOldestAnswer()
	}
}

// shrinkOldestAnswer replaces the record of the job that finished first by a stub.
func (t *Table) shrinkOldestAnswer() {
	oldest := t.answered[0]
	t.answered[0] = nil
	t.answered = t.answered[1:]
	t.answerBytes -= oldest.size()
	t.order.Remove(t.jobs[oldest.Job])
	delete(t.jobs, oldest.Job)
	t.stubs.push(stub{
		Job: shortJob(oldest.Job), Digest: shortHash(oldest.Digest), Epoch: oldest.Epoch, TouchedMS: oldest.TouchedMS,
	})
}

// expire drops answers and jobs whose retention time has passed.
func (t *Table) expire(nowMS int64) {
	for len(t.answered) > 0 && t.answered[0].TouchedMS+t.limits.AnswerMS <= nowMS {
		t.shrinkOldestAnswer()
	}
	for {
		touched, found := t.oldestTouchMS()
		if !found || touched+t.limits.RecordMS > nowMS {
			return
		}
		t.forgetOldest()
	}
}

// makeRoom evicts old jobs until size more bytes fit. It returns false if the remaining jobs are too recent to evict.
func (t *Table) makeRoom(size int, nowMS int64) bool {
	for t.recordBytes+size > t.limits.RecordBytes {
		touched, found := t.oldestTouchMS()
		if !found || touched+t.limits.MinRecordMS > nowMS {
			return false
		}
		t.forgetOldest()
	}
	return true
}

// oldestTouchMS returns the time at which the least recently touched job was touched.
func (t *Table) oldestTouchMS() (touchedMS int64, found bool) {
	front := t.order.Front()
	switch {
	case t.stubIsOldest():
		return t.stubs.oldest().TouchedMS, true
	case front != nil:
		return front.Value.(*record).TouchedMS, true
	}
	return 0, false
}

func (t *Table) stubIsOldest() bool {
	front := t.order.Front()
	if t.stubs.len() == 0 || front == nil {
		return t.stubs.len() > 0
	}
	return t.stubs.oldest().TouchedMS <= front.Value.(*record).TouchedMS
}

// forgetOldest removes the least recently touched job.
func (t *Table) forgetOldest() {
	if t.stubIsOldest() {
		t.stubs.pop()
		t.recordBytes -= stubBytes
		return
	}
	front := t.order.Front()
	job := front.Value.(*record)
	if job.Finished {
		// It is also the first in answered, since both queues are in the order of the last touch.
		t.shrinkOldestAnswer()
		t.forgetOldest()
		return
	}
	t.order.Remove(front)
	delete(t.jobs, job.Job)
	t.recordBytes -= job.size()
}

// insert adds a job, which must be the most recently touched.
func (t *Table) insert(job *record) {
	t.jobs[job.Job] = t.order.PushBack(job)
	if job.Finished {
		t.recordBytes += stubBytes
		t.answerBytes += job.size()
		return
	}
	t.recordBytes += job.size()
}

func (t *Table) touch(element *list.Element, nowMS int64) {
	element.Value.(*record).TouchedMS = nowMS
	t.order.MoveToBack(element)
}

// answer returns the answer to a request for a job of which only a stub is left.
func (s stub) answer(request Request) Answer {
	if s.Digest != shortHash(request.Digest) && (request.ExtendEpoch == 0 || len(request.Digest) > 0) {
		return Answer{Status: Conflict}
	}
	return Answer{Status: Finished, Epoch: s.Epoch}
}

func (r *record) matches(request Request) bool {
	if request.ExtendEpoch != 0 && len(request.Digest) == 0 {
		return true
	}
	return bytes.Equal(r.Digest, request.Digest)
}

func (r *record) heldBy(request Request) bool {
	return r.Holder == request.Holder && r.Incarnation == request.Incarnation
}

func (r *record) granted() Answer {
	return Answer{
		Status: Granted, Epoch: r.Epoch, First: r.First, Holder: r.Holder, Incarnation: r.Incarnation,
		HolderLive: true, Targets: r.Targets,
	}
}

func (r *record) answer(status Status, live Live) Answer {
	return Answer{
		Status: status, Epoch: r.Epoch, First: r.First, Holder: r.Holder, Incarnation: r.Incarnation,
		HolderLive: live(r.Holder, r.Incarnation), Targets: r.Targets,
	}
}

// size estimates the record's memory in bytes.
func (r *record) size() int {
	size := recordOverheadBytes + len(r.Job) + len(r.Digest) + len(r.Holder) + len(r.Incarnation) + len(r.Body)
	for _, target := range r.Targets {
		size += targetOverheadBytes + len(target.ID) + len(target.Incarnation)
	}
	return size
}

// targetOverheadBytes estimates the memory of a target without its strings.
const targetOverheadBytes = 32
