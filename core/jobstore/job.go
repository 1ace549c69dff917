package jobstore

import (
	"slices"
	"strconv"
	"strings"
)

// State is the state of a job as known to control.
type State uint8

// States of jobs.
const (
	// Open means that the job was accepted and has not ended.
	Open State = iota + 1
	// Completed means that all tasks are done.
	Completed
	// Failed means that a task has used all of its attempts.
	Failed
	// Cancelled means that the job was ended by a cancel request.
	Cancelled
	// CancelledEarly means that a cancel request arrived before the job, which has not been stored. Callers see no such job.
	CancelledEarly
)

// String returns the name of the state, as used in logs.
func (s State) String() string {
	names := [...]string{"none", "open", "completed", "failed", "cancelled", "cancelled early"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Store is a request to accept a job.
type Store struct {
	// Job is the job's id. A second request with the same id doesn't create another job.
	Job   string `cbor:"job"`
	Queue string `cbor:"queue"`
	// Holder is the id of the entry process that will run the job.
	Holder string `cbor:"holder"`
	// Body is the submission, encoded by the entry.
	Body []byte `cbor:"body"`
	// Steps is the number of tasks of each step.
	Steps []uint32 `cbor:"steps"`
	// Attempts is the number of failed runs of one task after which the job fails.
	Attempts uint32 `cbor:"attempts"`
}

// RunEnd is the final outcome of one run of a task.
type RunEnd struct {
	// Task is the task's name: JOB.OCCURRENCE.STEP.INDEX.
	Task string `cbor:"task"`
	Run  uint32 `cbor:"run"`
	// IsFailure is true if the run failed, false if the task is done.
	IsFailure bool `cbor:"failed,omitempty"`
}

// Crash is the end of a worker under a run of a task. It decides nothing here; the entry that holds the job does.
type Crash struct {
	// Task is the task's name: JOB.OCCURRENCE.STEP.INDEX.
	Task string `cbor:"task"`
	Run  uint32 `cbor:"run"`
}

// Retire is a request to assign all jobs of a holder to its successors.
type Retire struct {
	Holder     string   `cbor:"holder"`
	Successors []string `cbor:"successors"`
}

// Result is the result of a request.
type Result uint8

// Results of requests.
const (
	// Stored means that the request took effect, now or earlier. A cancel of a job that has ended gets it too.
	Stored Result = iota + 1
	// Known means that nothing was changed, since the job already exists, has ended or does not contain the task.
	Known
	// Unknown means that there is no such job.
	Unknown
	// HolderRetired means that the holder is retired, so no new jobs are stored for it.
	HolderRetired
	// Full means that the job would exceed Limits.Bytes.
	Full
)

// Answer is the result of a request, with the job's state, holder and epoch.
type Answer struct {
	Result Result `cbor:"result"`
	State  State  `cbor:"state,omitempty"`
	Holder string `cbor:"holder,omitempty"`
	// Epoch is the epoch of an open job: 1 while its first holder has it.
	Epoch uint32 `cbor:"epoch,omitempty"`
}

// Failure is a failed run.
type Failure struct {
	// Task is the number of the task, counted over all steps from 0.
	Task uint32 `cbor:"task"`
	Run  uint32 `cbor:"run"`
}

// Job is an accepted job. When it has ended, only ID, State and EndedMS are kept.
type Job struct {
	ID       string   `cbor:"id"`
	State    State    `cbor:"state,omitempty"`
	Queue    string   `cbor:"queue,omitempty"`
	Body     []byte   `cbor:"body,omitempty"`
	Steps    []uint32 `cbor:"steps,omitempty"`
	Attempts uint32   `cbor:"attempts,omitempty"`
	Holder   string   `cbor:"holder,omitempty"`
	Epoch    uint32   `cbor:"epoch,omitempty"`
	// AssignedIndex is the log index at which the job was assigned to its holder.
	AssignedIndex uint64 `cbor:"assigned,omitempty"`
	// Done is a bitmap of the completed tasks, in the order of the steps.
	Done     []byte    `cbor:"done,omitempty"`
	Failures []Failure `cbor:"failures,omitempty"`
	// Crashes are the runs under which workers ended.
	Crashes []Failure `cbor:"crashes,omitempty"`
	// EndedMS is the time at which the job ended, in milliseconds of the replicated state's clock.
	EndedMS int64 `cbor:"ended,omitempty"`
}

const bitsPerByte = 8

func (j *Job) answer(result Result) Answer {
	if j == nil {
		return Answer{Result: Unknown}
	}
	return Answer{Result: result, State: j.State, Holder: j.Holder, Epoch: j.Epoch}
}

func (j *Job) tasks() int {
	count := 0
	for _, step := range j.Steps {
		count += int(step)
	}
	return count
}

// position is the step of a task and its index in that step.
type position struct {
	step, index int
}

// taskNumber returns the number of the task, counted over all steps from 0, or false if there is no such task.
func (j *Job) taskNumber(at position) (uint32, bool) {
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
	j.Failures = addOnce(j.Failures, Failure{Task: task, Run: run})
}

func addOnce(runs []Failure, run Failure) []Failure {
	if slices.Contains(runs, run) {
		return runs
	}
	return append(runs, run)
}

func (j *Job) failures(task uint32) int {
	return countOf(task, j.Failures)
}

func countOf(task uint32, runs []Failure) int {
	count := 0
	for _, run := range runs {
		if run.Task == task {
			count++
		}
	}
	return count
}

// Progress is the recorded progress of a task.
type Progress struct {
	IsDone bool
	// FailedRuns are the numbers of the failed runs.
	FailedRuns []uint32
	// Crashes is the number of workers that have ended under the task.
	Crashes int
}

// Progress returns the recorded progress of a task. It is zero if there is no such task.
func (j *Job) Progress(step, index int) Progress {
	task, found := j.taskNumber(position{step: step, index: index})
	if !found {
		return Progress{}
	}
	progress := Progress{IsDone: j.hasDone(task), Crashes: countOf(task, j.Crashes)}
	for _, failure := range j.Failures {
		if failure.Task == task {
			progress.FailedRuns = append(progress.FailedRuns, failure.Run)
		}
	}
	return progress
}

// parseTask splits the name of a task, JOB.OCCURRENCE.STEP.INDEX, into the job's id and the task's position in the job.
func parseTask(name string) (job string, at position, valid bool) {
	parts := strings.Split(name, ".")
	const taskNameParts = 4
	if len(parts) != taskNameParts {
		return "", position{}, false
	}
	step, stepError := strconv.Atoi(parts[2])
	index, indexError := strconv.Atoi(parts[3])
	return parts[0], position{step: step, index: index}, stepError == nil && indexError == nil
}
