package daemon

import (
	"bytes"
	"fmt"
	"io"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"flamingohall.example/node/events"
	"flamingohall.example/node/metrics"
)

const (
	// maxQueuedLines bounds the log lines that wait to be written.
	maxQueuedLines = 1024
	// droppedPeriod is the minimum time between two reports of dropped lines.
	droppedPeriod = time.Second
)

// asyncWriter writes log lines from a goroutine of its own. Write never blocks: while the output is blocked, lines that
// exceed the queue are dropped and counted, as are those that can't be written.
type asyncWriter struct {
	out   io.Writer
	lines chan []byte
	// dropped counts the dropped lines that are not reported yet, allDropped those since the start.
	dropped    atomic.Int64
	allDropped atomic.Int64
	closed     chan struct{}
	closing    sync.Once
	ended      chan struct{}

	// The fields below belong to the loop. isTorn is true while the output ends with a part of a line.
	isTorn     bool
	reportedAt time.Time
}

// newAsyncWriter returns a writer to out. From then on the process ignores SIGPIPE, which would end it when nobody reads its
// output any more: the reader may be a log collector that restarts.
func newAsyncWriter(out io.Writer) *asyncWriter {
	signal.Ignore(syscall.SIGPIPE)
	w := &asyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), ended: make(chan struct{})}
	go w.loop()
	return w
}

// publish adds the number of dropped lines to the metrics.
func (w *asyncWriter) publish(role *metrics.Role) {
	role.Gauge("log_lines_dropped", func() any { return w.allDropped.Load() })
}

// Write queues one line.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *asyncWriter) drop() {
	w.dropped.Add(1)
	w.allDropped.Add(1)
}

// closeTimeout is how long Close waits for the queued lines to be written.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, for at most closeTimeout, and ends the loop. Later lines are not written.
func (w *asyncWriter) Close() {
	w.closing.Do(func() { close(w.closed) })
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}

func (w *asyncWriter) loop() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closed:
			w.drain()
			return
		}
	}
}

func (w *asyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, and a report of the lines dropped before it. The metrics are the only place for the error of an
// output that stays unusable.
func (w *asyncWriter) writeLine(line []byte) {
	if !w.tryWrite(line) {
		w.drop()
		return
	}
	count := w.dropped.Load()
	if count == 0 || time.Since(w.reportedAt) <= droppedPeriod {
		return
	}
	w.reportedAt = time.Now()
	event := events.LogLinesDropped
	if w.tryWrite(fmt.Appendf(nil, "{\"level\":\"warn\",\"event\":%d,\"message\":%q,\"lines\":%d}\n", event.Number, event.Message, count)) {
		w.dropped.Add(-count)
	}
}

// tryWrite reports whether a line was written, on a line of its own.
func (w *asyncWriter) tryWrite(line []byte) bool {
	if w.isTorn {
		if _, err := w.out.Write([]byte("\n")); err != nil {
			return false
		}
		w.isTorn = false
	}
	written, err := w.out.Write(line)
	w.isTorn = written > 0 && written < len(line)
	return err == nil
}
