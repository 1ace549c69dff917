package cli

import (
	"context"
	"io"

	"flamingohall.example/tools/client"
)

type wasteCommand struct {
	Nodes []string `help:"Internal addresses of the processes, host:port." env:"FLAMINGOHALL_NODES" required:"" placeholder:"ADDRESS"`
}

// Run prints the sums of the counters of all processes.
func (c *wasteCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, globals.Timeout)
	defer cancel()
	processes, err := client.NewProcesses(c.Nodes).Read(ctx)
	if err != nil {
		return err
	}
	messages := client.MessagesOf(processes)
	if globals.JSON {
		return printJSON(out, messages)
	}
	return printWaste(out, messages)
}

func printWaste(out io.Writer, messages client.Messages) error {
	rows := newTable(out, "MESSAGES\tCOUNT\tPER TASK STARTED")
	add := func(name string, count int64) {
		rows.row("%s\t%d\t%.4f", name, count, float64(count)/float64(max(messages.TasksStarted, 1)))
	}
	rows.row("tasks started\t%d\t", messages.TasksStarted)
	add("runs sent", messages.RunsSent)
	for _, kind := range messages.Wasted.Kinds() {
		add("wasted: "+kind.Name, kind.Count)
	}
	add("wasted in all", messages.Wasted.Total())
	add("control messages", messages.ControlMessages)
	add("control bytes", messages.ControlBytes)
	return rows.flush()
}
