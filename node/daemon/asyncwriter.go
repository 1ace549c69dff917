package daemon

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the log lines that wait to be written.
	maxQueuedLines = 1024
	// droppedPeriod is the minimum time between two reports of dropped lines.
	droppedPeriod = time.Second
)

// asyncWriter writes log lines from a goroutine of its own. Write never blocks: while the output is blocked, lines that
// exceed the queue are dropped and counted.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
	closing sync.Once
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), ended: make(chan struct{})}
	go w.loop()
	return w
}

// Write queues one line.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// closeTimeout is how long Close waits for the queued lines to be written.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, for at most closeTimeout, and ends the loop. Write must not be called afterwards.
func (w *asyncWriter) Close() {
	w.closing.Do(func() { close(w.lines) })
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}

func (w *asyncWriter) loop() {
	defer close(w.ended)
	var reportedAt time.Time
	for line := range w.lines {
		// A write error is ignored: the log itself is where it would be reported.
		_, _ = w.out.Write(line)
		if w.dropped.Load() > 0 && time.Since(reportedAt) > droppedPeriod {
			reportedAt = time.Now()
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", w.dropped.Swap(0))
		}
	}
}
