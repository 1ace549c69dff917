package jobstore

import (
	"strconv"
	"strings"
)

// State is how far a job has come, as far as control knows.
type State uint8

// States of jobs.
const (
	// Open means accepted and not ended.
	Open State = iota + 1
	// Completed means that every task is done.
	Completed
	// Failed means that a task has failed as often as its queue allows.
	Failed
	// Cancelled was asked for.
	Cancelled
)

// String returns the state's name in logs.
func (s State) String() string {
	names := [...]string{"none", "open", "completed", "failed", "cancelled"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Store asks to accept a job.
type Store struct {
	// Job is the job's id. The same id names the same job.
	Job   string `cbor:"job"`
	Queue string `cbor:"queue"`
	// Holder is the entry process that will run the job.
	Holder string `cbor:"holder"`
	// Body is the submission as entries encode it.
	Body []byte `cbor:"body"`
	// Steps holds the number of tasks of each step.
	Steps []uint32 `cbor:"steps"`
	// Attempts is how many failed runs of a task fail the job.
	Attempts uint32 `cbor:"attempts"`
}

// RunEnd tells that a run is over for good.
type RunEnd struct {
	// Task is JOB.OCCURRENCE.STEP.INDEX.
	Task string `cbor:"task"`
	Run  uint32 `cbor:"run"`
	// IsFailure is false for a run that is done.
	IsFailure bool `cbor:"failed,omitempty"`
}

// Retire takes a holder's jobs away.
type Retire struct {
	Holder     string   `cbor:"holder"`
	Successors []string `cbor:"successors"`
}

// Result says what became of a request.
type Result uint8

// Results.
const (
	// Stored means that the request took effect, now or before.
	Stored Result = iota + 1
	// Known means that the job was there, or had ended, already.
	Known
	// Unknown means that there is no such job.
	Unknown
	// HolderRetired means that the holder can store nothing more under its name.
	HolderRetired
	// Full means that there is no room for another job.
	Full
)

// Answer tells what became of a request, and how far the job is.
type Answer struct {
	Result Result `cbor:"result"`
	State  State  `cbor:"state,omitempty"`
	Holder string `cbor:"holder,omitempty"`
}

// Failure is one failed run.
type Failure struct {
	// Task counts the tasks of all steps.
	Task uint32 `cbor:"task"`
	Run  uint32 `cbor:"run"`
}

// Job is one accepted job. Of an ended one ID, State and EndedMS are kept.
type Job struct {
	ID       string   `cbor:"id"`
	State    State    `cbor:"state,omitempty"`
	Queue    string   `cbor:"queue,omitempty"`
	Body     []byte   `cbor:"body,omitempty"`
	Steps    []uint32 `cbor:"steps,omitempty"`
	Attempts uint32   `cbor:"attempts,omitempty"`
	Holder   string   `cbor:"holder,omitempty"`
	Epoch    uint32   `cbor:"epoch,omitempty"`
	// AssignedIndex is the log index at which the holder got the job.
	AssignedIndex uint64 `cbor:"assigned,omitempty"`
	// Done has a bit for each task, in the order of the steps.
	Done     []byte    `cbor:"done,omitempty"`
	Failures []Failure `cbor:"failures,omitempty"`
	// EndedMS is the time of the end on the state's clock.
	EndedMS int64 `cbor:"ended,omitempty"`
}

const bitsPerByte = 8

func (j *Job) answer(result Result) Answer {
	if j == nil {
		return Answer{Result: Unknown}
	}
	return Answer{Result: result, State: j.State, Holder: j.Holder}
}

func (j *Job) tasks() int {
	count := 0
	for _, step := range j.Steps {
		count += int(step)
	}
	return count
}

// place is where a task stands in its job.
type place struct {
	step, index int
}

// number returns the task's number in the order of the steps.
func (j *Job) number(at place) (uint32, bool) {
	if at.step < 0 || at.step >= len(j.Steps) || at.index < 0 || at.index >= int(j.Steps[at.step]) {
		return 0, false
	}
	before := 0
	for _, step := range j.Steps[:at.step] {
		before += int(step)
	}
	return uint32(before + at.index), true
}

func (j *Job) setDone(task uint32) {
	j.Done[task/bitsPerByte] |= 1 << (task % bitsPerByte)
}

func (j *Job) hasDone(task uint32) bool {
	return j.Done[task/bitsPerByte]&(1<<(task%bitsPerByte)) != 0
}

func (j *Job) isDone() bool {
	for task := range j.tasks() {
		if !j.hasDone(uint32(task)) {
			return false
		}
	}
	return true
}

func (j *Job) fail(task, run uint32) {
	failure := Failure{Task: task, Run: run}
	for _, known := range j.Failures {
		if known == failure {
			return
		}
	}
	j.Failures = append(j.Failures, failure)
}

func (j *Job) failures(task uint32) int {
	count := 0
	for _, one := range j.Failures {
		if one.Task == task {
			count++
		}
	}
	return count
}

// Progress is what is recorded of one task.
type Progress struct {
	IsDone   bool
	Failures int
}

// Progress returns what is recorded of a task.
func (j *Job) Progress(step, index int) Progress {
	task, found := j.number(place{step: step, index: index})
	if !found {
		return Progress{}
	}
	return Progress{IsDone: j.hasDone(task), Failures: j.failures(task)}
}

// parseTask returns the job of a task's name and the task's place in it.
func parseTask(name string) (job string, at place, valid bool) {
	parts := strings.Split(name, ".")
	const jobOccurrenceStepIndex = 4
	if len(parts) != jobOccurrenceStepIndex {
		return "", place{}, false
	}
	step, stepError := strconv.Atoi(parts[2])
	index, indexError := strconv.Atoi(parts[3])
	return parts[0], place{step: step, index: index}, stepError == nil && indexError == nil
}
