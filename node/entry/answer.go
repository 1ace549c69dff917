package entry

import (
	"bytes"
	"encoding/json"
	"time"

	"flamingohall.example/core/job"
)

// States of a submission as callers see them.
const (
	stateComplete = "complete"
	stateFailed   = "failed"
	stateRunning  = "running"
)

// answer is what callers get for a submission.
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
	// RetryAfterMS says when a new submission may succeed; 0 when that can't be told.
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

// timing tells where the time went, in microseconds.
type timing struct {
	TotalUS int64 `json:"total_us"`
	ClaimUS int64 `json:"claim_us"`
	// WaitUS is how long the first task waited for a slot.
	WaitUS int64 `json:"wait_us"`
}

// newAnswer makes the answer of a job as it stands.
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

// final marks the answer of a job whose tasks are all settled.
func (a *answer) final(isComplete bool) *answer {
	a.State = stateFailed
	if isComplete {
		a.State = stateComplete
	}
	return a
}

// encode returns the JSON of the answer. A result that is no JSON is carried as text.
func (a *answer) encode() []byte {
	for i := range a.Tasks {
		if result := a.Tasks[i].Result; len(result) > 0 && !json.Valid(result) {
			a.Tasks[i].Result = quote(result)
		}
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	// The struct holds nothing that can't be encoded once its results are valid.
	_ = encoder.Encode(a)
	return out.Bytes()
}

func quote(result []byte) json.RawMessage {
	text, _ := json.Marshal(string(result))
	return text
}
