package claim

import (
	"bytes"
	"container/list"
)

// Status tells what became of a claim or a finish.
type Status uint8

// Statuses of answers.
const (
	// Granted means that the caller holds the job under Answer.Epoch.
	Granted Status = iota + 1
	// Held means that another process holds it.
	Held
	// Finished means that the answer is stored; Answer.Body is empty when it is no longer kept.
	Finished
	// Conflict means that the job stands for another body.
	Conflict
	// Fenced means that the epoch named is no longer the job's.
	Fenced
	// Full means that too many young jobs are remembered to take another.
	Full
)

// Limits bound what a Table keeps; times in milliseconds, sizes in bytes.
type Limits struct {
	AnswerBytes int
	AnswerMS    int64
	RecordBytes int
	RecordMS    int64
	MinRecordMS int64
}

// DefaultLimits are those of the replicated state. They must be the same on all replicas.
var DefaultLimits = Limits{
	AnswerBytes: 16 << 20,
	AnswerMS:    60 * 60 * 1000,
	RecordBytes: 36 << 20,
	RecordMS:    24 * 60 * 60 * 1000,
	MinRecordMS: 60 * 60 * 1000,
}

// MaxAnswerBytes is the largest answer that is stored; a larger one leaves only the record that the job finished.
const MaxAnswerBytes = 1 << 20

// recordOverhead estimates the memory of a record beyond its texts, in bytes.
const recordOverhead = 160

// Target names a process that may hold tasks of the job.
type Target struct {
	ID          string `cbor:"id"`
	Incarnation string `cbor:"inc"`
}

// Request asks for a job. At most one of TakeOver and Extend is set.
type Request struct {
	Job         string `cbor:"job"`
	Holder      string `cbor:"by"`
	Incarnation string `cbor:"inc"`
	// Digest identifies the body; Extend may leave it empty.
	Digest  []byte   `cbor:"sum"`
	Targets []Target `cbor:"on"`
	// TakeOverEpoch is the epoch of the dead holder's claim; Extend that of the caller's own, to which targets are added.
	TakeOverEpoch uint64 `cbor:"take"`
	ExtendEpoch   uint64 `cbor:"ext"`
	// HolderGone means that the caller found the holder's process ended, so that its lease need not lapse first.
	HolderGone bool `cbor:"gone,omitempty"`
}

// Finish stores the answer of a job under its epoch.
type Finish struct {
	Job   string `cbor:"job"`
	Epoch uint64 `cbor:"epoch"`
	Body  []byte `cbor:"body"`
}

// Answer tells the state of a job after a request.
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

// Live reports whether a process is a registered, running node.
type Live func(id, incarnation string) bool

// record is one job. Holder and Targets are cleared when it finishes.
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
	// order holds *record, least recently touched first.
	order *list.List
	// answered holds the finished jobs that are still records, oldest first. Those before them are stubs.
	answered []*record
	stubs    stubs
	// answerBytes is the size of the answered records. recordBytes is that of the others and of the stubs, also of those
	// that the answered will become, so that it never grows when one does.
	answerBytes int
	recordBytes int
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, jobs: map[string]*list.Element{}, order: list.New(), stubs: newStubs()}
}

// Len returns the number of jobs remembered.
func (t *Table) Len() int {
	return len(t.jobs) + t.stubs.len()
}

