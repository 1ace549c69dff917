package target

import (
	"github.com/go-faster/errors"

	"flamingohall.example/core/trace"
)

// RecordingName is the aggregate name in recordings of a Target.
const RecordingName = "target"

// TraceCodec returns the codec for the events and effects of a Target.
func TraceCodec() trace.Codec {
	return trace.NewCodec(
		Run{}, HoldOver{}, Seal{}, Cancel{}, Status{}, Finished{}, Leave{}, Drain{}, Reach{}, Tick{},
		Start{}, Abort{}, Answer{},
	)
}

// MarshalText encodes the id as String does.
func (id JobID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText decodes what MarshalText wrote.
func (id *JobID) UnmarshalText(text []byte) error {
	parsed, ok := ParseJobID(string(text))
	if !ok {
		return errors.Errorf("%q is not a job id of 32 hexadecimal digits", text)
	}
	*id = parsed
	return nil
}
