package target

// Memory that records are charged with, in bytes.
const (
	// jobBytes includes the job's share of the map of jobs.
	jobBytes  = 180
	taskBytes = 90
)

// jobList is a list of jobs without live tasks, the one that rested first at the front.
type jobList struct {
	first, last *job
}

func (l *jobList) push(j *job) {
	j.list = l
	j.prev = l.last
	j.next = nil
	if l.last != nil {
		l.last.next = j
	} else {
		l.first = j
	}
	l.last = j
}

func (l *jobList) remove(j *job) {
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		l.first = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		l.last = j.prev
	}
	j.list = nil
	j.prev = nil
	j.next = nil
}

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

// charge adds to what the job costs.
func (t *Target) charge(j *job, bytes int) {
	j.bytes += int32(bytes)
	t.bytes += bytes
}

// rest puts a job whose last task has ended into the list by which it may be forgotten.
func (t *Target) rest(j *job) {
	if j.live > 0 {
		return
	}
	t.wake(j)
	j.rested = t.now
	t.listFor(j).push(j)
}

// wake takes a job out of the list.
func (t *Target) wake(j *job) {
	if j.list != nil {
		j.list.remove(j)
	}
}

// listFor returns the list for a job: what is cheap to lose is forgotten first.
func (t *Target) listFor(j *job) *jobList {
	switch {
	case j.repeatable:
		return &t.rested[restedRepeatable]
	case j.started():
		return &t.rested[restedStarted]
	default:
		return &t.rested[restedRefused]
	}
}

// Lists of jobs without live tasks, in the order in which memory is taken from them.
const (
	restedRepeatable = iota
	restedRefused
	restedStarted
	restedLists
)

// forget drops outcomes that are too old, and the oldest while memory is over its bound.
func (t *Target) forget() {
	for i := range t.rested {
		list := &t.rested[i]
		for list.first != nil && t.now-list.first.rested > t.options.OutcomeAge {
			t.forgetJob(list.first)
		}
		for list.first != nil && t.bytes > t.options.OutcomeBytes {
			t.forgetJob(list.first)
		}
	}
}

func (t *Target) forgetJob(j *job) {
	t.wake(j)
	t.bytes -= int(j.bytes)
	t.remembered -= len(j.tasks)
	for _, each := range j.tasks {
		t.setUntold(each, false)
	}
	delete(t.jobs, j.id)
	if j.repeatable {
		return
	}
	stone := tombstone{fence: j.fence, attempt: j.highestAttempt()}
	switch {
	case j.started() || j.lost:
		stone.fate = fateStarted
	case j.cancelled:
		stone.fate = fateCancelled
	}
	t.stones.add(j.id, stone, t.options.Tombstones)
}
