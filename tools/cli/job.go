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
	Show   jobShowCommand   `cmd:"" default:"withargs" help:"Tell how far a stored job is."`
	Cancel jobCancelCommand `cmd:"" help:"Cancel a stored job wherever it runs."`
}

// job is a stored job as JSON.
type job struct {
	ID string `json:"id"`
	// State is open, completed, failed or cancelled.
	State string `json:"state"`
	// Done and Failures count the tasks that are done and the failed runs, while the job is open.
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

// Run prints the job.
func (c *jobShowCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	jobs, err := client.NewJobs(globals.Control, globals.Timeout)
	if err != nil {
		return err
	}
	found, err := client.Call(ctx, jobs, &rpc.FindRequest{JobId: c.ID, Confirmed: true}, rpc.Jobs.Find)
	if err != nil {
		return err
	}
	state, isKnown := jobStates[found.State]
	if !isKnown {
		return noSuchJob(c.ID)
	}
	shown := job{ID: c.ID, State: state}
	for _, task := range found.Progress {
		if task.Done {
			shown.Done++
		}
		shown.Failures += int(task.Failures)
	}
	if globals.JSON {
		return printJSON(out, shown)
	}
	rows := newTable(out, "JOB\tSTATE\tTASKS DONE\tFAILED RUNS")
	rows.row("%s\t%s\t%d\t%d", shown.ID, shown.State, shown.Done, shown.Failures)
	return rows.flush()
}

type jobCancelCommand struct {
	ID string `arg:"" help:"The job's id."`
}

// Run cancels the job.
func (c *jobCancelCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	jobs, err := client.NewJobs(globals.Control, globals.Timeout)
	if err != nil {
		return err
	}
	response, err := client.Call(ctx, jobs, &rpc.CancelStoredRequest{JobId: c.ID}, rpc.Jobs.Cancel)
	if err != nil {
		return err
	}
	state, isKnown := jobStates[response.State]
	if !isKnown {
		return noSuchJob(c.ID)
	}
	if globals.JSON {
		return printJSON(out, job{ID: c.ID, State: state})
	}
	_, err = fmt.Fprintf(out, "job %s is %s\n", c.ID, state)
	return err
}
