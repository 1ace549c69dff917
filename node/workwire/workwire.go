// Package workwire encodes the messages of core/work, the jobs that control stores, and the announcements of workers as
// CBOR with numbered fields.
package workwire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// Limits of decoded values. The decoder checks lengths against the bytes present before it allocates.
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
	// The encoder takes any string. If the decoder refused one that isn't UTF-8, that one string, which may come from outside the
	// system, would end the session of its frame, or make a stored job unreadable to its next holder.
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxListElements, MaxNestedLevels: maxNesting, UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode panics if the value has no encoding. All types that this package encodes have one.
func encode(frame any) []byte {
	encoded, err := encoder.Marshal(frame)
	if err != nil {
		panic("workwire: " + err.Error())
	}
	return encoded
}

// EncodeToSidecar encodes a frame to a sidecar.
func EncodeToSidecar(frame *work.ToSidecar) []byte {
	return encode(frame)
}

// EncodePartsToSidecar encodes a frame as one of at most maxBytes, or as several that divide its offers. A frame with one offer or none is
// not divided.
func EncodePartsToSidecar(frame *work.ToSidecar, maxBytes int) [][]byte {
	encoded := EncodeToSidecar(frame)
	half := len(frame.Offers) / 2
	if half == 0 || len(encoded) <= maxBytes && len(frame.Offers) <= maxListElements {
		return [][]byte{encoded}
	}
	first, second := *frame, work.ToSidecar{Offers: frame.Offers[half:]}
	first.Offers = frame.Offers[:half]
	return append(EncodePartsToSidecar(&first, maxBytes), EncodePartsToSidecar(&second, maxBytes)...)
}

// DecodeToSidecar decodes the result of EncodeToSidecar.
func DecodeToSidecar(encoded []byte) (*work.ToSidecar, error) {
	var frame work.ToSidecar
	if err := decoder.Unmarshal(encoded, &frame); err != nil {
		return nil, errors.Wrap(err, "decode frame to a sidecar")
	}
	return &frame, nil
}

// EncodeToEntry encodes a frame to an entry.
func EncodeToEntry(frame *work.ToEntry) []byte {
	return encode(frame)
}

// DecodeToEntry decodes the result of EncodeToEntry.
func DecodeToEntry(encoded []byte) (*work.ToEntry, error) {
	var frame work.ToEntry
	if err := decoder.Unmarshal(encoded, &frame); err != nil {
		return nil, errors.Wrap(err, "decode frame to an entry")
	}
	return &frame, nil
}

// EncodeSubmission encodes a job that is to be stored.
func EncodeSubmission(job *dispatch.Submission) []byte {
	return encode(job)
}

// DecodeSubmission decodes the result of EncodeSubmission.
func DecodeSubmission(encoded []byte) (*dispatch.Submission, error) {
	var job dispatch.Submission
	if err := decoder.Unmarshal(encoded, &job); err != nil {
		return nil, errors.Wrap(err, "decode stored job")
	}
	if problem := stepsProblem(job.Steps); problem != "" {
		return nil, errors.Errorf("decode stored job: %s", problem)
	}
	return &job, nil
}

// stepsProblem returns what is wrong with the steps of a job, "" if nothing is. A job that ends the entry that runs it would end one entry after
// the other, since control assigns it to the next.
func stepsProblem(steps []dispatch.Step) string {
	tasks := 0
	for i := range steps {
		if steps[i].Count < 0 || steps[i].Count > catalogue.MaxTasksPerJob-tasks {
			return "a step has a negative number of tasks, or the steps have too many in total"
		}
		tasks += steps[i].Count
		for _, earlier := range steps[i].After {
			if earlier < 0 || earlier >= i {
				return "a step depends on one that is not earlier"
			}
		}
	}
	return ""
}

// EncodeAnnouncement encodes the announcement of a worker.
func EncodeAnnouncement(announcement *runner.Announcement) []byte {
	return encode(announcement)
}

// DecodeAnnouncement decodes the result of EncodeAnnouncement.
func DecodeAnnouncement(encoded []byte) (*runner.Announcement, error) {
	var announcement runner.Announcement
	if err := decoder.Unmarshal(encoded, &announcement); err != nil {
		return nil, errors.Wrap(err, "decode announcement of a worker")
	}
	return &announcement, nil
}
