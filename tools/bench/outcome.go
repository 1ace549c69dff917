package bench

import (
	"encoding/json"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/client"
)

// ending tells how a submission ended, as its caller sees it.
type ending string

const (
	complete ending = "complete"
	failed   ending = "failed"
	// cancelled means that the caller cancelled it and its answer is not complete.
	cancelled ending = "cancelled"
	// refused means that it was turned away for now and did not run.
	refused ending = "refused"
	// expired means that the deadline had passed.
	expired ending = "expired"
	// unanswered means that no answer came, or that nobody can tell.
	unanswered ending = "unanswered"
	// wrong means that the answer is not this submission's, or is partial.
	wrong ending = "wrong"
)

// observation is one submission as its caller saw it.
type observation struct {
	planned *PlannedSubmission
	ending  ending
	// response is the time from the intended time to the answer.
	response time.Duration
	// sendDelay is how late the bench sent it.
	sendDelay time.Duration
	// retryAfter tells that a refusal named a time to return.
	retryAfter bool
	answer     *client.Answer
	message    string
}

// judge compares an answer with what was asked.
func judge(planned *PlannedSubmission, answer *client.Answer, err error) (ending, string) {
	if err != nil {
		found := fault.Of(err)
		return endingOf(found), string(found.Kind) + ": " + found.Message
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

func endingOf(found *fault.Error) ending {
	switch found.Kind {
	case fault.Overloaded, fault.Unavailable:
		return refused
	case fault.Expired:
		return expired
	case fault.Unknown:
		return unanswered
	}
	return failed
}

// checkComplete returns what is wrong with a complete answer; empty when it holds every task's own result.
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
