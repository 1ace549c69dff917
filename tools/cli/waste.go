package cli

import (
	"context"
	"io"
	"slices"

	"flamingohall.example/tools/client"
)

type wasteCommand struct {
	Nodes []string `help:"Internal addresses of the processes, host:port." env:"FLAMINGOHALL_NODES" required:"" placeholder:"ADDRESS"`
}

// waste is the report as JSON.
type waste struct {
	TasksStarted int64 `json:"tasks_started"`
	// Wasted counts messages by kind.
	Wasted map[string]int64 `json:"wasted"`
	// PerTask is the sum of Wasted over TasksStarted; 0 without starts.
	PerTask         float64 `json:"per_task"`
	RunsSent        int64   `json:"runs_sent"`
	ControlMessages int64   `json:"control_messages"`
	ControlBytes    int64   `json:"control_bytes"`
}

// Run adds up the counters of all processes.
func (c *wasteCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, globals.Timeout)
	defer cancel()
	processes, err := client.NewProcesses(c.Nodes).Read(ctx)
	if err != nil {
		return err
	}
	sums := client.Sum(processes)
	report := waste{
		TasksStarted: sums[client.TasksStarted], Wasted: client.Wasted(sums), RunsSent: sums[client.RunsSent],
		ControlMessages: sums[client.ControlMessages], ControlBytes: sums[client.ControlBytes],
	}
	var total int64
	for _, count := range report.Wasted {
		total += count
	}
	if report.TasksStarted > 0 {
		report.PerTask = float64(total) / float64(report.TasksStarted)
	}
	return printWaste(out, globals, report)
}

func printWaste(out io.Writer, globals *Globals, report waste) error {
	if globals.JSON {
		return printJSON(out, report)
	}
	rows := newTable(out, "MESSAGES\tCOUNT\tPER TASK STARTED")
	perTask := func(count int64) float64 { return float64(count) / float64(max(report.TasksStarted, 1)) }
	rows.row("tasks started\t%d\t", report.TasksStarted)
	rows.row("runs sent\t%d\t%.4f", report.RunsSent, perTask(report.RunsSent))
	kinds := make([]string, 0, len(report.Wasted))
	for kind := range report.Wasted {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		rows.row("%s\t%d\t%.4f", kind, report.Wasted[kind], perTask(report.Wasted[kind]))
	}
	rows.row("all wasted\t\t%.4f", report.PerTask)
	rows.row("control messages\t%d\t%.4f", report.ControlMessages, perTask(report.ControlMessages))
	rows.row("control bytes\t%d\t%.1f", report.ControlBytes, perTask(report.ControlBytes))
	return rows.flush()
}
