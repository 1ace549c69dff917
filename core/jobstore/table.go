package jobstore

import (
	"cmp"
	"slices"
)

// Limits bound a table.
type Limits struct {
	// Bytes bounds the bodies of open jobs together. Beyond it no job is stored.
	Bytes int
	// RetentionMS is how long the state of a job stays readable after its end.
	RetentionMS int64
	// Retired is how many retired holders are remembered.
	Retired int
}

// DefaultLimits fit a control VM with 128 MB of disk, which holds a log and two snapshots. The retention is that of the
// callers' platform, two minutes, and a margin for the clock of the state.
var DefaultLimits = Limits{Bytes: 24 << 20, RetentionMS: 130_000, Retired: 1000}

// jobOverhead is what an open job takes beside its body, in bytes.
const jobOverhead = 256

// Table holds the jobs. It is not safe for concurrent use.
type Table struct {
	limits Limits
	jobs   map[string]*Job
	// byHolder holds the open jobs.
	byHolder map[string]map[string]*Job
	// ended holds the ids of ended jobs in the order of their ends.
	ended []string
	// retired holds the holders that lost their jobs, the oldest first.
	retired []string
	bytes   int
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, jobs: map[string]*Job{}, byHolder: map[string]map[string]*Job{}}
}

// Len returns the number of jobs, ended ones included.
func (t *Table) Len() int {
	return len(t.jobs)
}

// Store accepts a job at a log index, unless it is known already.
func (t *Table) Store(s Store, index uint64) Answer {
	if known := t.jobs[s.Job]; known != nil {
		return known.answer(Known)
	}
	if slices.Contains(t.retired, s.Holder) {
		return Answer{Result: HolderRetired}
	}
	if t.bytes+len(s.Body)+jobOverhead > t.limits.Bytes {
		return Answer{Result: Full}
	}
	j := &Job{
		ID: s.Job, Queue: s.Queue, Body: s.Body, Steps: s.Steps, Attempts: max(1, s.Attempts), Holder: s.Holder, Epoch: 1,
		AssignedIndex: index, State: Open,
	}
	j.Done = make([]byte, (j.tasks()+bitsPerByte-1)/bitsPerByte)
	t.jobs[j.ID] = j
	t.hold(j)
	t.bytes += len(j.Body) + jobOverhead
	return j.answer(Stored)
}

// Record takes in how a run ended. The job ends with its last task, or with a task that has failed as often as allowed.
func (t *Table) Record(e RunEnd, nowMS int64) Answer {
	id, at, valid := parseTask(e.Task)
	j := t.jobs[id]
	if !valid || j == nil {
		return Answer{Result: Unknown}
	}
	task, found := j.number(at)
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

// Cancel ends a job that has not ended.
func (t *Table) Cancel(id string, nowMS int64) Answer {
	j := t.jobs[id]
	if j == nil {
		return Answer{Result: Unknown}
	}
	if j.State == Open {
		t.end(j, Cancelled, nowMS)
	}
	return j.answer(Stored)
}

// Retire takes all jobs from a holder and spreads them over others. It returns how many there were.
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
		t.hold(j)
	}
	return len(moved)
}

// IsRetired reports whether a holder has lost its jobs.
func (t *Table) IsRetired(holder string) bool {
	return slices.Contains(t.retired, holder)
}

// Holders returns the holders of open jobs, in order.
func (t *Table) Holders() []string {
	holders := make([]string, 0, len(t.byHolder))
	for holder := range t.byHolder {
		holders = append(holders, holder)
	}
	slices.Sort(holders)
	return holders
}

// HeldBy returns a holder's open jobs that it got after a log index, by id. They must not be changed.
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

// Find returns a job, nil when it is not known. It must not be changed.
func (t *Table) Find(id string) *Job {
	return t.jobs[id]
}

// Expire forgets jobs that ended long ago.
func (t *Table) Expire(nowMS int64) {
	count := 0
	for _, id := range t.ended {
		j := t.jobs[id]
		if j != nil && nowMS-j.EndedMS <= t.limits.RetentionMS {
			break
		}
		delete(t.jobs, id)
		count++
	}
	t.ended = t.ended[count:]
}

func (t *Table) hold(j *Job) {
	if t.byHolder[j.Holder] == nil {
		t.byHolder[j.Holder] = map[string]*Job{}
	}
	t.byHolder[j.Holder][j.ID] = j
}

// end keeps of a job only what its state can be told from.
func (t *Table) end(j *Job, state State, nowMS int64) {
	delete(t.byHolder[j.Holder], j.ID)
	if len(t.byHolder[j.Holder]) == 0 {
		delete(t.byHolder, j.Holder)
	}
	t.bytes -= len(j.Body) + jobOverhead
	t.ended = append(t.ended, j.ID)
	*j = Job{ID: j.ID, State: state, EndedMS: nowMS}
}
