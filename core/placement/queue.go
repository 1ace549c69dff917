package placement

import (
	"container/heap"
	"time"

	"flamingohall.example/core/job"
)

// Waiting is a job with tasks that wait for a target.
type Waiting struct {
	Job   *job.Job
	Owner string
	// Weight is the owner's share.
	Weight int
	// Cost is the expected slot time of one task.
	Cost time.Duration
	// Arrived is when the job arrived, Slots the number of slots in its pool.
	Arrived time.Time
	Slots   int
	// order numbers the jobs by arrival and breaks ties.
	order uint64
	// position is the job's position in its owner's heap, from 1; 0 if it is not queued.
	position int
	// byArrival orders by arrival only, as a baseline for comparisons.
	byArrival bool
}

// remaining returns the expected slot time of the waiting tasks.
func (w *Waiting) remaining() time.Duration {
	return time.Duration(w.Job.Waiting()) * w.Cost
}

// maxOvertaking limits how long shorter jobs that arrive later may overtake a job, as a multiple of its own remaining
// work. Without a limit, ordering by remaining work starves long jobs while short ones keep arriving.
const maxOvertaking = 3

// due returns the time by which the job is ordered among its owner's jobs: the shortest remaining job first, but no job
// waits for more than maxOvertaking times its own remaining work.
func (w *Waiting) due() time.Time {
	return w.Arrived.Add(maxOvertaking * w.remaining() / time.Duration(max(1, w.Slots)))
}

// Queue holds the waiting jobs of one pool.
type Queue struct {
	owners map[string]*ownerQueue
	// virtual is the virtual time of the queue: the service time divided by weight of the owner served last. Owners that
	// return start from it.
	virtual float64
	orders  uint64
	// byArrival orders by arrival only, as a baseline for comparisons.
	byArrival bool
}

type ownerQueue struct {
	name    string
	virtual float64
	jobs    jobHeap
}

// NewQueue returns an empty queue. With byArrival, jobs are ordered by arrival only, as a baseline for comparisons.
func NewQueue(byArrival bool) *Queue {
	return &Queue{owners: map[string]*ownerQueue{}, byArrival: byArrival}
}

// Push adds a job. A job that is already queued is only reordered.
func (q *Queue) Push(w *Waiting) {
	if w.position > 0 {
		heap.Fix(&q.owner(w.Owner).jobs, w.position-1)
		return
	}
	q.orders++
	if w.order == 0 {
		w.order = q.orders
	}
	w.byArrival = q.byArrival
	owner := q.owner(w.Owner)
	if len(owner.jobs) == 0 {
		owner.virtual = max(owner.virtual, q.virtual)
	}
	heap.Push(&owner.jobs, w)
}

// Remove removes a job.
func (q *Queue) Remove(w *Waiting) {
	if w.position > 0 {
		heap.Remove(&q.owner(w.Owner).jobs, w.position-1)
	}
}

// Next returns the job whose task is placed next, or nil. Owners for which isBlocked returns true are skipped.
func (q *Queue) Next(isBlocked func(owner string) bool) *Waiting {
	var best *ownerQueue
	for _, owner := range q.owners {
		if len(owner.jobs) == 0 || isBlocked(owner.name) {
			continue
		}
		if best == nil || q.isBefore(owner, best) {
			best = owner
		}
	}
	if best == nil {
		return nil
	}
	return best.jobs[0]
}

func (q *Queue) isBefore(o, other *ownerQueue) bool {
	if q.byArrival {
		return o.jobs[0].order < other.jobs[0].order
	}
	if o.virtual != other.virtual {
		return o.virtual < other.virtual
	}
	return o.name < other.name
}

// Served charges the owner for one task of the job, and removes the job when none of its tasks waits.
func (q *Queue) Served(w *Waiting) {
	owner := q.owner(w.Owner)
	q.virtual = max(q.virtual, owner.virtual)
	owner.virtual += w.Cost.Seconds() / float64(max(1, w.Weight))
	if w.position == 0 {
		return
	}
	if w.Job.Waiting() == 0 {
		heap.Remove(&owner.jobs, w.position-1)
		return
	}
	heap.Fix(&owner.jobs, w.position-1)
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int {
	count := 0
	for _, owner := range q.owners {
		count += len(owner.jobs)
	}
	return count
}

// Each calls visit with every waiting job.
func (q *Queue) Each(visit func(w *Waiting)) {
	for _, owner := range q.owners {
		for _, w := range owner.jobs {
			visit(w)
		}
	}
}

func (q *Queue) owner(name string) *ownerQueue {
	owner := q.owners[name]
	if owner == nil {
		owner = &ownerQueue{name: name}
		q.owners[name] = owner
	}
	return owner
}

// jobHeap orders by due, then by arrival.
type jobHeap []*Waiting

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(i, k int) bool {
	if a, b := h[i].due(), h[k].due(); !a.Equal(b) && !h[i].byArrival {
		return a.Before(b)
	}
	return h[i].order < h[k].order
}

func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].position = i + 1
	h[k].position = k + 1
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	w, _ := x.(*Waiting)
	*h = append(*h, w)
	w.position = len(*h)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	last.position = 0
	return last
}

// Ahead returns the expected slot time that is served before a new job of the given owner and size has all its tasks
// placed: the owner's jobs that are not longer, and what the fair share gives to the other owners meanwhile.
func (q *Queue) Ahead(owner string, weight int, work time.Duration) time.Duration {
	var own, others time.Duration
	otherWeights := 0
	for name, o := range q.owners {
		if len(o.jobs) == 0 {
			continue
		}
		if name != owner {
			otherWeights += max(1, o.jobs[0].Weight)
		}
		for _, w := range o.jobs {
			remaining := w.remaining()
			switch {
			case name != owner:
				others += remaining
			case remaining <= work:
				own += remaining
			}
		}
	}
	share := float64(own+work) * float64(otherWeights) / float64(max(1, weight))
	return own + min(others, time.Duration(share))
}

// Tasks returns the number of waiting tasks: of one owner, and of all.
func (q *Queue) Tasks(owner string) (own, all int) {
	for name, o := range q.owners {
		count := 0
		for _, w := range o.jobs {
			count += w.Job.Waiting()
		}
		all += count
		if name == owner {
			own = count
		}
	}
	return own, all
}
