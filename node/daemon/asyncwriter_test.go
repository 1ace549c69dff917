package daemon

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.Write(data)
}

func TestAsyncWriter_NeverBlocksAndReportsDroppedLines(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	writer := newAsyncWriter(out)
	const lines = maxQueuedLines + 500
	began := time.Now()
	for range lines {
		_, _ = writer.Write([]byte("line\n"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing took %v", took)
	}
	close(out.release)
	writer.Close()
	text := out.text.String()
	if !strings.Contains(text, "log lines dropped") || strings.Count(text, "line\n") < maxQueuedLines {
		t.Errorf("%d lines, drop reported: %v", strings.Count(text, "line\n"), strings.Contains(text, "dropped"))
	}
}
