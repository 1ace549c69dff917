package bench

import (
	"encoding/json"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/client"
)

// ending is how a submission ended for its caller.
type ending string

const (
	complete ending = "complete"
	failed   ending = "failed"
	// cancelled means that the caller cancelled the submission and its answer is not complete.
	cancelled ending = "cancelled"
	// refused means that the submission was rejected for now and did not run.
	refused ending = "refused"
	// expired means that the deadline passed.
	expired ending = "expired"
	// unanswered means that no answer came, or that the outcome is unknown.
	unanswered ending = "unanswered"
	// wrong means that the answer is partial or belongs to another submission.
	wrong ending = "wrong"
)

// observation is a submission with its answer, as observed by its caller.
type observation struct {
	planned *PlannedSubmission
	ending  ending
	// response is the time from the intended send time to the answer.
	response time.Duration
	// sendDelay is how late after its intended time the bench sent the submission.
	sendDelay time.Duration
	// retryAfter is true for a refusal that carried a retry-after time.
	retryAfter bool
	answer     *client.Answer
	message    string
}

// classify compares an answer with its submission and returns the ending and, unless complete, a reason.
func classify(planned *PlannedSubmission, answer *client.Answer, err error) (ending, string) {
	if err != nil {
		failure := fault.Of(err)
		return endingOf(failure), string(failure.Kind) + ": " + failure.Message
	}
	if answer.State == client.StateComplete {
		if problem := checkComplete(planned, answer); problem != "" {
			return wrong, problem
		}
		return complete, ""
	}
	if answer.State != client.StateFailed || len(answer.Tasks) != len(planned.Submission.Tasks) {
		return wrong, "the answer is neither complete nor failed with a reason for every task"
	}
	if planned.CancelAt > 0 {
		return cancelled, ""
	}
	return failed, firstReason(answer)
}

func endingOf(failure *fault.Error) ending {
	switch failure.Kind {
	case fault.Overloaded, fault.Unavailable:
		return refused
	case fault.Expired:
		return expired
	case fault.Unknown:
		return unanswered
	}
	return failed
}

// checkComplete returns the problem of a complete answer; empty when every task has its own result.
func checkComplete(planned *PlannedSubmission, answer *client.Answer) string {
	if len(answer.Tasks) != len(planned.Submission.Tasks) {
		return "a complete answer lacks tasks"
	}
	for i, task := range answer.Tasks {
		var result struct {
			Echo string `json:"echo"`
		}
		if task.Index != i || task.Outcome != client.OutcomeDone || json.Unmarshal(task.Result, &result) != nil {
			return "a complete answer holds a task without a result"
		}
		if result.Echo != echoOf(planned.Submission.Key, i) {
			return "a complete answer holds another task's result"
		}
	}
	return ""
}

func firstReason(answer *client.Answer) string {
	for _, task := range answer.Tasks {
		if task.Outcome != client.OutcomeDone {
			return task.Outcome + " " + task.Cause + ": " + task.Reason
		}
	}
	return "every task is done but the job is not complete"
}
