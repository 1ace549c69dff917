package events

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown writes the catalogue page docs/EVENTS.md.
func WriteMarkdown(out io.Writer) error {
	_, err := io.WriteString(out, markdown())
	return err
}

func markdown() string {
	var page strings.Builder
	page.WriteString("# Events\n\nEvery log line carries the field `event` with one of these numbers.\n")
	page.WriteString("This page is generated: `make generate` writes it from package `node/events`.\n\n")
	page.WriteString("| event | level | message | when | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, event := range All() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s |\n",
			event.Number, event.Level, event.Message, event.Meaning, event.Action)
	}
	return page.String()
}
