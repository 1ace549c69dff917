package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"time"

	"flamingohall.example/core/fault"
)

const (
	// maxLineBytes bounds one log line.
	maxLineBytes = 1 << 20
	// contextWindow is how far before a request's first line the timeline includes events of its workers. A worker's
	// reported load or its failure to answer affects decisions for about as long.
	contextWindow = time.Second
)

// Timeline holds the log lines about one request, in order of time.
type Timeline struct {
	Request string `json:"request"`
	// Jobs are the ids of the jobs that the request submitted, usually one. It is empty if the request was rejected before
	// a job was created.
	Jobs    []string   `json:"jobs"`
	Entries []LogEntry `json:"entries"`
	// Verdict describes how the request ended and why.
	Verdict string `json:"verdict"`
	// Skipped counts lines that could not be parsed. Dropped counts reports of lines that processes dropped under load.
	Skipped int `json:"skipped"`
	Dropped int `json:"dropped"`
}

// LogEntry is one log line of a timeline.
type LogEntry struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
	// Fields holds the other fields of the line as text, sorted by name.
	Fields string `json:"fields"`
	// IsContext is true for a line about a worker of the request and false for a line about the request itself.
	IsContext bool `json:"is_context"`
}

// Numbers of the events that a timeline evaluates. docs/EVENTS.md lists all events.
const (
	eventJobEnded           = 2301
	eventSessionLost        = 2304
	eventSessionEstablished = 2305
	eventWorkerEjected      = 2306
	eventWorkerOnProbation  = 2307
	eventWorkerReadmitted   = 2308
	eventRequestRefused     = 2309
	eventGrantEnded         = 3206
	eventWorkerChanged      = 3207
	messageDropped          = "log lines dropped"
)

// Read reads the logs of any number of processes, in any order, and returns the timeline of a request. It returns
// fault.NotFound if no line names the request and fault.Malformed if a log can't be read.
func Read(request string, logs ...io.Reader) (*Timeline, error) {
	timeline := &Timeline{Request: request}
	var lines []line
	for _, log := range logs {
		scanned, err := timeline.scan(log, len(lines))
		if err != nil {
			return nil, err
		}
		lines = append(lines, scanned...)
	}
	slices.SortFunc(lines, func(a, b line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	timeline.selectLines(lines)
	if len(timeline.Entries) == 0 {
		return nil, fault.New(fault.NotFound, "give the logs of all entries at that time, and the id as the caller sent it",
			"no log line names request %q", request)
	}
	return timeline, nil
}

func (t *Timeline) scan(log io.Reader, first int) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		parsed, ok := parse(text, first+len(lines))
		switch {
		case ok:
			lines = append(lines, parsed)
		case bytes.Contains(text, []byte(messageDropped)):
			t.Dropped++
		default:
			t.Skipped++
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.New(fault.Malformed, "give logs as the processes write them, a JSON object a line", "log: %v", err)
	}
	return lines, nil
}

// selectLines selects the lines about the request, about its jobs and their tasks, and about the workers of these tasks.
func (t *Timeline) selectLines(lines []line) {
	for i := range lines {
		if lines[i].text("request") == t.Request {
			if job := lines[i].job(); job != "" && !slices.Contains(t.Jobs, job) {
				t.Jobs = append(t.Jobs, job)
			}
		}
	}
	var matching []int
	var workers []string
	for i := range lines {
		l := &lines[i]
		if l.text("request") != t.Request && !slices.Contains(t.Jobs, l.job()) {
			continue
		}
		matching = append(matching, i)
		if worker := l.text("worker"); worker != "" {
			workers = append(workers, worker)
		}
	}
	if len(matching) == 0 {
		return
	}
	begin, end := lines[matching[0]].start().Add(-contextWindow), lines[matching[len(matching)-1]].at
	for i := range lines {
		l := &lines[i]
		matches := slices.Contains(matching, i)
		if matches || l.isContextOf(workers) && !l.at.Before(begin) && !l.at.After(end) {
			t.Entries = append(t.Entries, l.entry(!matches))
		}
	}
	t.Verdict = verdict(lines, matching)
}

// start returns the start time of what the line describes: the line of a job is written at its end.
func (l *line) start() time.Time {
	return l.at.Add(-time.Duration(l.number("took_ms")) * time.Millisecond)
}

// isContextOf reports whether the line is about the state of one of the workers or its sidecar.
func (l *line) isContextOf(workers []string) bool {
	switch l.number("event") {
	case eventSessionLost, eventSessionEstablished, eventWorkerEjected, eventWorkerOnProbation, eventWorkerReadmitted:
		return slices.Contains(workers, l.text("worker"))
	case eventGrantEnded, eventWorkerChanged:
		return slices.Contains(workers, l.node)
	}
	return false
}

func (l *line) entry(isContext bool) LogEntry {
	return LogEntry{
		At: l.at, Node: l.node, Event: l.number("event"), Message: l.text("message"), Fields: l.otherFields(), IsContext: isContext,
	}
}
