package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
	"flamingohall.example/tools/client"
)

type evacuateCommand struct {
	DataCentre string `arg:"" help:"Name of the data centre."`
	Undo       bool   `help:"End the evacuation: send the workers tasks again."`
	Author     string `help:"Name recorded with the order. By default the name of the current user." placeholder:"NAME"`
}

// evacuated is the JSON output of evacuate.
type evacuated struct {
	DataCentre string `json:"data_centre"`
	Evacuated  bool   `json:"evacuated"`
	// Repeated is true if the data centre was in the ordered state already.
	Repeated bool `json:"repeated"`
	// PoolsWithoutWorkers are the pools all of whose workers are in evacuated data centres.
	PoolsWithoutWorkers []string `json:"pools_without_workers"`
}

// Run evacuates the data centre, or with --undo ends its evacuation.
func (c *evacuateCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	request := &rpc.EvacuateRequest{DataCentre: c.DataCentre, Evacuated: !c.Undo, Author: authorOr(c.Author)}
	response, err := client.Call(ctx, operator, request, rpc.Operator.Evacuate)
	if err != nil {
		return err
	}
	if response.Superseded {
		return fault.New(fault.Unavailable, "see flamingohall evacuations, and give the order again if it is still wanted",
			"a newer order for data centre %q was given meanwhile; nothing has changed", c.DataCentre)
	}
	if globals.JSON {
		return printJSON(out, evacuated{
			DataCentre: c.DataCentre, Evacuated: !c.Undo, Repeated: response.Repeated,
			PoolsWithoutWorkers: append([]string{}, response.PoolsWithoutWorkers...),
		})
	}
	text := c.DataCentre + " is evacuated: its workers get no new tasks; tasks in progress go on"
	if c.Undo {
		text = c.DataCentre + " is not evacuated; its workers get tasks"
	}
	if len(response.PoolsWithoutWorkers) > 0 {
		text += "\nwarning: no worker remains for: " + strings.Join(response.PoolsWithoutWorkers, ", ")
	}
	_, err = fmt.Fprintln(out, text)
	return err
}

type evacuationsCommand struct{}

// evacuation is the JSON output of one evacuated data centre.
type evacuation struct {
	DataCentre string `json:"data_centre"`
	// Since and Index are the time and the log index of the order.
	Since string `json:"since"`
	Index uint64 `json:"index"`
	// Workers are the registered workers there, Busy those at which tasks run, Unknown those of which this is not known.
	Workers uint32 `json:"workers"`
	Busy    uint32 `json:"busy"`
	Unknown uint32 `json:"unknown"`
}

// Run lists the evacuated data centres.
func (evacuationsCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	response, err := client.Call(ctx, operator, &rpc.EvacuationsRequest{}, rpc.Operator.Evacuations)
	if err != nil {
		return err
	}
	list := []evacuation{}
	for _, e := range response.Evacuations {
		list = append(list, evacuation{
			DataCentre: e.DataCentre, Since: time.UnixMilli(e.OrderedUnixMs).UTC().Format(time.RFC3339), Index: e.Index,
			Workers: e.Workers, Busy: e.Busy, Unknown: e.Unknown,
		})
	}
	if globals.JSON {
		return printJSON(out, list)
	}
	rows := newTable(out, "DATA CENTRE\tSINCE\tINDEX\tWORKERS\tBUSY\tNOT KNOWN")
	for _, e := range list {
		rows.row("%s\t%s\t%d\t%d\t%d\t%d", e.DataCentre, e.Since, e.Index, e.Workers, e.Busy, e.Unknown)
	}
	return rows.flush()
}
