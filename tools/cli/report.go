package cli

import (
	"context"
	"io"
	"os"

	"flamingohall.example/core/burn"
	"flamingohall.example/core/fault"
	"flamingohall.example/tools/page"
)

type reportCommand struct {
	Burn   burnCommand   `cmd:"" help:"Service-level burn of each catalogue entry and owner."`
	Losses lossesCommand `cmd:"" help:"Which jobs of a period were not served in time, and why, from the logs of all processes."`
	Waste  wasteCommand  `cmd:"" help:"Wasted messages by kind and the cost of control, as counted by the processes."`
}

type burnCommand struct {
	HTML string `help:"Write a self-contained page with plots to this file." type:"path" placeholder:"FILE"`
}

// Help returns the long help: what the columns mean.
func (burnCommand) Help() string {
	return `Adds up what all entries counted. A burn of 1 spends exactly the error budget that the objective allows; the
alert is page or ticket when the burn is too fast over a long and a short window at once.`
}

// Run prints the burn report of all entries and, with --html, writes its page.
func (c *burnCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	entries, err := globals.entries()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, globals.Timeout)
	defer cancel()
	report, err := entries.Burn(ctx)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writePage(c.HTML, func(file io.Writer) error { return page.Burn(file, report) }); err != nil {
			return err
		}
	}
	return printBurn(out, globals, report)
}

// writePage creates the file at path and calls write with it.
func writePage(path string, write func(io.Writer) error) error {
	file, err := os.Create(path) //nolint:gosec // The user names the file.
	if err != nil {
		return fault.New(fault.Malformed, "name a file that this user can write", "%v", err)
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func printBurn(out io.Writer, globals *Globals, report burn.Report) error {
	if globals.JSON {
		return printJSON(out, report)
	}
	rows := newTable(out, "ENTRY\tOWNER\tOBJECTIVE\tGOOD\tBAD\tBURN 5M\tBURN 1H\tBURN 6H\tBURN 3D\tBUDGET LEFT\tALERT")
	for _, row := range report.Rows {
		if len(row.Windows) != burn.WindowCount {
			continue
		}
		longest := row.Windows[burn.WindowCount-1]
		rows.row("%s\t%s\t%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f%%\t%s", row.Entry, row.Owner,
			page.ObjectiveText(row.Objective), longest.Good, longest.Bad, row.Windows[0].BurnRate,
			row.Windows[1].BurnRate, row.Windows[2].BurnRate, longest.BurnRate, 100*row.BudgetLeft, row.Alert)
	}
	return rows.flush()
}
