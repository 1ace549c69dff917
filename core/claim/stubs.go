package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// stubSize estimates the memory of a stub in its queue and in the map, in bytes.
const stubSize = 112

// shortSize is the size of shortened job ids and digests, in bytes.
const shortSize = 16

type short [shortSize]byte

// stub is what remains of a finished job whose answer is no longer kept.
type stub struct {
	Job       short
	Digest    short
	Epoch     uint64
	TouchedMS int64
}

// stubs is a queue of stubs in the order of their last touch, with an index by job.
type stubs struct {
	queue []stub
	// head is the position of the oldest in queue; base the number of stubs dropped before queue[0].
	head  int
	base  uint64
	byJob map[short]uint64
}

func newStubs() stubs {
	return stubs{byJob: map[short]uint64{}}
}

func (s *stubs) len() int {
	return len(s.queue) - s.head
}

// oldest returns the stub that was touched first; there must be one.
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

func (s *stubs) push(one stub) {
	s.byJob[one.Job] = s.base + uint64(len(s.queue))
	s.queue = append(s.queue, one)
}

// pop drops the oldest. The space in front is taken back once it is half of the queue.
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

// packedStub is the size of a packed stub: job, digest, epoch and time, the numbers in big-endian order.
const packedStub = 2*shortSize + 8 + 8

// pack returns the stubs as bytes, oldest first.
func (s *stubs) pack() []byte {
	packed := make([]byte, 0, packedStub*s.len())
	for _, one := range s.queue[s.head:] {
		packed = append(packed, one.Job[:]...)
		packed = append(packed, one.Digest[:]...)
		packed = binary.BigEndian.AppendUint64(packed, one.Epoch)
		packed = binary.BigEndian.AppendUint64(packed, uint64(one.TouchedMS))
	}
	return packed
}

// unpack fills an empty queue from what pack returned. Bytes that make no whole stub are ignored.
func (s *stubs) unpack(packed []byte) {
	count := len(packed) / packedStub
	s.queue = make([]stub, 0, count)
	s.byJob = make(map[short]uint64, count)
	for ; len(packed) >= packedStub; packed = packed[packedStub:] {
		numbers := packed[2*shortSize:]
		s.push(stub{
			Job: short(packed[:shortSize]), Digest: short(packed[shortSize : 2*shortSize]),
			Epoch:     binary.BigEndian.Uint64(numbers),
			TouchedMS: int64(binary.BigEndian.Uint64(numbers[8:])),
		})
	}
}

// shortJob returns the 16 bytes that a job id of 32 hexadecimal digits stands for, and a hash of any other id.
func shortJob(job string) short {
	var id short
	if len(job) == 2*shortSize {
		if _, err := hex.Decode(id[:], []byte(job)); err == nil {
			return id
		}
	}
	return shortHash([]byte(job))
}

func shortHash(text []byte) short {
	sum := sha256.Sum256(text)
	return short(sum[:shortSize])
}