// Claim answers a request. index is the log index of the command, at least that of any before; nowMS never goes back.
func (t *Table) Claim(request Request, index uint64, nowMS int64, live Live) Answer {
	t.expire(nowMS)
	if done, found := t.stubs.find(request.Job); found {
		return done.answer(request)
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

// claimUnknown answers for a job that is not remembered.
func (t *Table) claimUnknown(request Request, index uint64, nowMS int64) Answer {
	if request.ExtendEpoch != 0 || request.TakeOverEpoch != 0 {
		return Answer{Status: Fenced}
	}
	made := &record{
		Job: request.Job, Digest: request.Digest, Epoch: index, First: index, Holder: request.Holder,
		Incarnation: request.Incarnation, Targets: request.Targets, TouchedMS: nowMS,
	}
	if !t.makeRoom(made.size(), nowMS) {
		return Answer{Status: Full}
	}
	t.insert(made)
	return made.granted()
}

// claimAgain answers a resend by the holder itself, also of the takeover that made it the holder.
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

// takeOver replaces the holder. The answer names all targets of earlier holders, which the caller has to seal.
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

// addTargets keeps each target once and marks the job as touched.
func (t *Table) addTargets(element *list.Element, targets []Target, nowMS int64) {
	job := element.Value.(*record)
	t.recordBytes -= job.size()
	known := make(map[Target]bool, len(job.Targets))
	for _, target := range job.Targets {
		known[target] = true
	}
	// A new slice: answers given earlier may still hold the old one.
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

// Finish stores the answer under the job's epoch. A repeated Finish keeps the first answer.
func (t *Table) Finish(finish Finish, nowMS int64) Status {
	t.expire(nowMS)
	if done, found := t.stubs.find(finish.Job); found && done.Epoch == finish.Epoch {
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
	t.recordBytes += stubSize
	t.touch(element, nowMS)
	t.keepAnswer(job, finish.Body)
	return Finished
}

// keepAnswer puts a job that finished at the end of the queue of answers, also without a body that can be kept, so that
// jobs become stubs in the order in which they finished.
func (t *Table) keepAnswer(job *record, body []byte) {
	if len(body) <= MaxAnswerBytes {
		job.Body = body
	}
	t.answered = append(t.answered, job)
	t.answerBytes += job.size()
	for t.answerBytes > t.limits.AnswerBytes {
		t.shrinkOldest()
	}
}

// shrinkOldest turns the job that finished first among the records into a stub.
func (t *Table) shrinkOldest() {
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

// expire forgets what has passed its time.
func (t *Table) expire(nowMS int64) {
	for len(t.answered) > 0 && t.answered[0].TouchedMS+t.limits.AnswerMS <= nowMS {
		t.shrinkOldest()
	}
	for {
		touched, found := t.oldestTouch()
		if !found || touched+t.limits.RecordMS > nowMS {
			return
		}
		t.forgetOldest()
	}
}

// makeRoom forgets old jobs until size more bytes fit; false means that what is left is too young to forget.
func (t *Table) makeRoom(size int, nowMS int64) bool {
	for t.recordBytes+size > t.limits.RecordBytes {
		touched, found := t.oldestTouch()
		if !found || touched+t.limits.MinRecordMS > nowMS {
			return false
		}
		t.forgetOldest()
	}
	return true
}

// oldestTouch returns the time of the least recent touch of any job.
func (t *Table) oldestTouch() (touchedMS int64, found bool) {
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

// forgetOldest drops the least recently touched job.
func (t *Table) forgetOldest() {
	if t.stubIsOldest() {
		t.stubs.pop()
		t.recordBytes -= stubSize
		return
	}
	front := t.order.Front()
	job := front.Value.(*record)
	if job.Finished {
		// It finished before all others: both queues are in the order of the last touch.
		t.shrinkOldest()
		t.forgetOldest()
		return
	}
	t.order.Remove(front)
	delete(t.jobs, job.Job)
	t.recordBytes -= job.size()
}

// insert adds a job that was touched after all others.
func (t *Table) insert(job *record) {
	t.jobs[job.Job] = t.order.PushBack(job)
	if job.Finished {
		t.recordBytes += stubSize
		t.answerBytes += job.size()
		return
	}
	t.recordBytes += job.size()
}

func (t *Table) touch(element *list.Element, nowMS int64) {
	element.Value.(*record).TouchedMS = nowMS
	t.order.MoveToBack(element)
}

// answer answers a request for a job of which only the stub is left.
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
	size := recordOverhead + len(r.Job) + len(r.Digest) + len(r.Holder) + len(r.Incarnation) + len(r.Body)
	for _, target := range r.Targets {
		size += targetOverhead + len(target.ID) + len(target.Incarnation)
	}
	return size
}

// targetOverhead estimates the memory of a target beyond its texts, in bytes.
const targetOverhead = 32
