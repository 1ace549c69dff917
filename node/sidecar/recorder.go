package sidecar

import (
	"os"
	"path/filepath"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/target"
	"flamingohall.example/core/trace"
	"flamingohall.example/node/events"
)

const (
	recordingMode = 0o600
	// maxRecordedSteps bounds the length of a recording.
	maxRecordedSteps = 1_000_000
)

// recorder writes the inputs and outputs of the state machine to a file; a nil recorder writes nothing.
type recorder struct {
	file   *os.File
	writer *trace.Writer
	steps  int
}

// openRecorder starts a recording in the folder. Its name contains the target and its incarnation.
func openRecorder(folder, name string, options target.Options) (*recorder, error) {
	if folder == "" {
		return nil, nil
	}
	path := filepath.Join(folder, "target-"+name+"-"+options.Incarnation+".jsonl")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, recordingMode) //nolint:gosec // Set by the operator.
	if err != nil {
		return nil, fault.New(fault.Storage, "make sidecar.trace_folder a writable folder", "recording: %v", err)
	}
	writer, err := trace.NewWriter(file, target.TraceCodec(), target.RecordingName, options)
	if err != nil {
		return nil, fault.New(fault.Storage, "free space in sidecar.trace_folder", "recording: %v", err)
	}
	return &recorder{file: file, writer: writer}, nil
}

// record writes one step of the state machine.
func (r *recorder) record(at time.Duration, event target.Event, effects []target.Effect) {
	if r == nil || r.steps >= maxRecordedSteps {
		return
	}
	r.steps++
	copied := make([]any, 0, len(effects))
	for _, effect := range effects {
		copied = append(copied, effect)
	}
	r.writer.Step(at, event, copied)
}

// closeRecorder ends the recording and logs an error if it is incomplete.
func (s *Sidecar) closeRecorder() {
	if s.recorder == nil {
		return
	}
	if err := s.recorder.writer.Err(); err != nil {
		events.RecordingFailed.LogError(s.logger, err)
	}
	if err := s.recorder.file.Close(); err != nil {
		events.RecordingFailed.LogError(s.logger, err)
	}
}
