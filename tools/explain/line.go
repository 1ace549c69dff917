package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// line is one log line.
type line struct {
	at     time.Time
	node   string
	fields map[string]any
	// order is the position in which the line was read; it orders lines of the same time.
	order int
}

// parse parses a line. Text before the JSON object, as some log collectors add it, is ignored.
func parse(text []byte, order int) (line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return line{}, false
	}
	parsed := line{order: order}
	if json.Unmarshal(text[begin:], &parsed.fields) != nil {
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339, parsed.text("time"))
	if err != nil {
		return line{}, false
	}
	parsed.at, parsed.node = at, parsed.text("node")
	return parsed, true
}

func (l *line) text(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

func (l *line) number(field string) int {
	value, _ := l.fields[field].(float64)
	return int(value)
}

// job returns the id of the job that the line is about, or "". The id of a task begins with that of its job.
func (l *line) job() string {
	if job := l.text("job"); job != "" {
		return job
	}
	job, _, _ := strings.Cut(l.text("task"), ".")
	return job
}

// omittedFields are the fields that LogEntry.Fields leaves out.
var omittedFields = []string{"time", "node", "level", "message", "event", "severity", "v", "logger"}

// otherFields returns the fields that are not omitted as text, sorted by name.
func (l *line) otherFields() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains(omittedFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
	}
	return strings.Join(parts, " ")
}
