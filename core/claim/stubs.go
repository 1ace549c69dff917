package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// stubBytes estimates the memory of a stub in the queue and in the index.
const stubBytes = 112

// shortIDBytes is the size of a shortened job id or digest.
const shortIDBytes = 16

type shortID [shortIDBytes]byte

// stub is the record of a finished job whose answer is no longer kept.
type stub struct {
	Job       shortID
	Digest    shortID
	Epoch     uint64
	TouchedMS int64
}

// stubs is a queue of stubs in the order in which they were last touched, with an index by job.
type stubs struct {
	queue []stub
	// head is the position of the oldest stub in queue; base is the number of stubs dropped before queue[0].
	head  int
	base  uint64
	byJob map[shortID]uint64
}

func newStubs() stubs {
	return stubs{byJob: map[shortID]uint64{}}
}

func (s *stubs) len() int {
	return len(s.queue) - s.head
}

// oldest returns the least recently touched stub. The queue must not be empty.
func (s *stubs) oldest() stub {
	return s.queue[s.head]
}

func (s *stubs) find(job string) (stub, bool) {
	position, found := s.byJob[shortJob(job)]
	if !found {
		return stub{}, false
	}
	return s.queue[position-s.base], true
}

func (s *stubs) push(item stub) {
	s.byJob[item.Job] = s.base + uint64(len(s.queue))
	s.queue = append(s.queue, item)
}

// pop drops the oldest stub. The free space at the front is released once it is half of the queue.
func (s *stubs) pop() {
	delete(s.byJob, s.queue[s.head].Job)
	s.head++
	if 2*s.head < len(s.queue) {
		return
	}
	s.queue = append([]stub(nil), s.queue[s.head:]...)
	s.base += uint64(s.head)
	s.head = 0
}

// packedStubBytes is the size of a packed stub: job, digest, epoch and time, the numbers in big-endian order.
const packedStubBytes = 2*shortIDBytes + 8 + 8

// pack returns the stubs as bytes, oldest first.
func (s *stubs) pack() []byte {
	packed := make([]byte, 0, packedStubBytes*s.len())
	for _, item := range s.queue[s.head:] {
		packed = append(packed, item.Job[:]...)
		packed = append(packed, item.Digest[:]...)
		packed = binary.BigEndian.AppendUint64(packed, item.Epoch)
		packed = binary.BigEndian.AppendUint64(packed, uint64(item.TouchedMS))
	}
	return packed
}

// unpack fills an empty queue from the output of pack. An incomplete stub at the end is ignored.
func (s *stubs) unpack(packed []byte) {
	count := len(packed) / packedStubBytes
	s.queue = make([]stub, 0, count)
	s.byJob = make(map[shortID]uint64, count)
	for ; len(packed) >= packedStubBytes; packed = packed[packedStubBytes:] {
		numbers := packed[2*shortIDBytes:]
		s.push(stub{
			Job: shortID(packed[:shortIDBytes]), Digest: shortID(packed[shortIDBytes : 2*shortIDBytes]),
			Epoch:     binary.BigEndian.Uint64(numbers),
			TouchedMS: int64(binary.BigEndian.Uint64(numbers[8:])),
		})
	}
}

// shortJob decodes a job id of 32 hexadecimal digits to 16 bytes, and hashes any other id.
func shortJob(job string) shortID {
	var id shortID
	if len(job) == 2*shortIDBytes {
		if _, err := hex.Decode(id[:], []byte(job)); err == nil {
			return id
		}
	}
	return shortHash([]byte(job))
}

func shortHash(text []byte) shortID {
	sum := sha256.Sum256(text)
	return shortID(sum[:shortIDBytes])
}
