package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/go-faster/errors"
)

// A frame is a header, a payload and an end mark. The header holds, little endian, the payload's length, the payload's
// checksum and a checksum of these two, 4 bytes each. A length that can be trusted tells a file that ends early from a
// file whose bytes changed, and a mark that is zero tells blocks that were never written.
const (
	headerBytes   = 12
	endMark       = 0xA5
	endMarkBytes  = 1
	maxFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// errTorn means that the bytes end before the frame does, or were never written.
	errTorn = errors.New("torn frame")
	// errCorrupt means that bytes changed after they were written.
	errCorrupt = errors.New("damaged frame")
)

// appendFrame adds a frame with the payload.
func appendFrame(to, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	to = append(to, header[:]...)
	to = append(to, payload...)
	return append(to, endMark)
}

// nextFrame returns the payload of the first frame and what follows it. Errors: errTorn, errCorrupt.
func nextFrame(data []byte) (payload, rest []byte, err error) {
	if len(data) < headerBytes || isZero(data) {
		return nil, nil, errTorn
	}
	length := binary.LittleEndian.Uint32(data[0:])
	body := data[headerBytes:]
	if crc32.Checksum(data[:8], castagnoli) != binary.LittleEndian.Uint32(data[8:]) || length > maxFrameBytes {
		if isZero(data[headerBytes-1:]) {
			return nil, nil, errTorn
		}
		return nil, nil, errCorrupt
	}
	if uint64(len(body)) < uint64(length)+endMarkBytes {
		return nil, nil, errTorn
	}
	payload, rest = body[:length], body[length+endMarkBytes:]
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(data[4:]) {
		return payload, rest, nil
	}
	if isZero(body[length:]) {
		return nil, nil, errTorn
	}
	return nil, nil, errCorrupt
}

func isZero(data []byte) bool {
	for _, one := range data {
		if one != 0 {
			return false
		}
	}
	return true
}
