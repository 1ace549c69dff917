package daemon

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// heldWriter takes nothing until it is released.
type heldWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	text    bytes.Buffer
}

func (w *heldWriter) Write(data []byte) (int, error) {
	<-w.release
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.Write(data)
}

func TestLineRing_NeverBlocksAndTellsWhatItDropped(t *testing.T) {
	out := &heldWriter{release: make(chan struct{})}
	ring := newLineRing(out)
	const lines = ringLines + 500
	began := time.Now()
	for range lines {
		_, _ = ring.Write([]byte("line\n"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing took %v", took)
	}
	close(out.release)
	ring.Close()
	text := out.text.String()
	if !strings.Contains(text, "log lines dropped") || strings.Count(text, "line\n") < ringLines {
		t.Errorf("%d lines, dropped told: %v", strings.Count(text, "line\n"), strings.Contains(text, "dropped"))
	}
}
