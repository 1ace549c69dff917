package state

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Limits of decoded data. The decoder checks lengths against the bytes present before it allocates.
const (
	// MaxCommandBytes bounds a command.
	MaxCommandBytes = 8 << 20
	maxListElements = 4 << 20
	maxNesting      = 16
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
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

// encode returns the deterministic CBOR of a value.
func encode(what string, value any) ([]byte, error) {
	encoded, err := encoder.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode "+what)
	}
	return encoded, nil
}

// decode fills value from the whole of encoded.
func decode(what string, encoded []byte, value any) error {
	if err := decoder.Unmarshal(encoded, value); err != nil {
		return errors.Wrap(err, "decode "+what)
	}
	return nil
}
