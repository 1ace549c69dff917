package jobstore

import (
	"cmp"
	"slices"
)

// Limits bound the content of a table.
type Limits struct {
	// Bytes limits the total size of open jobs. New jobs that would exceed it are rejected.
	Bytes int
	// RetentionMS is how long the state of a job is kept after it has ended, in milliseconds.
	RetentionMS int64
	// Retired is the number of retired holders that are kept.
	Retired int
	// EarlyCancels is the number of cancels of unknown jobs that are kept, for RetentionMS like an ended job. A cancel beyond it is
	// not kept: its job is accepted if it arrives later.
	EarlyCancels int
}

// DefaultLimits suit a control VM with 128 MB of disk, which stores the log and two snapshots. The retention is two
// minutes, as on the callers' platform, plus a margin for the replicated state's clock. The early cancels suffice for 500 a
// second during the retention; 65,000 with ids of 16 bytes take 19 MB of memory.
var DefaultLimits = Limits{Bytes: 24 << 20, RetentionMS: 130_000, Retired: 1000, EarlyCancels: 65_000}

// jobOverheadBytes estimates the memory of an open job without its body.
const jobOverheadBytes = 256

// Table holds the jobs. It is not safe for concurrent use.
type Table struct {
	limits Limits
	jobs   map[string]*Job
	// byHolder holds the open jobs by holder and id.
	byHolder map[string]map[string]*Job
	// ended holds the ids of ended jobs, in the order in which they ended.
	ended []string
	// retired holds the ids of retired holders, in the order in which they were retired.
	retired []string
	bytes   int
	// earlyCancels is the number of jobs in the state CancelledEarly.
	earlyCancels int
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, jobs: map[string]*Job{}, byHolder: map[string]map[string]*Job{}}
}

// Len returns the number of jobs, including ended ones.
func (t *Table) Len() int {
	return len(t.jobs)
}

// Store accepts a job at a log index, unless a job with the same id exists or was cancelled before it arrived.
func (t *Table) Store(s Store, index uint64) Answer {
	if known := t.jobs[s.Job]; known != nil {
		if known.State == CancelledEarly {
			known.State = Cancelled
			t.earlyCancels--
		}
		return known.answer(Known)
	}
	if slices.Contains(t.retired, s.Holder) {
		return Answer{Result: HolderRetired}
	}
	if t.bytes+len(s.Body)+jobOverheadBytes > t.limits.Bytes {
		return Answer{Result: Full}
	}
	j := &Job{
		ID: s.Job, Queue: s.Queue, Body: s.Body, Steps: s.Steps, Attempts: max(1, s.Attempts), Holder: s.Holder, Epoch: 1,
		AssignedIndex: index, State: Open,
	}
	j.Done = make([]byte, (j.tasks()+bitsPerByte-1)/bitsPerByte)
	t.jobs[j.ID] = j
	t.assign(j)
	t.bytes += len(j.Body) + jobOverheadBytes
	return j.answer(Stored)
}

// Record records the end of a run. The job ends when its last task is done or a task has used all of its attempts.
func (t *Table) Record(e RunEnd, nowMS int64) Answer {
	id, at, valid := parseTask(e.Task)
	j := t.jobs[id]
	if !valid || j == nil {
		return Answer{Result: Unknown}
	}
	task, found := j.taskNumber(at)
	if !found || j.State != Open {
		return j.answer(Known)
	}
	if e.IsFailure {
		j.fail(task, e.Run)
	} else {
		j.setDone(task)
	}
	switch {
	case j.isDone():
		t.end(j, Completed, nowMS)
	case j.failures(task) >= int(j.Attempts) && !j.hasDone(task):
		t.end(j, Failed, nowMS)
	}
	return j.answer(Stored)
}

