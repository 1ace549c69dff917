package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
	"flamingohall.example/tools/client"
)

type submitCommand struct {
	Input    []string      `arg:"" help:"A file with a submission (- is standard input), or one JSON payload for each task."`
	Owner    string        `help:"Owner of the submission; overrides that of the file."`
	Entry    string        `help:"Catalogue entry; overrides that of the file."`
	Key      string        `help:"Idempotency key; overrides that of the file. Without one a random key is generated and printed."`
	Deadline time.Duration `help:"Time left to answer; the catalogue entry's default if 0."`
	NoWait   bool          `help:"Return once the submission is accepted."`
}

// Help returns the long help: examples and resending.
func (submitCommand) Help() string {
	return `Examples:
  flamingohall submit job.json
  flamingohall submit --owner levy-queries --entry levy/validate --key q-17 '{"run_ms":60}' '{"run_ms":90}'
  generate-job | flamingohall submit --key run-5 -

A submission that got no answer may be sent again with the same key: it gets the same answer and starts nothing twice.
The exit code is 0 for a complete answer and 4 for any other.`
}

// Run sends the submission and prints the answer. Unless --no-wait is set it fails if the answer is incomplete.
func (c *submitCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	submission, err := c.submission()
	if err != nil {
		return err
	}
	entries, err := globals.entries()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.answerTimeout(submission, globals.Timeout))
	defer cancel()
	start := time.Now()
	answer, err := entries.Submit(ctx, submission, !c.NoWait)
	if err != nil {
		return err
	}
	if err := printAnswer(out, globals, answer, time.Since(start)); err != nil {
		return err
	}
	if c.NoWait {
		return nil
	}
	return requireComplete(answer)
}

// answerTimeout bounds the time from sending the submission to its answer: the deadline, if one may apply, plus timeout.
func (c *submitCommand) answerTimeout(submission *client.Submission, timeout time.Duration) time.Duration {
	if c.NoWait {
		return timeout
	}
	if submission.DeadlineMS > 0 {
		return time.Duration(submission.DeadlineMS)*time.Millisecond + timeout
	}
	return catalogue.MaxDeadlineMS*time.Millisecond + timeout
}

// submission builds the submission from the arguments and flags.
func (c *submitCommand) submission() (*client.Submission, error) {
	submission, err := readInput(c.Input)
	if err != nil {
		return nil, err
	}
	override(&submission.Owner, c.Owner)
	override(&submission.Entry, c.Entry)
	override(&submission.Key, c.Key)
	override(&submission.DeadlineMS, c.Deadline.Milliseconds())
	if submission.Key == "" {
		submission.Key = rand.Text()
	}
	if submission.Owner == "" || submission.Entry == "" {
		return nil, fault.New(fault.Malformed, "give --owner and --entry or a file that has them", "no owner or entry is named")
	}
	return submission, nil
}

// override sets target to value unless value is the zero value.
func override[T comparable](target *T, value T) {
	var zero T
	if value != zero {
		*target = value
	}
}

// readInput reads the inputs as payloads if the first one is valid JSON, otherwise as the name of a single file.
func readInput(inputs []string) (*client.Submission, error) {
	if json.Valid([]byte(inputs[0])) {
		return submissionFromPayloads(inputs)
	}
	if len(inputs) > 1 {
		return nil, fault.New(fault.Malformed, "give one file, or JSON payloads only", "%q is not a JSON payload", inputs[0])
	}
	if inputs[0] == "-" {
		text, err := io.ReadAll(io.LimitReader(os.Stdin, client.MaxAnswerBytes))
		if err != nil {
			return nil, fault.New(fault.Malformed, "pipe a submission in", "standard input: %v", err)
		}
		return parseSubmission("standard input", text)
	}
	text, err := readFile(inputs[0])
	if err != nil {
		return nil, err
	}
	return parseSubmission(inputs[0], text)
}

func submissionFromPayloads(inputs []string) (*client.Submission, error) {
	submission := new(client.Submission)
	for _, input := range inputs {
		if !json.Valid([]byte(input)) {
			return nil, fault.New(fault.Malformed, "give one file, or JSON payloads only", "%q is not a JSON payload", input)
		}
		submission.Tasks = append(submission.Tasks, client.Task{Payload: json.RawMessage(input)})
	}
	return submission, nil
}

// parseSubmission parses JSON with comments. Unknown fields are an error.
func parseSubmission(name string, text []byte) (*client.Submission, error) {
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, fault.New(fault.Malformed, "correct the JSON at the position given", "%s: %v", name, err)
	}
	submission := new(client.Submission)
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(submission); err != nil {
		return nil, fault.New(fault.Malformed, "see docs/API.md for the fields", "%s: %v", name, err)
	}
	return submission, nil
}

// requireComplete returns an *IncompleteError unless the answer is complete.
func requireComplete(answer *client.Answer) error {
	if answer.State == client.StateComplete {
		return nil
	}
	return &IncompleteError{
		Owner: answer.Owner, Key: answer.Key, State: answer.State,
		Done: answer.Done(), Tasks: len(answer.Tasks),
	}
}

// printTiming prints the response time and the run time of the longest task, both given in microseconds, and their ratio.
// An answer that came faster than its longest task ran was stored, or the job was already in progress: it has no slowdown.
func printTiming(out io.Writer, response, longest int64) {
	_, _ = fmt.Fprintf(out, "response %.1f ms, longest task %.1f ms, ", milliseconds(response), milliseconds(longest))
	if response < longest {
		_, _ = fmt.Fprintln(out, "the job had run before")
		return
	}
	_, _ = fmt.Fprintf(out, "slowdown %.3f\n", float64(response)/float64(longest))
}

// printAnswer prints an answer as text or JSON. Elapsed is the response time measured here; with 0 no timing is printed.
func printAnswer(out io.Writer, globals *Globals, answer *client.Answer, elapsed time.Duration) error {
	if globals.JSON {
		return printJSON(out, answer)
	}
	_, _ = fmt.Fprintf(out, "%s %s of %s (%s): %s, %d of %d tasks done\n",
		answer.Job, answer.Key, answer.Owner, answer.Entry, answer.State, answer.Done(), len(answer.Tasks))
	if longest := answer.LongestRunUS(); elapsed > 0 && longest > 0 {
		printTiming(out, elapsed.Microseconds(), longest)
	}
	rows := newTable(out, "TASK\tOUTCOME\tTARGET\tATTEMPTS\tQUEUED MS\tRAN MS\tREASON")
	for _, task := range answer.Tasks {
		rows.row("%d\t%s\t%s\t%d\t%.1f\t%.1f\t%s", task.Index, task.Outcome, task.Target, task.Attempts,
			milliseconds(task.QueueUS), milliseconds(task.RunUS), joinReason(task.Cause, task.Reason))
	}
	return rows.flush()
}

func joinReason(cause, reason string) string {
	if cause == "" || reason == "" {
		return cause + reason
	}
	return cause + ": " + reason
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(us int64) float64 {
	const usPerMS = 1000
	return float64(us) / usPerMS
}
