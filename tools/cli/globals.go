package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/client"
)

// Globals are the flags of every command.
type Globals struct {
	Control []string      `help:"Control VMs, host:port, tried in turn." env:"FLAMINGOHALL_CONTROL" placeholder:"ADDRESS"`
	Entries []string      `help:"Entries' callers' addresses, tried in turn." env:"FLAMINGOHALL_ENTRIES" placeholder:"ADDRESS"`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `help:"Time limit of each request to a process." default:"10s"`
}

// operator returns a client of the control VMs.
func (g *Globals) operator() (*client.Operator, error) {
	return client.NewOperator(g.Control, g.Timeout)
}

// entries returns a client of the entries.
func (g *Globals) entries() (*client.Entries, error) {
	return client.NewEntries(g.Entries)
}

// printJSON writes value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table prints rows in aligned columns.
type table struct {
	writer *tabwriter.Writer
}

// newTable returns a table that prints to out and has a header row.
func newTable(out io.Writer, header string) *table {
	t := &table{writer: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	t.row("%s", header)
	return t
}

// row adds a row. The format separates columns by tabs.
func (t *table) row(format string, args ...any) {
	_, _ = fmt.Fprintf(t.writer, format+"\n", args...)
}

// flush prints the rows added so far.
func (t *table) flush() error {
	return t.writer.Flush()
}

// readFile reads a file named on the command line.
func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The user names the file.
	if err != nil {
		return nil, fault.New(fault.Malformed, "name a file that this user can read", "%v", err)
	}
	return text, nil
}