// RecordCrash records that a worker ended under a run. It has no effect on a job that has ended.
func (t *Table) RecordCrash(c Crash) Answer {
	id, at, valid := parseTask(c.Task)
	j := t.jobs[id]
	if !valid || j == nil {
		return Answer{Result: Unknown}
	}
	task, found := j.taskNumber(at)
	if !found || j.State != Open {
		return j.answer(Known)
	}
	j.Crashes = addOnce(j.Crashes, Failure{Task: task, Run: c.Run})
	return j.answer(Stored)
}

// Cancel ends an open job. It has no effect on a job that has ended. A cancel of an unknown job is kept: the job may be on its way
// to control, at an entry that is suspended or has got no answer, and must not start after its cancel was answered.
func (t *Table) Cancel(id string, nowMS int64) Answer {
	j := t.jobs[id]
	if j == nil && t.earlyCancels < t.limits.EarlyCancels {
		t.jobs[id] = &Job{ID: id, State: CancelledEarly, EndedMS: nowMS}
		t.ended = append(t.ended, id)
		t.earlyCancels++
	}
	if j == nil || j.State == CancelledEarly {
		return Answer{Result: Unknown}
	}
	if j.State == Open {
		t.end(j, Cancelled, nowMS)
	}
	return j.answer(Stored)
}

// Retire retires a holder, distributes its open jobs over the successors and returns their number. It has no effect
// without successors or if the holder is one of them.
func (t *Table) Retire(r Retire, index uint64) int {
	if len(r.Successors) == 0 || slices.Contains(r.Successors, r.Holder) {
		return 0
	}
	if !slices.Contains(t.retired, r.Holder) {
		t.retired = append(t.retired, r.Holder)
		t.retired = t.retired[max(0, len(t.retired)-t.limits.Retired):]
	}
	moved := t.HeldBy(r.Holder, 0)
	delete(t.byHolder, r.Holder)
	for n, j := range moved {
		j.Holder, j.AssignedIndex = r.Successors[n%len(r.Successors)], index
		j.Epoch++
		t.assign(j)
	}
	return len(moved)
}

// IsRetired reports whether a holder is retired.
func (t *Table) IsRetired(holder string) bool {
	return slices.Contains(t.retired, holder)
}

// Holders returns the holders of open jobs, sorted.
func (t *Table) Holders() []string {
	holders := make([]string, 0, len(t.byHolder))
	for holder := range t.byHolder {
		holders = append(holders, holder)
	}
	slices.Sort(holders)
	return holders
}

// HeldBy returns the open jobs that were assigned to a holder after a log index, sorted by id. The caller must not
// modify them.
func (t *Table) HeldBy(holder string, after uint64) []*Job {
	var found []*Job
	for _, j := range t.byHolder[holder] {
		if j.AssignedIndex > after {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Find returns a job, or nil if it is not in the table. The caller must not modify it.
func (t *Table) Find(id string) *Job {
	return t.jobs[id]
}

// Expire removes jobs that ended more than Limits.RetentionMS ago.
func (t *Table) Expire(nowMS int64) {
	count := 0
	for _, id := range t.ended {
		j := t.jobs[id]
		if j != nil && nowMS-j.EndedMS <= t.limits.RetentionMS {
			break
		}
		if j != nil && j.State == CancelledEarly {
			t.earlyCancels--
		}
		delete(t.jobs, id)
		count++
	}
	t.ended = t.ended[count:]
}

func (t *Table) assign(j *Job) {
	if t.byHolder[j.Holder] == nil {
		t.byHolder[j.Holder] = map[string]*Job{}
	}
	t.byHolder[j.Holder][j.ID] = j
}

// end sets the final state of a job and drops everything else except its id and the time.
func (t *Table) end(j *Job, state State, nowMS int64) {
	delete(t.byHolder[j.Holder], j.ID)
	if len(t.byHolder[j.Holder]) == 0 {
		delete(t.byHolder, j.Holder)
	}
	t.bytes -= len(j.Body) + jobOverheadBytes
	t.ended = append(t.ended, j.ID)
	*j = Job{ID: j.ID, State: state, EndedMS: nowMS}
}
