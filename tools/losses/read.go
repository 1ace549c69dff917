package losses

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"flamingohall.example/core/fault"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// log holds what was read.
type log struct {
	jobs []job
	// until is when the last job ended.
	until time.Time
	// refusedRequests counts requests that were refused before a job was created.
	refusedRequests int
	workers         map[string]*workerLog
	versions        map[string]bool
	// withoutStages counts jobs whose stages were not logged.
	withoutStages    int
	skipped, dropped int
	clocks           clockComparison
	interned         map[string]string
}

// workerLog is what the log of a worker's sidecar says about the worker.
type workerLog struct {
	milliCores int64
	changes    []change
	lastLine   time.Time
}

// change is the beginning or the end of a time in which a worker takes tasks.
type change struct {
	at   time.Time
	isUp bool
}

// readLogs reads the logs of any number of processes, in any order.
func readLogs(from ...io.Reader) (*log, error) {
	l := &log{workers: map[string]*workerLog{}, versions: map[string]bool{}, clocks: newClockComparison(), interned: map[string]string{}}
	for _, reader := range from {
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l.add(scanner.Bytes())
		}
		if err := scanner.Err(); err != nil {
			return nil, fault.New(fault.Malformed, "give logs as the processes write them, a JSON object a line", "log: %v", err)
		}
	}
	if len(l.jobs) == 0 {
		return nil, fault.New(fault.NotFound, "give the logs of all entries of the period", "no log line tells the end of a job")
	}
	for _, w := range l.workers {
		slices.SortStableFunc(w.changes, func(a, b change) int { return a.at.Compare(b.at) })
	}
	return l, nil
}

func (l *log) add(text []byte) {
	if len(bytes.TrimSpace(text)) == 0 {
		return
	}
	if bytes.Contains(text, []byte(messageDropped)) {
		l.dropped++
		return
	}
	r, isRead := parse(text)
	if !isRead {
		l.skipped++
		return
	}
	switch r.Event {
	case eventJobEnded:
		if r.ExpectedMS == nil {
			l.withoutStages++
		}
		ended := newJob(&r)
		ended.node, ended.queue, ended.worker, ended.cause = l.intern(ended.node), l.intern(ended.queue), l.intern(ended.worker), l.intern(ended.cause)
		l.jobs = append(l.jobs, ended)
		if r.Time.After(l.until) {
			l.until = r.Time
		}
	case eventRequestRefused:
		l.refusedRequests++
	case eventWorkerChanged:
		l.workerChanged(&r)
	case eventProcessStarting:
		l.versions[r.Version] = true
		l.processStarted(&r)
	case eventOfferRefused, eventOfferDeclined:
		l.clocks.add(&r)
	}
	if w := l.workers[r.Node]; w != nil && r.Time.After(w.lastLine) {
		w.lastLine = r.Time
	}
}

// intern returns one copy of each text, so that a log of a million jobs needs little memory.
func (l *log) intern(text string) string {
	if known, isKnown := l.interned[text]; isKnown {
		return known
	}
	l.interned[text] = text
	return text
}

func (l *log) workerChanged(r *record) {
	w := l.workers[r.Node]
	if w == nil {
		w = &workerLog{}
		l.workers[r.Node] = w
	}
	w.milliCores = cmp.Or(r.MilliCores, w.milliCores)
	w.changes = append(w.changes, change{at: r.Time, isUp: r.State == "ready" || r.State == "recalled"})
}

// processStarted ends the time of a worker whose sidecar has restarted with the last line of the predecessor. A VM that loses
// power writes nothing about it.
func (l *log) processStarted(r *record) {
	if w := l.workers[r.Node]; w != nil {
		w.changes = append(w.changes, change{at: w.lastLine.Add(time.Nanosecond)})
	}
}

// gaps says what the logs don't tell.
func (l *log) gaps() []string {
	var gaps []string
	add := func(count int, format string, args ...any) {
		if count > 0 {
			gaps = append(gaps, fmt.Sprintf(format, args...))
		}
	}
	add(l.skipped, "%d lines could not be read", l.skipped)
	add(l.dropped, "processes left out lines under load %d times: some jobs are missing from the totals", l.dropped)
	add(l.withoutStages, "%d jobs were logged by a build that doesn't write their stages: their causes are incomplete, and there is no plan for them", l.withoutStages)
	if len(l.versions) > 1 {
		gaps = append(gaps, fmt.Sprintf("the processes are of %d versions: %v", len(l.versions), slices.Sorted(maps.Keys(l.versions))))
	}
	return append(gaps, l.clocks.gaps()...)
}

// maxClockDifference is the difference of two clocks from which times of their processes are not compared. Messages between processes
// take some milliseconds, and lines are written up to 100 ms later.
const maxClockDifference = 250 * time.Millisecond

// clockComparison compares the clocks of sidecars with those of entries: both log each refused offer.
type clockComparison struct {
	atSidecar map[runKey]event
	// differences holds, for each sidecar, the times by which entries logged a refusal later.
	differences map[string][]time.Duration
}

type runKey struct {
	task string
	run  uint32
}

type event struct {
	node string
	at   time.Time
}

func newClockComparison() clockComparison {
	return clockComparison{atSidecar: map[runKey]event{}, differences: map[string][]time.Duration{}}
}

func (c *clockComparison) add(r *record) {
	key := runKey{r.Task, r.Run}
	if other, isKnown := c.atSidecar[key]; isKnown {
		delete(c.atSidecar, key)
		sidecar, difference := other.node, r.Time.Sub(other.at)
		if r.Event == eventOfferRefused {
			sidecar, difference = r.Node, other.at.Sub(r.Time)
		}
		c.differences[sidecar] = append(c.differences[sidecar], difference)
		return
	}
	c.atSidecar[key] = event{r.Node, r.Time}
}

func (c *clockComparison) gaps() []string {
	var gaps []string
	for _, node := range slices.Sorted(maps.Keys(c.differences)) {
		sorted := slices.Sorted(slices.Values(c.differences[node]))
		if median := sorted[len(sorted)/2]; median.Abs() > maxClockDifference {
			gaps = append(gaps, fmt.Sprintf("the clock of %s differs by about %v from those of the entries: the times of this worker are not exact", node, median.Round(10*time.Millisecond)))
		}
	}
	return gaps
}
