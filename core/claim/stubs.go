package claim

import (
	"crypto/sha256"
	"encoding/hex"
)

// stubSize estimates the memory of a stub in its queue and in the map, in bytes.
const stubSize = 112

// shortSize is the size of shortened job ids and digests, in bytes.
const shortSize = 16

type short [shortSize]byte

// stub is what remains of a finished job whose answer is no longer kept.
type stub struct {
	Job       short  `cbor:"job"`
	Digest    short  `cbor:"sum"`
	Epoch     uint64 `cbor:"epoch"`
	TouchedMS int64  `cbor:"at"`
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
