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
	// ringLines bounds the log lines that wait for the output.
	ringLines = 1024
	// droppedPeriod is the time between two lines that tell how many were left out.
	droppedPeriod = time.Second
)

// lineRing passes log lines on from a goroutine of its own. Its Write never blocks: while the output takes nothing, lines
// beyond the ring are dropped and counted.
type lineRing struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
	closing sync.Once
}

func newLineRing(out io.Writer) *lineRing {
	r := &lineRing{out: out, lines: make(chan []byte, ringLines), ended: make(chan struct{})}
	go r.loop()
	return r
}

// Write queues one line.
func (r *lineRing) Write(line []byte) (int, error) {
	select {
	case r.lines <- bytes.Clone(line):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// closePatience is how long a process that ends waits for its last lines to be written.
const closePatience = 200 * time.Millisecond

// Close writes what is queued, as far as the output takes it, and ends the loop. Nothing may be written afterwards.
func (r *lineRing) Close() {
	r.closing.Do(func() { close(r.lines) })
	select {
	case <-r.ended:
	case <-time.After(closePatience):
	}
}

func (r *lineRing) loop() {
	defer close(r.ended)
	var toldAt time.Time
	for line := range r.lines {
		// A log that can't be written has nowhere to be reported.
		_, _ = r.out.Write(line)
		if r.dropped.Load() > 0 && time.Since(toldAt) > droppedPeriod {
			toldAt = time.Now()
			_, _ = fmt.Fprintf(r.out, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", r.dropped.Swap(0))
		}
	}
}
