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
	// order keeps lines of the same time in the order in which they were read.
	order int
}

// parse reads a line. Whatever stands before the JSON, as some log collectors add it, is left out.
func parse(text []byte, order int) (line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return line{}, false
	}
	read := line{order: order}
	if json.Unmarshal(text[begin:], &read.fields) != nil {
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339, read.text("time"))
	if err != nil {
		return line{}, false
	}
	read.at, read.node = at, read.text("node")
	return read, true
}

func (l *line) text(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

func (l *line) number(field string) int {
	value, _ := l.fields[field].(float64)
	return int(value)
}

// job returns the job that the line is about, empty when it is about none. A task's name begins with its job's.
func (l *line) job() string {
	if job := l.text("job"); job != "" {
		return job
	}
	job, _, _ := strings.Cut(l.text("task"), ".")
	return job
}

// aside are the fields that an account leaves out of a line's rest.
var aside = []string{"time", "node", "level", "message", "event", "severity", "v", "logger"}

// rest returns the other fields as text, sorted by name.
func (l *line) rest() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains(aside, name) {
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
