package state

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Limits of encoded and decoded data. The decoder checks lengths against the available bytes before it allocates.
const (
	// MaxCommandBytes is the maximum size of an encoded command.
	MaxCommandBytes = 8 << 20
	maxListElements = 4 << 20
	maxNesting      = 16
	// initialBufferBytes is the initial buffer size of commands and results. snapshotOverheadBytes is added to the
	// estimated sizes of a snapshot's parts.
	initialBufferBytes    = 512
	snapshotOverheadBytes = 256 << 10
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

// encode returns the deterministic CBOR encoding of a value. estimate is its expected size in bytes.
func encode(what string, value any, estimate int) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(estimate)
	if err := encoder.MarshalToBuffer(value, &buffer); err != nil {
		return nil, errors.Wrap(err, "encode "+what)
	}
	return buffer.Bytes(), nil
}

// decode decodes all of encoded into value.
func decode(what string, encoded []byte, value any) error {
	if err := decoder.Unmarshal(encoded, value); err != nil {
		return errors.Wrap(err, "decode "+what)
	}
	return nil
}
