package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
	"flamingohall.example/tools/client"
)

type drainCommand struct {
	Target   string `arg:"" help:"Id of the target, as listed by flamingohall targets."`
	Undo     bool   `help:"Send the target work again."`
	ChangeID string `help:"Id of the change; a resend with the same id changes nothing more. Random by default." placeholder:"ID"`
}

// drained is the JSON output of drain.
type drained struct {
	Target   string `json:"target"`
	Drained  bool   `json:"drained"`
	ChangeID string `json:"change_id"`
}

// Run drains the target, or with --undo makes it eligible for work again.
func (c *drainCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	request := &rpc.DrainRequest{ChangeId: c.ChangeID, Target: c.Target, Drained: !c.Undo}
	if request.ChangeId == "" {
		request.ChangeId = rand.Text()
	}
	response, err := client.Call(ctx, operator, request, rpc.Operator.Drain)
	if err != nil {
		return err
	}
	if !response.Found {
		return fault.New(fault.NotFound, "see flamingohall targets", "no target is called %q", c.Target)
	}
	if globals.JSON {
		return printJSON(out, drained{Target: c.Target, Drained: !c.Undo, ChangeID: request.ChangeId})
	}
	if c.Undo {
		_, err = fmt.Fprintf(out, "%s gets work again\n", c.Target)
		return err
	}
	_, err = fmt.Fprintf(out, "%s gets no new work; tasks in progress go on\n", c.Target)
	return err
}
