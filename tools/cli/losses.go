package cli

import (
	"fmt"
	"io"
	"time"

	"flamingohall.example/tools/losses"
	"flamingohall.example/tools/page"
)

type lossesCommand struct {
	Window time.Duration `help:"Length of the windows." default:"2s"`
	HTML   string        `help:"Write a self-contained page with a plot to this file." type:"path" placeholder:"FILE"`
	Logs   []string      `arg:"" optional:"" type:"path" help:"Log files of all processes of the period; standard input without any."`
}

// Help returns the long help: what the columns mean.
func (lossesCommand) Help() string {
	return `Reads the logs of all processes of a period and says which jobs were not served in time, and the first cause of each.
PLANNED is the number of jobs that a plan serves in time which knows every arrival, run time and worker beforehand: a
reference for what the workers could do. Run times of jobs that did not complete are estimates. UTIL is the work of the
completed jobs as a part of what the workers that were up could do. Gaps of the logs are listed at the end.`
}

// Run reads the logs and prints the report.
func (c *lossesCommand) Run(globals *Globals, out io.Writer) error {
	logs, closeLogs, err := openLogs(c.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
	report, err := losses.Read(c.Window, logs...)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writePage(c.HTML, func(file io.Writer) error { return page.Losses(file, report) }); err != nil {
			return err
		}
	}
	if globals.JSON {
		return printJSON(out, report)
	}
	return printLosses(out, report)
}

func printLosses(out io.Writer, report *losses.Report) error {
	rows := newTable(out, "CAUSE\tJOBS\tCORE-SECONDS\tSHARE")
	for _, cause := range report.Causes {
		rows.row("%s\t%d\t%.1f\t%.4f", cause.Name, cause.Jobs, cause.CoreSeconds, cause.Share)
	}
	if err := rows.flush(); err != nil {
		return err
	}
	for _, part := range []struct {
		name    string
		tallies []losses.Tally
	}{
		{"ALL", []losses.Tally{report.All}}, {"QUEUE", report.Queues}, {"ENTRY", report.Entries}, {"WORKER", report.Workers}, {"WINDOW", report.Windows},
	} {
		_, _ = fmt.Fprintln(out)
		table := newTable(out, part.name+"\tASKED\tIN TIME\tPLANNED\tLATE\tREFUSED\tGIVEN UP\tFAILED\tUTIL")
		for i := range part.tallies {
			t := &part.tallies[i]
			table.row("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f", t.Name, t.Asked, t.InTime, t.Planned, t.Late, t.Refused, t.GivenUp, t.Failed, t.Utilisation)
		}
		if err := table.flush(); err != nil {
			return err
		}
	}
	for _, gap := range report.Gaps {
		if _, err := fmt.Fprintf(out, "\ngap: %s\n", gap); err != nil {
			return err
		}
	}
	return nil
}
