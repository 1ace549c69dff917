package cli

import (
	"fmt"
	"io"
	"os"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/explain"
)

type explainCommand struct {
	Request string   `arg:"" help:"Id of the request, as its caller sent it."`
	Logs    []string `arg:"" optional:"" type:"path" help:"Log files of any processes; standard input without any."`
}

// Help explains the output.
func (explainCommand) Help() string {
	return `Picks the lines about one request, its job and its tasks from the logs of all processes, adds what became known
of the workers that had them, and says how the request ended. Times are those of the processes, whose clocks may differ.`
}

// Run reads the logs and prints the account.
func (c *explainCommand) Run(globals *Globals, out io.Writer) error {
	logs := []io.Reader{os.Stdin}
	if len(c.Logs) > 0 {
		logs = nil
	}
	for _, path := range c.Logs {
		file, err := os.Open(path) //nolint:gosec // The user names the file.
		if err != nil {
			return fault.New(fault.Malformed, "name log files that exist", "%v", err)
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	account, err := explain.Read(c.Request, logs...)
	if err != nil {
		return err
	}
	if globals.JSON {
		return printJSON(out, account)
	}
	return printAccount(out, account)
}

func printAccount(out io.Writer, account *explain.Timeline) error {
	first := account.Entries[0].At
	_, _ = fmt.Fprintf(out, "request %s, jobs %v, from %s\n", account.Request, account.Jobs, first.Format("2006-01-02 15:04:05.000"))
	rows := newTable(out, "MS\tNODE\tEVENT\tWHAT\tFIELDS")
	for i := range account.Entries {
		one := &account.Entries[i]
		message := one.Message
		if one.IsContext {
			message = "(" + message + ")"
		}
		rows.row("%+d\t%s\t%d\t%s\t%s", one.At.Sub(first).Milliseconds(), one.Node, one.Event, message, one.Fields)
	}
	if err := rows.flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\n%s\n", account.Verdict)
	if err == nil && account.Skipped+account.Dropped > 0 {
		_, err = fmt.Fprintf(out, "%d lines could not be read, and lines were left out under load %d times\n",
			account.Skipped, account.Dropped)
	}
	return err
}
