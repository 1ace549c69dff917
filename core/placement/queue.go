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
	// order breaks ties by arrival.
	order uint64
	place int
}

// remaining returns the expected slot time of the tasks that wait.
func (w *Waiting) remaining() time.Duration {
	return time.Duration(w.Job.Waiting()) * w.Cost
}

// Queue holds the waiting jobs of one pool.
type Queue struct {
	owners map[string]*ownerQueue
	// virtual is the service time, divided by weight, of the owner served last: owners that come back start there.
	virtual float64
	orders  uint64
}

type ownerQueue struct {
	name    string
	virtual float64
	jobs    jobHeap
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{owners: map[string]*ownerQueue{}}
}

// Push adds a job; one that is queued already keeps its place.
func (q *Queue) Push(w *Waiting) {
	if w.place > 0 {
		heap.Fix(&q.owner(w.Owner).jobs, w.place-1)
		return
	}
	q.orders++
	if w.order == 0 {
		w.order = q.orders
	}
	owner := q.owner(w.Owner)
	if len(owner.jobs) == 0 {
		owner.virtual = max(owner.virtual, q.virtual)
	}
	heap.Push(&owner.jobs, w)
}

// Remove takes a job out.
func (q *Queue) Remove(w *Waiting) {
	if w.place > 0 {
		heap.Remove(&q.owner(w.Owner).jobs, w.place-1)
	}
}

// Next returns the job whose task is placed next, or nil. Owners that isBlocked names are passed over.
func (q *Queue) Next(isBlocked func(owner string) bool) *Waiting {
	var best *ownerQueue
	for _, owner := range q.owners {
		if len(owner.jobs) == 0 || isBlocked(owner.name) {
			continue
		}
		if best == nil || owner.isBefore(best) {
			best = owner
		}
	}
	if best == nil {
		return nil
	}
	return best.jobs[0]
}

func (o *ownerQueue) isBefore(other *ownerQueue) bool {
	if o.virtual != other.virtual {
		return o.virtual < other.virtual
	}
	return o.name < other.name
}

// Served charges the owner for one task of the job, and drops the job when none of its tasks waits.
func (q *Queue) Served(w *Waiting) {
	owner := q.owner(w.Owner)
	q.virtual = max(q.virtual, owner.virtual)
	owner.virtual += w.Cost.Seconds() / float64(max(1, w.Weight))
	if w.place == 0 {
		return
	}
	if w.Job.Waiting() == 0 {
		heap.Remove(&owner.jobs, w.place-1)
		return
	}
	heap.Fix(&owner.jobs, w.place-1)
}

// Work returns the expected slot time that waits: of one owner, and of all.
func (q *Queue) Work(owner string) (own, all time.Duration) {
	for name, o := range q.owners {
		sum := time.Duration(0)
		for _, w := range o.jobs {
			sum += w.remaining()
		}
		all += sum
		if name == owner {
			own = sum
		}
	}
	return own, all
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

// jobHeap orders by the shortest remaining work, then by arrival.
type jobHeap []*Waiting

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(i, k int) bool {
	if a, b := h[i].remaining(), h[k].remaining(); a != b {
		return a < b
	}
	return h[i].order < h[k].order
}

func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].place = i + 1
	h[k].place = k + 1
}

// Push is for container/heap.
func (h *jobHeap) Push(x any) {
	w, _ := x.(*Waiting)
	*h = append(*h, w)
	w.place = len(*h)
}

// Pop is for container/heap.
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	last.place = 0
	return last
}
