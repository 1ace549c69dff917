package target

import (
	"container/heap"
	"slices"
	"time"
)

// waitingJob is a job with queued tasks.
type waitingJob struct {
	job   *job
	tasks []*task
	// round counts the turns of the job; each turn starts one task.
	round uint64
	// arrival is the position of the job in the order of arrival.
	arrival   uint64
	heapIndex int
}

// queue holds the tasks that wait for slots. Jobs are served round robin, one task a turn; within a round the job with
// the earliest deadline goes first, then the one that arrived first.
type queue struct {
	jobs     waitingJobs
	tasks    int
	round    uint64
	arrivals uint64
}

// push appends a task to its job's queue.
func (q *queue) push(j *job, t *task) {
	q.tasks++
	if j.waiting != nil {
		j.waiting.tasks = append(j.waiting.tasks, t)
		return
	}
	q.arrivals++
	j.waiting = &waitingJob{job: j, tasks: []*task{t}, round: q.round, arrival: q.arrivals}
	heap.Push(&q.jobs, j.waiting)
}

// peek returns the next task, or nil.
func (q *queue) peek() *task {
	if len(q.jobs) == 0 {
		return nil
	}
	return q.jobs[0].tasks[0]
}

// pop removes the task that peek returned.
func (q *queue) pop() {
	first := q.jobs[0]
	q.tasks--
	q.round = first.round
	first.tasks[0] = nil
	first.tasks = first.tasks[1:]
	first.round++
	if len(first.tasks) == 0 {
		q.drop(first)
		return
	}
	heap.Fix(&q.jobs, first.heapIndex)
}

// removeEnded removes the tasks of the job that are no longer queued.
func (q *queue) removeEnded(j *job) {
	waiting := j.waiting
	if waiting == nil {
		return
	}
	before := len(waiting.tasks)
	waiting.tasks = slices.DeleteFunc(waiting.tasks, func(t *task) bool { return t.outcome != Queued })
	q.tasks -= before - len(waiting.tasks)
	if len(waiting.tasks) == 0 {
		q.drop(waiting)
		return
	}
	heap.Fix(&q.jobs, waiting.heapIndex)
}

// drop removes a job without queued tasks.
func (q *queue) drop(waiting *waitingJob) {
	heap.Remove(&q.jobs, waiting.heapIndex)
	waiting.job.waiting = nil
}

// list returns the jobs with queued tasks.
func (q *queue) list() []*job {
	jobs := make([]*job, 0, len(q.jobs))
	for _, waiting := range q.jobs {
		jobs = append(jobs, waiting.job)
	}
	return jobs
}

// waitingJobs implements heap.Interface.
type waitingJobs []*waitingJob

func (w waitingJobs) Len() int { return len(w) }

func (w waitingJobs) Less(a, b int) bool {
	left, right := w[a], w[b]
	if left.round != right.round {
		return left.round < right.round
	}
	if first, second := left.deadline(), right.deadline(); first != second {
		return first < second
	}
	return left.arrival < right.arrival
}

func (w waitingJobs) Swap(a, b int) {
	w[a], w[b] = w[b], w[a]
	w[a].heapIndex = a
	w[b].heapIndex = b
}

// Push implements heap.Interface.
func (w *waitingJobs) Push(value any) {
	waiting := value.(*waitingJob)
	waiting.heapIndex = len(*w)
	*w = append(*w, waiting)
}

// Pop implements heap.Interface.
func (w *waitingJobs) Pop() any {
	last := len(*w) - 1
	value := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	return value
}

// deadline returns the deadline of the next task, or 0 for a job without tasks that is about to be dropped.
func (w *waitingJob) deadline() time.Duration {
	if len(w.tasks) == 0 {
		return 0
	}
	return w.tasks[0].live.deadline
}
