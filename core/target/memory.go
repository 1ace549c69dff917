package target

import "bytes"

// Memory that records are charged with, in bytes.
const (
	// jobBytes and taskBytes are those of unpacked records.
	jobBytes  = 180
	taskBytes = 90
	// spotBytes is a packed job's share of the map of spots.
	spotBytes = 40
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
	stones map[JobID]tombstone
	ring   []JobID
	next   int
	// dropped counts the jobs of which nothing is left. Epochs are ordered over all jobs; floor is the highest one of
	// a job that was dropped.
	dropped uint64
	floor   uint64
}

func (s *tombstones) add(id JobID, stone tombstone, limit int) {
	if s.stones == nil {
		s.stones = map[JobID]tombstone{}
	}
	if len(s.ring) < limit {
		stone.slot = int32(len(s.ring))
		s.ring = append(s.ring, id)
		s.stones[id] = stone
		return
	}
	stone.slot = int32(s.next)
	oldest := s.ring[s.next]
	// A job that came back to life left its slot behind; its newer tombstone stays.
	if old, present := s.stones[oldest]; present && old.slot == stone.slot {
		delete(s.stones, oldest)
		s.dropped++
		s.floor = max(s.floor, old.fence, 1)
	}
	s.ring[s.next] = id
	s.next = (s.next + 1) % limit
	s.stones[id] = stone
}

// remove takes away the tombstone of a job that comes back to life.
func (s *tombstones) remove(id JobID) {
	delete(s.stones, id)
}

// charge adds to what the unpacked job costs.
func (t *Target) charge(j *job, bytes int) {
	j.bytes += int32(bytes)
	t.unpacked += bytes
}

// bytes is the memory that is charged, in bytes.
func (t *Target) bytes() int {
	bytes := t.unpacked + spotBytes*len(t.spots)
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
	at, packed := t.spots[id]
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

// rest notes that a job may have no live tasks; it is packed at the end of the step.
func (t *Target) rest(j *job) {
	if j.live == 0 {
		t.resting = append(t.resting, j)
	}
}

// packResting packs the jobs without live tasks.
func (t *Target) packResting() {
	for _, j := range t.resting {
		if j.live == 0 && t.jobs[j.id] == j {
			t.packJob(j)
		}
	}
	clear(t.resting)
	t.resting = t.resting[:0]
}

// packJob moves a job to its archive, unless the copy that lies in one is the same.
func (t *Target) packJob(j *job) {
	t.charge(j, -int(j.bytes))
	delete(t.jobs, j.id)
	t.scratch = j.pack(t.scratch[:0], t.now)
	list := j.list()
	if at, packed := t.spots[j.id]; packed && at.list == list &&
		bytes.Equal(t.archives[list].read(at)[fixedBytes:], t.scratch[fixedBytes:]) {
		return
	}
	at := t.archives[list].add(t.scratch)
	at.list = list
	t.spots[j.id] = at
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
	if t.now-head.rested <= t.options.OutcomeAge && t.bytes() <= t.options.OutcomeBytes {
		return false
	}
	t.archives[list].drop()
	at.list = list
	if t.spots[head.id] != at {
		return true
	}
	delete(t.spots, head.id)
	if t.jobs[head.id] == nil {
		t.forgetJob(head)
	}
	return true
}

func (t *Target) forgetJob(head header) {
	t.remembered -= head.tasks
	t.untold -= head.untold
	if !head.repeatable {
		t.stones.add(head.id, head.stone, t.options.Tombstones)
	}
}

// tombstone is what stays of the job.
func (j *job) tombstone() tombstone {
	stone := tombstone{fence: j.fence, attempt: j.highestAttempt()}
	switch {
	case j.started() || j.lost:
		stone.fate = fateStarted
	case j.cancelled:
		stone.fate = fateCancelled
	}
	return stone
}
