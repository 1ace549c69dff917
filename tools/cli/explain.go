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

// Help returns the long help: what the command prints.
func (explainCommand) Help() string {
	return `Selects the lines about one request, its job and its tasks from the logs of all processes, adds the lines about the
health of the workers that ran them, and prints how the request ended. Times are those of the processes, whose clocks
may differ.`
}

// Run reads the logs and prints the timeline of the request.
func (c *explainCommand) Run(globals *Globals, out io.Writer) error {
	logs, closeLogs, err := openLogs(c.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
	timeline, err := explain.Read(c.Request, logs...)
	if err != nil {
		return err
	}
	if globals.JSON {
		return printJSON(out, timeline)
	}
	return printTimeline(out, timeline)
}

// openLogs opens log files, or standard input if there are none, and returns the function that closes them.
func openLogs(paths []string) (logs []io.Reader, closeLogs func(), err error) {
	if len(paths) == 0 {
		return []io.Reader{os.Stdin}, func() {}, nil
	}
	var files []*os.File
	closeLogs = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, path := range paths {
		file, err := os.Open(path) //nolint:gosec // The user names the file.
		if err != nil {
			closeLogs()
			return nil, nil, fault.New(fault.Malformed, "name log files that exist", "%v", err)
		}
		files, logs = append(files, file), append(logs, file)
	}
	return logs, closeLogs, nil
}

func printTimeline(out io.Writer, timeline *explain.Timeline) error {
	first := timeline.Entries[0].At
	_, _ = fmt.Fprintf(out, "request %s, jobs %v, from %s\n", timeline.Request, timeline.Jobs, first.Format("2006-01-02 15:04:05.000"))
	rows := newTable(out, "MS\tNODE\tEVENT\tWHAT\tFIELDS")
	for i := range timeline.Entries {
		entry := &timeline.Entries[i]
		message := entry.Message
		if entry.IsContext {
			message = "(" + message + ")"
		}
		rows.row("%+d\t%s\t%d\t%s\t%s", entry.At.Sub(first).Milliseconds(), entry.Node, entry.Event, message, entry.Fields)
	}
	if err := rows.flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\n%s\n", timeline.Verdict)
	if err == nil && timeline.Skipped+timeline.Dropped > 0 {
		_, err = fmt.Fprintf(out, "%d lines could not be read, and lines were left out under load %d times\n",
			timeline.Skipped, timeline.Dropped)
	}
	return err
}
