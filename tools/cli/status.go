package cli

import (
	"context"
	"io"
)

type statusCommand struct {
	Owner string `arg:"" help:"Owner of the submission."`
	Key   string `arg:"" help:"Idempotency key of the submission."`
}

// Run prints the state of the submission and fails unless it is complete.
func (c *statusCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	entries, err := globals.entries()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, globals.Timeout)
	defer cancel()
	answer, err := entries.Status(ctx, c.Owner, c.Key)
	if err != nil {
		return err
	}
	if err := printAnswer(out, globals, answer, 0); err != nil {
		return err
	}
	return requireComplete(answer)
}

type cancelCommand struct {
	Owner string `arg:"" help:"Owner of the submission."`
	Key   string `arg:"" help:"Idempotency key of the submission."`
}

// Run cancels the submission and prints its state.
func (c *cancelCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	entries, err := globals.entries()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, globals.Timeout)
	defer cancel()
	answer, err := entries.Cancel(ctx, c.Owner, c.Key)
	if err != nil {
		return err
	}
	return printAnswer(out, globals, answer, 0)
}
