package client

import "encoding/json"

// Submission is one job as a caller sends it.
type Submission struct {
	Owner string `json:"owner"`
	Entry string `json:"entry"`
	Key   string `json:"key"`
	// DeadlineMS is the time allowed until the answer, in milliseconds; 0 uses the default of the catalogue entry.
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	Tasks      []Task `json:"tasks"`
}

// Task is one task of a submission.
type Task struct {
	Payload json.RawMessage `json:"payload"`
	// ExpectedRunMS is the declared run time in milliseconds; 0 uses that of the catalogue entry.
	ExpectedRunMS int64 `json:"expected_run_ms,omitempty"`
}

// State is the state of a submission.
type State string

// States of a submission.
const (
	// StateComplete means that every task is done.
	StateComplete State = "complete"
	// StateFailed means that the job ended with tasks that are not done; each of these has a reason.
	StateFailed State = "failed"
	// StateRunning means that the job has not ended.
	StateRunning State = "running"
)

// Answer is the state of a submission as an entry reports it.
type Answer struct {
	Job   string `json:"job"`
	Owner string `json:"owner"`
	Entry string `json:"entry"`
	Key   string `json:"key"`
	State State  `json:"state"`
	// Revision is the revision of the catalogue under which the job was accepted.
	Revision uint64       `json:"revision"`
	Tasks    []TaskAnswer `json:"tasks"`
	Timing   Timing       `json:"timing"`
}

// TaskAnswer is the outcome of one task.
type TaskAnswer struct {
	Index int `json:"index"`
	// Outcome is done, failed, not_run, cancelled, unknown, running or queued.
	Outcome  string `json:"outcome"`
	Cause    string `json:"cause,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Attempts int    `json:"attempts"`
	Target   string `json:"target,omitempty"`
	// QueueUS and RunUS are the waiting time and the run time at the target, in microseconds.
	QueueUS int64           `json:"queue_us"`
	RunUS   int64           `json:"run_us"`
	Result  json.RawMessage `json:"result,omitempty"`
}

// OutcomeDone is the outcome of a task that ran and has its result.
const OutcomeDone = "done"

// Timing is how long an entry spent on a submission, in microseconds.
type Timing struct {
	TotalUS int64 `json:"total_us"`
	ClaimUS int64 `json:"claim_us"`
	WaitUS  int64 `json:"wait_us"`
}

// Done returns the number of tasks that are done.
func (a *Answer) Done() int {
	done := 0
	for _, task := range a.Tasks {
		if task.Outcome == OutcomeDone {
			done++
		}
	}
	return done
}

// LongestRunUS returns the longest run time among the tasks, in microseconds.
func (a *Answer) LongestRunUS() int64 {
	var longest int64
	for _, task := range a.Tasks {
		longest = max(longest, task.RunUS)
	}
	return longest
}
