package target

import (
	"encoding/binary"
	"time"
)

// header is the part of a packed job that is read when it is forgotten.
type header struct {
	id     JobID
	rested time.Duration
	stone  tombstone
	// tasks and untold count.
	tasks, untold int
	repeatable    bool
}

// fixedBytes is the part of a record that is not compared: job id and time.
const fixedBytes = 16 + 8

// Flags of a packed job and of a packed task.
const (
	flagRepeatable = 1 << iota
	flagCancelled
	flagLost
	flagStarted
	flagSealed
	flagUntold
)

// pack appends the record of a job without live tasks.
func (j *job) pack(record []byte, now time.Duration) []byte {
	record = append(record, j.id[:]...)
	record = binary.LittleEndian.AppendUint64(record, uint64(now))
	untold := 0
	for _, each := range j.tasks {
		if each.untold {
			untold++
		}
	}
	stone := j.tombstone()
	record = append(record, bit(j.repeatable, flagRepeatable)|bit(j.cancelled, flagCancelled)|bit(j.lost, flagLost),
		byte(stone.fate))
	for _, number := range []uint64{
		j.fence, uint64(stone.attempt), uint64(len(j.tasks)), uint64(untold), uint64(j.fenceAttempt), j.floor,
	} {
		record = binary.AppendUvarint(record, number)
	}
	for _, each := range j.tasks {
		record = each.pack(record)
	}
	return record
}

func (t *task) pack(record []byte) []byte {
	record = append(record, byte(t.outcome), byte(t.cause),
		bit(t.started, flagStarted)|bit(t.sealed, flagSealed)|bit(t.untold, flagUntold))
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

// reader takes a record apart. A record that is cut short is a defect of this package and panics.
type reader struct {
	rest []byte
}

func (r *reader) byte() byte {
	first := r.rest[0]
	r.rest = r.rest[1:]
	return first
}

func (r *reader) number() uint64 {
	number, size := binary.Uvarint(r.rest)
	r.rest = r.rest[size:]
	return number
}

// text returns bytes that stay part of the record.
func (r *reader) text() []byte {
	length := int(r.number())
	if length == 0 {
		return nil
	}
	text := r.rest[:length:length]
	r.rest = r.rest[length:]
	return text
}

// header reads the first part of a record and the job's flags.
func (r *reader) header() (header, byte) {
	head := header{id: JobID(r.rest[:16]), rested: time.Duration(binary.LittleEndian.Uint64(r.rest[16:]))}
	r.rest = r.rest[fixedBytes:]
	flags := r.byte()
	head.repeatable = flags&flagRepeatable != 0
	head.stone.fate = fate(r.byte())
	head.stone.fence = r.number()
	head.stone.attempt = uint32(r.number())
	head.tasks = int(r.number())
	head.untold = int(r.number())
	return head, flags
}

// unpack returns the job of a record. Its results stay part of the record.
func unpack(record []byte) *job {
	r := &reader{record}
	head, flags := r.header()
	j := &job{
		id: head.id, fence: head.stone.fence, repeatable: head.repeatable,
		cancelled: flags&flagCancelled != 0, lost: flags&flagLost != 0,
		fenceAttempt: uint32(r.number()), floor: r.number(), tasks: make([]*task, 0, head.tasks),
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
	t.untold = flags&flagUntold != 0
	t.index = uint32(r.number())
	t.attempt = uint32(r.number())
	t.queueUS = uint32(r.number())
	t.runUS = uint32(r.number())
	t.reason = string(r.text())
	t.result = r.text()
	return t
}
