package admission

import (
	"time"

	"flamingohall.example/core/fault"
)

// Request is what is known of a submission and of the pool that it needs.
type Request struct {
	Owner string
	// Tasks and Work are the job's tasks and their expected slot time together.
	Tasks int
	Work  time.Duration
	// Run is the expected time of the job's longest task.
	Run time.Duration
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
	// Ahead is the expected slot time that is served before the job's last task.
	Ahead time.Duration
	// Slots is this entry's part of the pool's slots.
	Slots float64
	// Waiting and OwnerWaiting count tasks that wait at this entry.
	Waiting      int
	OwnerWaiting int
	MaxWaiting   int
}

const (
	// minRetryAfter is the least time told to a refused caller.
	minRetryAfter = 50 * time.Millisecond
	// ownerPart is the part of the room to wait that one owner may fill.
	ownerPart = 2
)

// Admit returns nil, or a refusal that tells when to come back.
func Admit(r Request) *fault.Error {
	drain := r.finish() - r.Run
	if r.Waiting+r.Tasks > r.MaxWaiting {
		return overloaded(drain, "too many tasks wait")
	}
	if r.OwnerWaiting > 0 && r.OwnerWaiting+r.Tasks > r.MaxWaiting/ownerPart {
		return overloaded(drain, "too many tasks of the owner wait")
	}
	if finish := r.finish(); finish > r.TimeLeft && r.Ahead > 0 {
		return overloaded(finish-r.TimeLeft, "the deadline can't be met")
	}
	return nil
}

// finish returns when the job is expected to be done, from now.
func (r Request) finish() time.Duration {
	return time.Duration(float64(r.Ahead+r.Work)/max(1, r.Slots)) + r.Run
}

func overloaded(wait time.Duration, why string) *fault.Error {
	refusal := fault.New(fault.Overloaded, "come back after the time told, or give it a longer deadline",
		"%s; nothing was started", why)
	return refusal.After(max(minRetryAfter, wait))
}

// OverQuota is the refusal of an owner that starts more than its quota.
func OverQuota(wait time.Duration) *fault.Error {
	refusal := fault.New(fault.Overloaded, "come back after the time told, or have an operator raise the quota",
		"the owner's starts per second are used up; nothing was started")
	return refusal.After(max(minRetryAfter, wait))
}
