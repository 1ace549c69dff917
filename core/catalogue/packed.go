package catalogue

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// maxPackedRatio limits the size of an encoded document to a multiple of the maximum size of its text. Both contain the
// field names.
const maxPackedRatio = 4

// Pack returns the document as compressed CBOR, which is much smaller than the text and takes much less CPU time to
// read. The document must be valid: Unpack does not check it.
func (d Document) Pack() ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack catalogue")
	}
	if err := cbor.NewEncoder(writer).Encode(d); err != nil {
		return nil, errors.Wrap(err, "pack catalogue")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack catalogue")
	}
	return packed.Bytes(), nil
}

// Unpack decodes the output of Pack.
func Unpack(packed []byte) (Document, error) {
	var d Document
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPackedRatio*MaxDocumentBytes))
	if err != nil {
		return d, errors.Wrap(err, "unpack catalogue")
	}
	if err := cbor.Unmarshal(encoded, &d); err != nil {
		return d, errors.Wrap(err, "unpack catalogue")
	}
	return d, nil
}
