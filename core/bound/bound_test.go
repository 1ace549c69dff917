package bound_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/bound"
)

const second = time.Second

func job(id string, arrived, endBy time.Duration, count int, task bound.Task) bound.Job {
	return bound.Job{ID: id, Arrived: arrived, EndBy: endBy, Task: task, Count: count}
}

func TestPlan_JobsWaitForCapacityAndAreLeftOutIfTheyWouldBeLate(t *testing.T) {
	worker := bound.Worker{ID: "w", MilliCores: 1000, Speed: 1, Up: []bound.Period{{0, 10 * second}}}
	whole := bound.Task{MilliCores: 1000, RunTime: second}
	result := bound.Plan([]bound.Worker{worker}, []bound.Job{
		job("first", 0, second, 1, whole), job("waits", 0, 2*second, 1, whole), job("too late", 0, 2*second, 1, whole), job("after", second, 3*second, 1, whole),
	})
	for id, want := range map[string]bool{"first": true, "waits": true, "too late": false, "after": true} {
		if result.InTime[id] != want {
			t.Errorf("job %s in time: %v, want %v", id, result.InTime[id], want)
		}
	}
}

func TestPlan_WorkersSpeedAndAbsenceCount(t *testing.T) {
	workers := []bound.Worker{
		{ID: "slow", MilliCores: 1000, Speed: 0.5, Up: []bound.Period{{0, 10 * second}}},
		{ID: "leaves", MilliCores: 1000, Speed: 1, Up: []bound.Period{{0, second / 2}, {3 * second, 9 * second}}},
	}
	task := bound.Task{MilliCores: 600, RunTime: second}
	result := bound.Plan(workers, []bound.Job{
		job("on the slow one", 0, 2*second, 1, task), job("nowhere", 0, 3*second, 1, task), job("when it is back", second, 4*second, 1, task),
	})
	for id, want := range map[string]bool{"on the slow one": true, "nowhere": false, "when it is back": true} {
		if result.InTime[id] != want {
			t.Errorf("job %s in time: %v, want %v", id, result.InTime[id], want)
		}
	}
}

// A job of several tasks that doesn't fit as a whole leaves nothing behind in the plan.
func TestPlan_JobThatDoesNotFitTakesNothing(t *testing.T) {
	worker := bound.Worker{ID: "w", MilliCores: 2000, Speed: 1, Up: []bound.Period{{0, 10 * second}}}
	task := bound.Task{MilliCores: 1000, RunTime: second}
	result := bound.Plan([]bound.Worker{worker}, []bound.Job{
		job("wide", 0, second, 3, task), job("narrow", 0, second, 2, task),
	})
	if result.InTime["wide"] || !result.InTime["narrow"] {
		t.Errorf("in time: %v, want only the narrow job", result.InTime)
	}
}

func BenchmarkPlan(b *testing.B) {
	var workers []bound.Worker
	for i := range 11 {
		workers = append(workers, bound.Worker{ID: fmt.Sprint(i), MilliCores: 16000, Speed: 1, Up: []bound.Period{{0, 60 * second}}})
	}
	var jobs []bound.Job
	for i := range 9000 {
		at := time.Duration(i) * 6 * time.Millisecond
		jobs = append(jobs, job(fmt.Sprint(i), at, at+300*time.Millisecond, 4, bound.Task{MilliCores: 1600, RunTime: 160 * time.Millisecond}))
	}
	for b.Loop() {
		bound.Plan(workers, jobs)
	}
}
