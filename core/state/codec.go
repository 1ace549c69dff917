package state

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Limits of decoded data. The decoder checks lengths against the bytes present before it allocates.
const (
	// MaxCommandBytes bounds a command.
	MaxCommandBytes = 8 << 20
	maxListElements = 4 << 20
	maxNesting      = 16
	// smallEstimate is the first buffer of commands and results; snapshotSlack that of a snapshot beyond its parts.
	smallEstimate = 512
	snapshotSlack = 256 << 10
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxListElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns the deterministic CBOR of a value, whose size the caller estimates in bytes.
func encode(what string, value any, estimate int) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(estimate)
	if err := encoder.MarshalToBuffer(value, &buffer); err != nil {
		return nil, errors.Wrap(err, "encode "+what)
	}
	return buffer.Bytes(), nil
}

// decode fills value from the whole of encoded.
func decode(what string, encoded []byte, value any) error {
	if err := decoder.Unmarshal(encoded, value); err != nil {
		return errors.Wrap(err, "decode "+what)
	}
	return nil
}
