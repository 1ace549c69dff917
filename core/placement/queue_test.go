package placement

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/job"
)

var start = time.Unix(0, 0)

func waiting(owner string, weight, tasks int, arrived time.Duration) *Waiting {
	spec := job.Spec{
		ID: fmt.Sprint(owner, tasks, arrived), Repeatable: true, Attempts: 1, Deadline: start.Add(time.Hour),
		Tasks: make([]job.TaskSpec, tasks),
	}
	return &Waiting{
		Job: job.New(spec), Owner: owner, Weight: weight, Cost: 50 * time.Millisecond,
		Arrived: start.Add(arrived), Slots: 10,
	}
}

// serve places the next task and returns its job.
func serve(q *Queue) *Waiting {
	w := q.Next(func(string) bool { return false })
	if w == nil {
		return nil
	}
	index := w.Job.NextWaiting(0)
	w.Job.Step(start, job.Place{Target: job.Target{ID: "t"}, Indexes: []int{index}})
	q.Served(w)
	return w
}

func TestQueue_SharesByWeight(t *testing.T) {
	q := NewQueue(false)
	q.Push(waiting("heavy", 3, 1000, 0))
	q.Push(waiting("light", 1, 1000, 0))
	served := map[string]int{}
	for range 400 {
		served[serve(q).Owner]++
	}
	if served["heavy"] < 295 || served["heavy"] > 305 {
		t.Fatalf("served %v", served)
	}
}

func TestQueue_IdleOwnerGainsNoCredit(t *testing.T) {
	q := NewQueue(false)
	q.Push(waiting("busy", 1, 1000, 0))
	for range 500 {
		serve(q)
	}
	q.Push(waiting("late", 1, 1000, 0))
	served := map[string]int{}
	for range 100 {
		served[serve(q).Owner]++
	}
	if served["late"] < 45 || served["late"] > 55 {
		t.Fatalf("served %v", served)
	}
}

func TestQueue_ShortJobFirst(t *testing.T) {
	q := NewQueue(false)
	long, short := waiting("a", 1, 1000, 0), waiting("a", 1, 2, time.Second)
	q.Push(long)
	q.Push(short)
	for i, want := range []*Waiting{short, short, long} {
		if serve(q) != want {
			t.Fatalf("place %d goes to the other job", i)
		}
	}
}

func TestQueue_LongJobIsNotStarved(t *testing.T) {
	q := NewQueue(false)
	long := waiting("a", 1, 10, 0)
	q.Push(long)
	for i := range 1000 {
		arrived := time.Duration(i) * 10 * time.Millisecond
		q.Push(waiting("a", 1, 1, arrived))
		if serve(q) == long {
			return
		}
	}
	t.Fatal("1,000 short jobs went first")
}

func TestQueue_AheadCountsWorkServedFirst(t *testing.T) {
	q := NewQueue(false)
	q.Push(waiting("a", 1, 4, 0))
	q.Push(waiting("a", 1, 100, 0))
	q.Push(waiting("b", 1, 100, 0))
	// The owner's job of 4 tasks, and as much of the other owner as of this one: 4 and 6 tasks.
	if ahead := q.Ahead("a", 1, 6*50*time.Millisecond); ahead != 14*50*time.Millisecond {
		t.Fatalf("ahead is %v", ahead)
	}
}
