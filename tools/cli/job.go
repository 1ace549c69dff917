package cli

import (
	"context"
	"fmt"
	"io"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
	"flamingohall.example/tools/client"
)

type jobCommand struct {
	Show   jobShowCommand   `cmd:"" default:"withargs" help:"Print the state and progress of a stored job."`
	Cancel jobCancelCommand `cmd:"" help:"Cancel a stored job wherever it runs."`
}

// job is the JSON output of a stored job.
type job struct {
	ID string `json:"id"`
	// State is open, completed, failed or cancelled.
	State string `json:"state"`
	// Done counts the tasks that are done and Failures the failed runs. Both are 0 once the job has ended.
	Done     int `json:"done"`
	Failures int `json:"failures"`
}

var jobStates = map[rpc.JobState]string{
	rpc.JobState_JOB_STATE_OPEN: "open", rpc.JobState_JOB_STATE_COMPLETED: "completed",
	rpc.JobState_JOB_STATE_FAILED: "failed", rpc.JobState_JOB_STATE_CANCELLED: "cancelled",
}

func noSuchJob(id string) error {
	return fault.New(fault.NotFound, "check the id; ended jobs are forgotten after two minutes, and jobs whose callers wait are not stored",
		"control keeps no job %q", id)
}

type jobShowCommand struct {
	ID string `arg:"" help:"The job's id."`
}

// Run prints the state and progress of the job.
func (c *jobShowCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	jobs, err := client.NewJobs(globals.Control, globals.Timeout)
	if err != nil {
		return err
	}
	response, err := client.Call(ctx, jobs, &rpc.FindRequest{JobId: c.ID, Confirmed: true}, rpc.Jobs.Find)
	if err != nil {
		return err
	}
	state, known := jobStates[response.State]
	if !known {
		return noSuchJob(c.ID)
	}
	result := job{ID: c.ID, State: state}
	for _, task := range response.Progress {
		if task.Done {
			result.Done++
		}
		result.Failures += int(task.Failures)
	}
	if globals.JSON {
		return printJSON(out, result)
	}
	rows := newTable(out, "JOB\tSTATE\tTASKS DONE\tFAILED RUNS")
	rows.row("%s\t%s\t%d\t%d", result.ID, result.State, result.Done, result.Failures)
	return rows.flush()
}

type jobCancelCommand struct {
	ID string `arg:"" help:"The job's id."`
}

// Run cancels the job and prints its state.
func (c *jobCancelCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	jobs, err := client.NewJobs(globals.Control, globals.Timeout)
	if err != nil {
		return err
	}
	response, err := client.Call(ctx, jobs, &rpc.CancelStoredRequest{JobId: c.ID}, rpc.Jobs.Cancel)
	if err != nil {
		return err
	}
	state, known := jobStates[response.State]
	if !known {
		return noSuchJob(c.ID)
	}
	if globals.JSON {
		return printJSON(out, job{ID: c.ID, State: state})
	}
	_, err = fmt.Fprintf(out, "job %s is %s\n", c.ID, state)
	return err
}
