package entry

import (
	"bytes"
	"encoding/json"
	"time"

	"flamingohall.example/core/job"
)

// States of a submission in answers to callers.
const (
	stateComplete = "complete"
	stateFailed   = "failed"
	stateRunning  = "running"
)

// answer is the response body for a submission.
type answer struct {
	Job      string       `json:"job"`
	Owner    string       `json:"owner"`
	Entry    string       `json:"entry"`
	Key      string       `json:"key"`
	State    string       `json:"state"`
	Reason   string       `json:"reason,omitempty"`
	Revision uint64       `json:"revision"`
	Tasks    []taskAnswer `json:"tasks"`
	Timing   timing       `json:"timing"`
	// RetryAfterMS is the delay after which a new submission may succeed; 0 if it is unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

type taskAnswer struct {
	Index    int             `json:"index"`
	Outcome  job.Outcome     `json:"outcome"`
	Cause    job.Cause       `json:"cause,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Attempts int             `json:"attempts"`
	Target   string          `json:"target,omitempty"`
	QueueUS  int64           `json:"queue_us"`
	RunUS    int64           `json:"run_us"`
	Result   json.RawMessage `json:"result,omitempty"`
}

// timing breaks down the time that the job took, in microseconds.
type timing struct {
	TotalUS int64 `json:"total_us"`
	ClaimUS int64 `json:"claim_us"`
	// WaitUS is how long the first task waited for a slot.
	WaitUS int64 `json:"wait_us"`
}

// newAnswer returns the answer for the current state of a job.
func newAnswer(r *record, now time.Time) *answer {
	a := &answer{
		Job: r.accepted.id, Owner: r.accepted.Owner, Entry: r.accepted.Entry, Key: r.accepted.Key,
		State: stateRunning, Revision: r.accepted.revision, Reason: r.job.StopReason(),
		RetryAfterMS: r.retryAfter.Milliseconds(),
		Tasks:        make([]taskAnswer, r.job.Tasks()),
		Timing: timing{
			TotalUS: now.Sub(r.createdAt).Microseconds(),
			ClaimUS: r.claimTime.Microseconds(),
			WaitUS:  r.waitTime.Microseconds(),
		},
	}
	for i := range a.Tasks {
		a.Tasks[i] = newTaskAnswer(i, r.job.Task(i))
	}
	return a
}

func newTaskAnswer(index int, state job.TaskState) taskAnswer {
	return taskAnswer{
		Index: index, Outcome: state.Outcome, Cause: state.Cause, Reason: state.Reason,
		Attempts: state.Attempts, Target: state.Target,
		QueueUS: state.Queue.Microseconds(), RunUS: state.Run.Microseconds(),
		Result: state.Result,
	}
}

// final sets the final state in the answer of a job whose tasks all have an outcome.
func (a *answer) final(isComplete bool) *answer {
	a.State = stateFailed
	if isComplete {
		a.State = stateComplete
	}
	return a
}

// encode returns the answer as JSON. A result that is not valid JSON is encoded as a string.
func (a *answer) encode() []byte {
	for i := range a.Tasks {
		if result := a.Tasks[i].Result; len(result) > 0 && !json.Valid(result) {
			a.Tasks[i].Result = quote(result)
		}
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	// Encoding cannot fail: results are the only part that may be invalid, and they were replaced above.
	_ = encoder.Encode(a)
	return out.Bytes()
}

func quote(result []byte) json.RawMessage {
	// Encoding a string never fails.
	text, _ := json.Marshal(string(result))
	return text
}
