// Package bound plans recorded jobs with everything known: the times at which they arrive, the run times of their tasks, and when
// each worker is up. The result says what a dispatcher without messages, estimates and other entries would have served in time.
// It is a reference and not a strict bound: jobs are planned in the order of their arrival, each as soon as possible, and one
// that can't end in time is left out.
package bound

import (
	"cmp"
	"slices"
	"time"
)

// Worker is a worker of the recorded period.
type Worker struct {
	ID         string
	MilliCores int64
	// Speed is the ratio of recorded run times at speed 1 to those on this worker.
	Speed float64
	// Up are the periods in which the worker took tasks, in order and without overlaps.
	Up []Period
}

// Period is the time from From until before Until.
type Period struct {
	From, Until time.Duration
}

// Job is a recorded job of Count tasks that are alike and may run at the same time.
type Job struct {
	ID string
	// Arrived is when the job arrived, EndBy when it had to end to be in time.
	Arrived, EndBy time.Duration
	Task           Task
	Count          int
}

// Task is one task of a job.
type Task struct {
	MilliCores int64
	// RunTime is that of the task at speed 1.
	RunTime time.Duration
}

// Result says which jobs the plan serves in time.
type Result struct {
	// InTime holds the IDs of these jobs.
	InTime map[string]bool
}

// Plan plans the jobs on the workers.
func Plan(workers []Worker, jobs []Job) Result {
	calendars := make([]calendar, len(workers))
	for i := range workers {
		calendars[i] = calendar{worker: &workers[i]}
	}
	byArrival := slices.SortedStableFunc(slices.Values(jobs), func(a, b Job) int { return cmp.Compare(a.Arrived, b.Arrived) })
	result := Result{InTime: map[string]bool{}}
	for i := range byArrival {
		job := &byArrival[i]
		if planJob(calendars, job) {
			result.InTime[job.ID] = true
		}
	}
	return result
}

// planJob plans all tasks of a job, or none if it can't end in time.
func planJob(calendars []calendar, job *Job) bool {
	var planned []*calendar
	task := job.Task
	for range job.Count {
		best, start := -1, time.Duration(0)
		var end time.Duration
		for i := range calendars {
			at, isPossible := calendars[i].earliest(job.Arrived, job.EndBy, task)
			if endsAt := at + calendars[i].runTime(task); isPossible && (best < 0 || endsAt < end) {
				best, start, end = i, at, endsAt
			}
		}
		if best < 0 {
			for _, c := range planned {
				c.runs = c.runs[:len(c.runs)-1]
			}
			return false
		}
		c := &calendars[best]
		c.forget(job.Arrived)
		c.runs = append(c.runs, run{Period{start, end}, task.MilliCores})
		planned = append(planned, c)
	}
	return true
}

// calendar holds the planned runs of one worker.
type calendar struct {
	worker *Worker
	runs   []run
}

type run struct {
	Period
	milliCores int64
}

// forget removes the runs that end before the given time. All further tasks start later.
func (c *calendar) forget(before time.Duration) {
	c.runs = slices.DeleteFunc(c.runs, func(r run) bool { return r.Until <= before })
}

func (c *calendar) runTime(task Task) time.Duration {
	return time.Duration(float64(task.RunTime) / c.worker.Speed)
}

// earliest returns the earliest start of a task from a time on with which it ends by another.
func (c *calendar) earliest(from, endBy time.Duration, task Task) (time.Duration, bool) {
	length := c.runTime(task)
	starts := []time.Duration{from}
	for _, r := range c.runs {
		if r.Until > from && r.Until+length <= endBy {
			starts = append(starts, r.Until)
		}
	}
	for _, up := range c.worker.Up {
		if up.From > from && up.From+length <= endBy {
			starts = append(starts, up.From)
		}
	}
	slices.Sort(starts)
	for _, start := range starts {
		if start+length <= endBy && c.isUp(start, start+length) && c.peak(start, start+length)+task.MilliCores <= c.worker.MilliCores {
			return start, true
		}
	}
	return 0, false
}

func (c *calendar) isUp(from, until time.Duration) bool {
	return slices.ContainsFunc(c.worker.Up, func(up Period) bool { return up.From <= from && until <= up.Until })
}

// peak returns the largest use within a period. Use grows only at the start of a run, so that these are all times to look at.
func (c *calendar) peak(from, until time.Duration) int64 {
	highest := c.use(from)
	for _, r := range c.runs {
		if r.From > from && r.From < until {
			highest = max(highest, c.use(r.From))
		}
	}
	return highest
}

func (c *calendar) use(at time.Duration) int64 {
	var total int64
	for _, r := range c.runs {
		if r.From <= at && at < r.Until {
			total += r.milliCores
		}
	}
	return total
}
