package cli

import (
	"fmt"

	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/settings"
	"flamingohall.example/tools/client"
)

// Exit codes of flamingohall; 0 means success.
const (
	// ExitFailed means a failure without a code of its own.
	ExitFailed = 1
	// ExitUsage means that the command line or a file named on it is invalid.
	ExitUsage = 2
	// ExitConflict means that the object to change has changed meanwhile, or that the key was used with another body.
	ExitConflict = 3
	// ExitIncomplete means that a job failed or has no complete answer.
	ExitIncomplete = 4
	// ExitUnavailable means that no process answered, or that it rejected the request for now.
	ExitUnavailable = 5
)

// IncompleteError means that a submission has no complete answer.
type IncompleteError struct {
	Owner, Key string
	State      client.State
	// Done and Tasks count the tasks with a result and all tasks.
	Done, Tasks int
}

// Error returns a message with the submission, its state and the remedy.
func (e *IncompleteError) Error() string {
	remedy := "see the reason of each task"
	if e.State == client.StateRunning {
		remedy = "ask again with flamingohall status"
	}
	return fmt.Sprintf("submission %s of %s is %s with %d of %d tasks done; %s",
		e.Key, e.Owner, e.State, e.Done, e.Tasks, remedy)
}

// exitByKind maps kinds of faults to exit codes; other kinds exit with ExitFailed.
var exitByKind = map[fault.Kind]int{
	fault.Malformed:   ExitUsage,
	fault.Invalid:     ExitUsage,
	fault.TooLarge:    ExitUsage,
	fault.Conflict:    ExitConflict,
	fault.Fenced:      ExitConflict,
	fault.Expired:     ExitIncomplete,
	fault.Unknown:     ExitIncomplete,
	fault.Overloaded:  ExitUnavailable,
	fault.Unavailable: ExitUnavailable,
}

// ExitCode returns the exit code for a command that failed with err.
func ExitCode(err error) int {
	var incomplete *IncompleteError
	if errors.As(err, &incomplete) {
		return ExitIncomplete
	}
	var problems *settings.Problems
	if errors.As(err, &problems) {
		return ExitUsage
	}
	if code, known := exitByKind[fault.Of(err).Kind]; known {
		return code
	}
	return ExitFailed
}
