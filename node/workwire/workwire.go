// Package workwire encodes the messages of core/work, and jobs that are to be stored, as CBOR with numbered fields.
package workwire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// Limits of decoded frames. The decoder checks lengths against the bytes present before it allocates.
const (
	maxListElements = 1 << 16
	maxNesting      = 8
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxListElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode can't fail for the types of core/work, whose fields all have an encoding.
func encode(frame any) []byte {
	encoded, err := encoder.Marshal(frame)
	if err != nil {
		panic("workwire: " + err.Error())
	}
	return encoded
}

// EncodeToSidecar returns the bytes of a frame.
func EncodeToSidecar(frame *work.ToSidecar) []byte {
	return encode(frame)
}

// DecodeToSidecar reads the bytes of EncodeToSidecar.
func DecodeToSidecar(encoded []byte) (*work.ToSidecar, error) {
	var frame work.ToSidecar
	if err := decoder.Unmarshal(encoded, &frame); err != nil {
		return nil, errors.Wrap(err, "frame to a sidecar")
	}
	return &frame, nil
}

// EncodeToEntry returns the bytes of a frame.
func EncodeToEntry(frame *work.ToEntry) []byte {
	return encode(frame)
}

// DecodeToEntry reads the bytes of EncodeToEntry.
func DecodeToEntry(encoded []byte) (*work.ToEntry, error) {
	var frame work.ToEntry
	if err := decoder.Unmarshal(encoded, &frame); err != nil {
		return nil, errors.Wrap(err, "frame to an entry")
	}
	return &frame, nil
}

// EncodeSubmission returns the bytes of a job that is to be stored.
func EncodeSubmission(job *dispatch.Submission) []byte {
	return encode(job)
}

// DecodeSubmission reads the bytes of EncodeSubmission.
func DecodeSubmission(encoded []byte) (*dispatch.Submission, error) {
	var job dispatch.Submission
	if err := decoder.Unmarshal(encoded, &job); err != nil {
		return nil, errors.Wrap(err, "stored job")
	}
	return &job, nil
}

// EncodeAnnouncement returns the bytes of what a worker said of itself.
func EncodeAnnouncement(said *runner.Announcement) []byte {
	return encode(said)
}

// DecodeAnnouncement reads the bytes of EncodeAnnouncement.
func DecodeAnnouncement(encoded []byte) (*runner.Announcement, error) {
	var said runner.Announcement
	if err := decoder.Unmarshal(encoded, &said); err != nil {
		return nil, errors.Wrap(err, "announcement of a worker")
	}
	return &said, nil
}
