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
	// before is how long before a request's first line what became known of its workers still matters: about the time
	// for which a load or a silence counts.
	before = time.Second
)

// Timeline is what the logs say of one request.
type Timeline struct {
	Request string `json:"request"`
	// Jobs are the jobs that the request handed in, usually one; none when it was refused before.
	Jobs    []string   `json:"jobs"`
	Entries []LogEntry `json:"entries"`
	// Verdict says how the request ended and why.
	Verdict string `json:"verdict"`
	// Skipped counts lines that could not be read; Dropped counts those that the processes left out under load.
	Skipped int `json:"skipped"`
	Dropped int `json:"dropped"`
}

// LogEntry is one line of the account.
type LogEntry struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
	// Fields are the line's other fields, sorted by name.
	Fields string `json:"fields"`
	// IsContext is true for what became known of a worker, and false for what is about the request itself.
	IsContext bool `json:"is_context"`
}

// Numbers of events that the account reads. docs/EVENTS.md lists them.
const (
	eventJobEnded       = 2301
	eventSessionLost    = 2304
	eventSessionFound   = 2305
	eventWorkerSetAside = 2306
	eventWorkerOnTrial  = 2307
	eventWorkerTrusted  = 2308
	eventRequestRefused = 2309
	eventGrantEnded     = 3206
	eventWorkerChanged  = 3207
	messageDropped      = "log lines dropped"
)

// Read reads logs of any number of processes, in any order, and returns the account of a request. The errors are
// fault.NotFound when no line names it and fault.Malformed when the logs can't be read.
func Read(request string, logs ...io.Reader) (*Timeline, error) {
	made := &Timeline{Request: request}
	var lines []line
	for _, log := range logs {
		read, err := made.scan(log, len(lines))
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	slices.SortFunc(lines, func(a, b line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	made.collect(lines)
	if len(made.Entries) == 0 {
		return nil, fault.New(fault.NotFound, "give the logs of all entries at that time, and the id as the caller sent it",
			"no log line names request %q", request)
	}
	return made, nil
}

func (a *Timeline) scan(log io.Reader, first int) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		read, ok := parse(text, first+len(lines))
		switch {
		case ok:
			lines = append(lines, read)
		case bytes.Contains(text, []byte(messageDropped)):
			a.Dropped++
		default:
			a.Skipped++
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.New(fault.Malformed, "give logs as the processes write them, a JSON object a line", "log: %v", err)
	}
	return lines, nil
}

// collect picks the lines about the request, then those about its jobs, then those about the workers of its tasks.
func (a *Timeline) collect(lines []line) {
	for i := range lines {
		if lines[i].text("request") == a.Request {
			if job := lines[i].job(); job != "" && !slices.Contains(a.Jobs, job) {
				a.Jobs = append(a.Jobs, job)
			}
		}
	}
	var about []int
	var workers []string
	for i := range lines {
		one := &lines[i]
		if one.text("request") != a.Request && !slices.Contains(a.Jobs, one.job()) {
			continue
		}
		about = append(about, i)
		if worker := one.text("worker"); worker != "" {
			workers = append(workers, worker)
		}
	}
	if len(about) == 0 {
		return
	}
	begin, end := lines[about[0]].began().Add(-before), lines[about[len(about)-1]].at
	for i := range lines {
		one := &lines[i]
		isAbout := slices.Contains(about, i)
		if isAbout || one.isContextOf(workers) && !one.at.Before(begin) && !one.at.After(end) {
			a.Entries = append(a.Entries, one.entry(!isAbout))
		}
	}
	a.Verdict = verdict(lines, about)
}

// began returns when what the line tells began: a job's line is written at its end.
func (l *line) began() time.Time {
	return l.at.Add(-time.Duration(l.number("took_ms")) * time.Millisecond)
}

// isContextOf reports whether the line tells how one of the workers, or the sidecar beside it, was.
func (l *line) isContextOf(workers []string) bool {
	switch l.number("event") {
	case eventSessionLost, eventSessionFound, eventWorkerSetAside, eventWorkerOnTrial, eventWorkerTrusted:
		return slices.Contains(workers, l.text("worker"))
	case eventGrantEnded, eventWorkerChanged:
		return slices.Contains(workers, l.node)
	}
	return false
}

func (l *line) entry(isContext bool) LogEntry {
	return LogEntry{
		At: l.at, Node: l.node, Event: l.number("event"), Message: l.text("message"), Fields: l.rest(), IsContext: isContext,
	}
}
