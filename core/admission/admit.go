package admission

import (
	"time"

	"flamingohall.example/core/fault"
)

// Request describes a submission and the pool that it needs.
type Request struct {
	Owner string
	// Tasks is the number of the job's tasks, Work their total expected slot time.
	Tasks int
	Work  time.Duration
	// Run is the expected run time of the job's longest task.
	Run time.Duration
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Ahead is the expected slot time that is served before the job's last task.
	Ahead time.Duration
	// Slots is this entry's share of the pool's slots.
	Slots float64
	// Waiting and OwnerWaiting count the tasks that wait at this entry.
	Waiting      int
	OwnerWaiting int
	MaxWaiting   int
}

const (
	// minRetryAfter is the minimum delay that a refused caller is given.
	minRetryAfter = 50 * time.Millisecond
	// ownerShareDivisor is the divisor of MaxWaiting for a single owner: one owner may use half of it.
	ownerShareDivisor = 2
)

// Admit returns nil, or a refusal that says when to try again.
func Admit(r Request) *fault.Error {
	drain := r.finish() - r.Run
	if r.Waiting+r.Tasks > r.MaxWaiting {
		return overloaded(drain, "too many tasks wait")
	}
	if r.OwnerWaiting > 0 && r.OwnerWaiting+r.Tasks > r.MaxWaiting/ownerShareDivisor {
		return overloaded(drain, "too many tasks of the owner wait")
	}
	if finish := r.finish(); finish > r.TimeLeft && r.Ahead > 0 {
		return overloaded(finish-r.TimeLeft, "the deadline can't be met")
	}
	return nil
}

// finish returns the expected time until the job is done.
func (r Request) finish() time.Duration {
	return time.Duration(float64(r.Ahead+r.Work)/max(1, r.Slots)) + r.Run
}

func overloaded(wait time.Duration, why string) *fault.Error {
	refusal := fault.New(fault.Overloaded, "come back after the time told, or give it a longer deadline",
		"%s; nothing was started", why)
	return refusal.WithRetryAfter(max(minRetryAfter, wait))
}

// OverQuota returns the refusal for an owner that exceeds its quota of starts.
func OverQuota(wait time.Duration) *fault.Error {
	refusal := fault.New(fault.Overloaded, "come back after the time told, or have an operator raise the quota",
		"the owner's starts per second are used up; nothing was started")
	return refusal.WithRetryAfter(max(minRetryAfter, wait))
}
