package daemon

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// fullDisk is an output that writes a part of a line, and then nothing, until it has space.
type fullDisk struct {
	mutex    sync.Mutex
	text     bytes.Buffer
	hasSpace bool
	isTorn   bool
	attempts chan struct{}
}

func (d *fullDisk) Write(data []byte) (int, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.hasSpace {
		return d.text.Write(data)
	}
	defer func() { d.attempts <- struct{}{} }()
	if d.isTorn {
		return 0, syscall.ENOSPC
	}
	d.isTorn = true
	written, _ := d.text.Write(data[:len(data)/2])
	return written, syscall.ENOSPC
}

// TestAsyncWriter_LinesLostOnAFullDiskAreReportedAndTearNoOther guards against a log that can't be read, and says nothing, after its disk
// was full.
func TestAsyncWriter_LinesLostOnAFullDiskAreReportedAndTearNoOther(t *testing.T) {
	disk := &fullDisk{attempts: make(chan struct{}, 8)}
	writer := newAsyncWriter(disk)
	for range 3 {
		_, _ = writer.Write([]byte("{\"message\":\"lost\"}\n"))
		<-disk.attempts
	}
	disk.mutex.Lock()
	disk.hasSpace = true
	disk.mutex.Unlock()
	_, _ = writer.Write([]byte("{\"message\":\"kept\"}\n"))
	writer.Close()
	lost, kept := 0, 0
	for _, text := range strings.Split(strings.TrimSpace(disk.text.String()), "\n") {
		var line struct {
			Message string `json:"message"`
			Lines   int    `json:"lines"`
		}
		if json.Unmarshal([]byte(text), &line) != nil {
			continue
		}
		lost += line.Lines
		if line.Message == "kept" {
			kept++
		}
	}
	if lost != 3 || kept != 1 {
		t.Errorf("%d lost lines reported and %d later lines readable, want 3 and 1, in:\n%s", lost, kept, disk.text.String())
	}
}

// TestAsyncWriter_LineAfterTheEndIsDropped guards against a panic of a goroutine that still logs while the process ends.
func TestAsyncWriter_LineAfterTheEndIsDropped(t *testing.T) {
	writer := newAsyncWriter(&bytes.Buffer{})
	writer.Close()
	if _, err := writer.Write([]byte("late\n")); err != nil {
		t.Error(err)
	}
	writer.Close()
}

// brokenPipeVariable makes this test's own program log to a pipe that nobody reads.
const brokenPipeVariable = "FLAMINGOHALL_TEST_BROKEN_PIPE"

// TestAsyncWriter_ProcessOutlivesTheReaderOfItsLog guards against processes that are killed by SIGPIPE when their log collector restarts.
func TestAsyncWriter_ProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	if os.Getenv(brokenPipeVariable) != "" {
		writer := newAsyncWriter(os.Stdout)
		_, _ = writer.Write([]byte("line\n"))
		writer.Close()
		_, _ = os.Stderr.WriteString("still running")
		os.Exit(0)
	}
	reader, pipe, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	var errOut bytes.Buffer
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
	command.Env = append(os.Environ(), brokenPipeVariable+"=1")
	command.Stdout, command.Stderr = pipe, &errOut
	err = command.Run()
	_ = pipe.Close()
	if err != nil || errOut.String() != "still running" {
		t.Errorf("the process ended with %v: %q", err, errOut.String())
	}
}
