package target

import "bytes"

// Memory that records are charged with, in bytes.
const (
	// jobBytes and taskBytes are those of unpacked records.
	jobBytes  = 180
	taskBytes = 90
	// placeBytes is a packed job's share of the map of packed jobs.
	placeBytes = 40
	// Blocks of an archive have this share of the bound, and these sizes at the least and at the most.
	blockShare    = 64
	minBlockBytes = 64
	maxBlockBytes = 64 << 10
)

// fate is what a tombstone knows of a job's starts.
type fate uint8

const (
	// fateOpen means that nothing was started.
	fateOpen fate = iota
	// fateCancelled means that nothing was started and nothing will be.
	fateCancelled
	// fateStarted means that some task may have reached the target.
	fateStarted
)

// tombstone is what stays of a forgotten never-repeated job.
type tombstone struct {
	fence   uint64
	attempt uint32
	// slot is its place in the ring.
	slot int32
	fate fate
}

// tombstones is bounded: the oldest is dropped for a new one.
type tombstones struct {
	byJob map[JobID]tombstone
	ring  []JobID
	next  int
	// dropped counts the jobs of which nothing is left. Epochs are ordered over all jobs; floor is the highest one of
	// a job that was dropped.
	dropped uint64
	floor   uint64
}

func (s *tombstones) add(id JobID, mark tombstone, limit int) {
	if s.byJob == nil {
		s.byJob = map[JobID]tombstone{}
	}
	if len(s.ring) < limit {
		mark.slot = int32(len(s.ring))
		s.ring = append(s.ring, id)
		s.byJob[id] = mark
		return
	}
	mark.slot = int32(s.next)
	oldest := s.ring[s.next]
	// A job that came back to life left its slot behind; its newer tombstone stays.
	if old, present := s.byJob[oldest]; present && old.slot == mark.slot {
		delete(s.byJob, oldest)
		s.dropped++
		s.floor = max(s.floor, old.fence, 1)
	}
	s.ring[s.next] = id
	s.next = (s.next + 1) % limit
	s.byJob[id] = mark
}

// remove takes away the tombstone of a job that comes back to life.
func (s *tombstones) remove(id JobID) {
	delete(s.byJob, id)
}

// charge adds to what the unpacked job costs.
func (t *Target) charge(j *job, bytes int) {
	j.bytes += int32(bytes)
	t.unpacked += bytes
}

// bytes is the memory that is charged, in bytes.
func (t *Target) bytes() int {
	bytes := t.unpacked + placeBytes*len(t.packed)
	for i := range t.archives {
		bytes += t.archives[i].bytes
	}
	return bytes
}

// find returns the record of a job, unpacked, or nil. A packed copy stays until the job rests again.
func (t *Target) find(id JobID) *job {
	if j := t.jobs[id]; j != nil {
		return j
	}
	at, packed := t.packed[id]
	if !packed {
		return nil
	}
	j := unpack(t.archives[at.list].read(at))
	t.jobs[id] = j
	bytes := jobBytes
	for _, each := range j.tasks {
		bytes += taskBytes + len(each.reason) + len(each.result)
	}
	t.charge(j, bytes)
	return j
}

// packLater notes that a job may have no live tasks; it is packed at the end of the step.
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

// packJob moves a job to its archive, unless the copy that lies in one is the same.
func (t *Target) packJob(j *job) {
	t.charge(j, -int(j.bytes))
	delete(t.jobs, j.id)
	t.scratch = j.pack(t.scratch[:0], t.now)
	list := j.list()
	if at, packed := t.packed[j.id]; packed && at.list == list &&
		bytes.Equal(t.archives[list].read(at)[fixedBytes:], t.scratch[fixedBytes:]) {
		return
	}
	at := t.archives[list].add(t.scratch)
	at.list = list
	t.packed[j.id] = at
}

// Archives, in the order in which memory is taken from them: what is cheap to lose goes first.
const (
	listRepeatable = iota
	listRefused
	listStarted
	lists
)

// list returns the archive for the job.
func (j *job) list() uint8 {
	switch {
	case j.repeatable:
		return listRepeatable
	case j.started():
		return listStarted
	default:
		return listRefused
	}
}

// forget drops outcomes that are too old, and the oldest while memory is over its bound.
func (t *Target) forget() {
	for list := range t.archives {
		for t.forgetOldest(uint8(list)) {
		}
	}
}

// forgetOldest drops the oldest record of an archive if it has to go.
func (t *Target) forgetOldest(list uint8) bool {
	record, at := t.archives[list].oldest()
	if record == nil {
		return false
	}
	head, _ := (&reader{record}).header()
	if t.now-head.packedAt <= t.options.OutcomeAge && t.bytes() <= t.options.OutcomeBytes {
		return false
	}
	t.archives[list].drop()
	at.list = list
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

// tombstone is what stays of the job.
func (j *job) tombstone() tombstone {
	mark := tombstone{fence: j.fence, attempt: j.highestAttempt()}
	switch {
	case j.started() || j.lost:
		mark.fate = fateStarted
	case j.cancelled:
		mark.fate = fateCancelled
	}
	return mark
}
