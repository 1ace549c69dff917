package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/go-faster/errors"
)

// A frame consists of a header, a payload and an end mark. The header holds, in little endian, the payload's length,
// the payload's checksum and a checksum of these two fields, 4 bytes each. The header's own checksum makes the length
// reliable, which distinguishes a file that ends too early from one whose bytes have changed. The end mark is not zero,
// which distinguishes a frame that was written from blocks that never were.
const (
	headerBytes   = 12
	endMark       = 0xA5
	endMarkBytes  = 1
	maxFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// errTorn means that the data ends within the frame, or that the rest of the frame was never written.
	errTorn = errors.New("torn frame")
	// errCorrupt means that bytes have changed since they were written.
	errCorrupt = errors.New("corrupt frame")
)

// appendFrame appends a frame with the payload.
func appendFrame(to, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	to = append(to, header[:]...)
	to = append(to, payload...)
	return append(to, endMark)
}

// nextFrame returns the payload of the first frame and the data after the frame. Errors: errTorn, errCorrupt.
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
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
