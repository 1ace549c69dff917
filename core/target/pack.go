package target

import (
	"encoding/binary"
	"time"
)

// header is the part of a packed job that is needed to evict it.
type header struct {
	id        JobID
	packedAt  time.Duration
	tombstone tombstone
	// tasks counts the tasks, undelivered those whose outcome no answer has carried yet.
	tasks, undelivered int
	repeatable         bool
}

// prefixBytes is the size of the job id and the time, which comparisons of records leave out.
const prefixBytes = 16 + 8

// Flags of a packed job and of a packed task.
const (
	flagRepeatable = 1 << iota
	flagCancelled
	flagLost
	flagStarted
	flagSealed
	flagUndelivered
)

// pack appends the record of a job without live tasks.
func (j *job) pack(record []byte, now time.Duration) []byte {
	record = append(record, j.id[:]...)
	record = binary.LittleEndian.AppendUint64(record, uint64(now))
	undelivered := 0
	for _, tk := range j.tasks {
		if tk.undelivered {
			undelivered++
		}
	}
	tomb := j.tombstone()
	record = append(record, bit(j.repeatable, flagRepeatable)|bit(j.cancelled, flagCancelled)|bit(j.lost, flagLost),
		byte(tomb.startState))
	for _, number := range []uint64{
		j.fence, uint64(tomb.attempt), uint64(len(j.tasks)), uint64(undelivered), uint64(j.fenceAttempt), j.maxDroppedEpoch,
	} {
		record = binary.AppendUvarint(record, number)
	}
	for _, tk := range j.tasks {
		record = tk.pack(record)
	}
	return record
}

func (t *task) pack(record []byte) []byte {
	record = append(record, byte(t.outcome), byte(t.cause),
		bit(t.started, flagStarted)|bit(t.sealed, flagSealed)|bit(t.undelivered, flagUndelivered))
	for _, number := range []uint32{t.index, t.attempt, t.queueUS, t.runUS} {
		record = binary.AppendUvarint(record, uint64(number))
	}
	record = appendText(record, t.reason)
	return appendText(record, t.result)
}

func appendText[T string | []byte](record []byte, text T) []byte {
	record = binary.AppendUvarint(record, uint64(len(text)))
	return append(record, text...)
}

func bit(set bool, mask byte) byte {
	if set {
		return mask
	}
	return 0
}

// reader decodes a record. It panics on a truncated record, which would be a defect of this package.
type reader struct {
	remaining []byte
}

func (r *reader) byte() byte {
	first := r.remaining[0]
	r.remaining = r.remaining[1:]
	return first
}

func (r *reader) number() uint64 {
	number, size := binary.Uvarint(r.remaining)
	r.remaining = r.remaining[size:]
	return number
}

// text returns a length-prefixed byte string, which aliases the record.
func (r *reader) text() []byte {
	length := int(r.number())
	if length == 0 {
		return nil
	}
	text := r.remaining[:length:length]
	r.remaining = r.remaining[length:]
	return text
}

// header decodes the first part of a record and the flags of the job.
func (r *reader) header() (header, byte) {
	head := header{id: JobID(r.remaining[:16]), packedAt: time.Duration(binary.LittleEndian.Uint64(r.remaining[16:]))}
	r.remaining = r.remaining[prefixBytes:]
	flags := r.byte()
	head.repeatable = flags&flagRepeatable != 0
	head.tombstone.startState = startState(r.byte())
	head.tombstone.fence = r.number()
	head.tombstone.attempt = uint32(r.number())
	head.tasks = int(r.number())
	head.undelivered = int(r.number())
	return head, flags
}

// unpack decodes a job. Its results alias the record.
func unpack(record []byte) *job {
	r := &reader{record}
	head, flags := r.header()
	j := &job{
		id: head.id, fence: head.tombstone.fence, repeatable: head.repeatable,
		cancelled: flags&flagCancelled != 0, lost: flags&flagLost != 0,
		fenceAttempt: uint32(r.number()), maxDroppedEpoch: r.number(), tasks: make([]*task, 0, head.tasks),
	}
	for range head.tasks {
		j.tasks = append(j.tasks, unpackTask(r))
	}
	return j
}

func unpackTask(r *reader) *task {
	t := &task{outcome: Outcome(r.byte()), cause: Cause(r.byte())}
	flags := r.byte()
	t.started = flags&flagStarted != 0
	t.sealed = flags&flagSealed != 0
	t.undelivered = flags&flagUndelivered != 0
	t.index = uint32(r.number())
	t.attempt = uint32(r.number())
	t.queueUS = uint32(r.number())
	t.runUS = uint32(r.number())
	t.reason = string(r.text())
	t.result = r.text()
	return t
}
