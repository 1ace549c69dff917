package target

import "bytes"

// Accounted memory of records, in bytes.
const (
	// jobBytes and taskBytes are the sizes of unpacked records.
	jobBytes  = 180
	taskBytes = 90
	// placeBytes is the size of a packed job's entry in the map of packed jobs.
	placeBytes = 40
	// A block of an archive takes 1/blockShare of OutcomeBytes, but at least minBlockBytes and at most maxBlockBytes.
	blockShare    = 64
	minBlockBytes = 64
	maxBlockBytes = 64 << 10
)

// startState is what a tombstone records about the starts of a job.
type startState uint8

const (
	// neverStarted means that no task was started.
	neverStarted startState = iota
	// cancelledUnstarted means that no task was started and none will be.
	cancelledUnstarted
	// mayHaveStarted means that some task may have reached the target.
	mayHaveStarted
)

// tombstone is what remains of an evicted never-repeated job.
type tombstone struct {
	fence   uint64
	attempt uint32
	// slot is its index in the ring.
	slot       int32
	startState startState
}

// tombstones is a bounded set: a new tombstone replaces the oldest.
type tombstones struct {
	byJob map[JobID]tombstone
	ring  []JobID
	next  int
	// dropped counts the tombstones that were replaced. Epochs are ordered over all jobs; maxDroppedEpoch is the
	// highest epoch of a dropped tombstone.
	dropped         uint64
	maxDroppedEpoch uint64
}

func (s *tombstones) add(id JobID, tomb tombstone, limit int) {
	if s.byJob == nil {
		s.byJob = map[JobID]tombstone{}
	}
	if len(s.ring) < limit {
		tomb.slot = int32(len(s.ring))
		s.ring = append(s.ring, id)
		s.byJob[id] = tomb
		return
	}
	tomb.slot = int32(s.next)
	oldest := s.ring[s.next]
	// A job that was reopened has left its old slot in the ring; its newer tombstone stays.
	if old, present := s.byJob[oldest]; present && old.slot == tomb.slot {
		delete(s.byJob, oldest)
		s.dropped++
		s.maxDroppedEpoch = max(s.maxDroppedEpoch, old.fence, 1)
	}
	s.ring[s.next] = id
	s.next = (s.next + 1) % limit
	s.byJob[id] = tomb
}

// remove deletes the tombstone of a job that is reopened.
func (s *tombstones) remove(id JobID) {
	delete(s.byJob, id)
}

// charge adds to the accounted memory of an unpacked job.
func (t *Target) charge(j *job, bytes int) {
	j.bytes += int32(bytes)
	t.unpacked += bytes
}

// bytes returns the accounted memory in bytes.
func (t *Target) bytes() int {
	bytes := t.unpacked + placeBytes*len(t.packed)
	for i := range t.archives {
		bytes += t.archives[i].bytes
	}
	return bytes
}

// find returns the unpacked record of a job, or nil. A packed copy stays until the job is packed again.
func (t *Target) find(id JobID) *job {
	if j := t.jobs[id]; j != nil {
		return j
	}
	at, packed := t.packed[id]
	if !packed {
		return nil
	}
	j := unpack(t.archives[at.archiveIndex].read(at))
	t.jobs[id] = j
	bytes := jobBytes
	for _, tk := range j.tasks {
		bytes += taskBytes + len(tk.reason) + len(tk.result)
	}
	t.charge(j, bytes)
	return j
}

// packLater schedules a job without live tasks for packing at the end of the step.
func (t *Target) packLater(j *job) {
	if j.live == 0 {
		t.idle = append(t.idle, j)
	}
}

// packIdle packs the jobs without live tasks.
func (t *Target) packIdle() {
	for _, j := range t.idle {
		if j.live == 0 && t.jobs[j.id] == j {
			t.packJob(j)
		}
	}
	clear(t.idle)
	t.idle = t.idle[:0]
}

// packJob moves a job to its archive, unless an identical copy is already there.
func (t *Target) packJob(j *job) {
	t.charge(j, -int(j.bytes))
	delete(t.jobs, j.id)
	t.scratch = j.pack(t.scratch[:0], t.now)
	archiveIndex := j.archiveIndex()
	if at, packed := t.packed[j.id]; packed && at.archiveIndex == archiveIndex &&
		bytes.Equal(t.archives[archiveIndex].read(at)[prefixBytes:], t.scratch[prefixBytes:]) {
		return
	}
	at := t.archives[archiveIndex].add(t.scratch)
	at.archiveIndex = archiveIndex
	t.packed[j.id] = at
}

// Archives, in the order of eviction: the records that are cheapest to lose go first.
const (
	archiveRepeatable = iota
	archiveRefused
	archiveStarted
	archiveCount
)

// archiveIndex returns the archive that the job belongs to.
func (j *job) archiveIndex() uint8 {
	switch {
	case j.repeatable:
		return archiveRepeatable
	case j.started():
		return archiveStarted
	default:
		return archiveRefused
	}
}

// forget evicts outcomes that are too old, and the oldest ones while the memory is over its limit.
func (t *Target) forget() {
	for archiveIndex := range t.archives {
		for t.forgetOldest(uint8(archiveIndex)) {
		}
	}
}

// forgetOldest evicts the oldest record of an archive if a limit requires it, and reports whether it did.
func (t *Target) forgetOldest(archiveIndex uint8) bool {
	record, at := t.archives[archiveIndex].oldest()
	if record == nil {
		return false
	}
	head, _ := (&reader{record}).header()
	if t.now-head.packedAt <= t.options.OutcomeAge && t.bytes() <= t.options.OutcomeBytes {
		return false
	}
	t.archives[archiveIndex].drop()
	at.archiveIndex = archiveIndex
	if t.packed[head.id] != at {
		return true
	}
	delete(t.packed, head.id)
	if t.jobs[head.id] == nil {
		t.forgetJob(head)
	}
	return true
}

func (t *Target) forgetJob(head header) {
	t.remembered -= head.tasks
	t.undelivered -= head.undelivered
	if !head.repeatable {
		t.tombstones.add(head.id, head.tombstone, t.options.Tombstones)
	}
}

// tombstone returns the tombstone of the job.
func (j *job) tombstone() tombstone {
	tomb := tombstone{fence: j.fence, attempt: j.highestAttempt()}
	switch {
	case j.started() || j.lost:
		tomb.startState = mayHaveStarted
	case j.cancelled:
		tomb.startState = cancelledUnstarted
	}
	return tomb
}
