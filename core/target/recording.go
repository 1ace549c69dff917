package target

import (
	"github.com/go-faster/errors"

	"flamingohall.example/core/trace"
)

// RecordingName names recordings of a Target.
const RecordingName = "target"

// TraceCodec returns the codec of a Target's events and effects.
func TraceCodec() trace.Codec {
	return trace.NewCodec(
		Run{}, HoldOver{}, Seal{}, Cancel{}, Status{}, Finished{}, Leave{}, Drain{}, Reach{}, Tick{},
		Start{}, Abort{}, Answer{},
	)
}

// MarshalText writes the id as String does.
func (id JobID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText reads what MarshalText wrote.
func (id *JobID) UnmarshalText(text []byte) error {
	parsed, good := ParseJobID(string(text))
	if !good {
		return errors.Errorf("%q is no job id", text)
	}
	*id = parsed
	return nil
}
