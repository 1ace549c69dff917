// Package policy holds the switches and weights of all decisions about jobs: admission, order, placement, and what is done
// about slow and failing workers. One value is passed in from above; each mechanism can be switched off alone, to measure what
// it is worth (docs/POLICY.md).
package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/tailscale/hujson"

	"flamingohall.example/core/fault"
)

// Policy is the configuration of the decisions of an entry and a sidecar. Each field names the load pattern that it answers and
// the test that replays it.
type Policy struct {
	Admission Admission `json:"admission"`
	Late      Late      `json:"late"`
	Order     Order     `json:"order"`
	Placement Placement `json:"placement"`
	Estimates Estimates `json:"estimates"`
	Faults    Faults    `json:"faults"`
	Sharing   Sharing   `json:"sharing"`
}

// Admission decides which jobs are refused.
type Admission struct {
	// MaxWaitShare is the part of a job's slack that it may be expected to spend waiting, and MinAllowedWaitMS is allowed in any
	// case, in milliseconds. Load: a crest above the capacity (TestPool_OverloadedWorkersServeMostInTime).
	MaxWaitShare     float64 `json:"max_wait_share"`
	MinAllowedWaitMS int64   `json:"min_allowed_wait_ms"`
	// CountOtherEntries adds an estimate of what other entries accept at the same moment. Load: all entries start
	// together after a loss of power (TestLoad_EntriesThatOpenTogetherShareTheWorkers).
	CountOtherEntries bool `json:"count_other_entries"`
}

// Late decides about late work: jobs that can't end in time when they are submitted. Load: the callers of an outage return
// together (TestLate_CallersOfAnOutageAreServedBesideNewOnes).
type Late struct {
	// MaxUsedShare is the used share of a pool up to which late work is offered.
	MaxUsedShare float64 `json:"max_used_share"`
	// DrainShare is the share of a pool that late work is assumed to get when it is accepted; 0 switches late work off.
	DrainShare float64 `json:"drain_share"`
	// MaxLateUsedShare is the used share of a pool up to which late jobs are accepted like others while late work is off
	// (TestLoad_LateJobsLeaveRoomForNewOnes).
	MaxLateUsedShare float64 `json:"max_late_used_share"`
}

// Order decides which waiting task starts first.
type Order struct {
	// BySlack starts the task with the least slack first, instead of the one that arrived first. Load: short jobs behind long
	// ones on a full worker (TestRunner_LateTaskStartsBeforeOneWithMoreSlack).
	BySlack bool `json:"by_slack"`
	// PriorityStepMS is how much slack, in milliseconds, each level of priority below the first adds. Load: urgent jobs on a full
	// pool (TestLoad_BurstIsRefusedAtOnce).
	PriorityStepMS int64 `json:"priority_step_ms"`
	// LateYields makes tasks that can't end in time start after those that can. Load: a crest
	// (TestScarcity_CrestIsSharedByAllCallers).
	LateYields bool `json:"late_yields"`
}

// Placement decides which worker gets a task.
type Placement struct {
	// SampledWorkers is how many random workers are compared. Load: many entries near full capacity
	// (TestPool_ManyEntriesDoNotChooseAlike).
	SampledWorkers int `json:"sampled_workers"`
	// FreeFirst compares SampledFreeWorkers of the workers with free capacity if there are any. Load: few workers have free
	// capacity (TestScarcity_CrestIsSharedByAllCallers).
	FreeFirst          bool `json:"free_first"`
	SampledFreeWorkers int  `json:"sampled_free_workers"`
	// LateCostMS is added, in milliseconds, on a worker on which the task is expected to end late. Load: slow workers beside
	// others (TestScarcity_CrestIsSharedByAllCallers).
	LateCostMS int64 `json:"late_cost_ms"`
	// MinUsefulSpeedRatio is the fraction of the fastest worker's speed below which a worker's free capacity doesn't count for
	// admission. Load: a slow worker beside full ones (TestLoad_RoomOnASlowedWorkerDoesNotCount).
	MinUsefulSpeedRatio float64 `json:"min_useful_speed_ratio"`
}

// Estimates says how run times are predicted.
type Estimates struct {
	// DeclaredWeight is the weight of a job's declared run time against the mean of its queue, from 0 to 1.
	DeclaredWeight float64 `json:"declared_weight"`
	// LearnSpeeds makes entries learn the speed of each worker from their own runs, MeasureSpeeds makes sidecars measure it from
	// all runs. Load: workers of unequal speed (TestScarcity_CrestIsSharedByAllCallers, TestScarcity_LoadTellsTheMeasuredSpeed).
	LearnSpeeds   bool `json:"learn_speeds"`
	MeasureSpeeds bool `json:"measure_speeds"`
}

// Faults decides what is done about workers that are slow, fail, or end under tasks.
type Faults struct {
	// Ejection keeps tasks off workers that fail work that succeeds elsewhere (core/health, TestOutlierDetector).
	Ejection bool `json:"ejection"`
	// MaxMoves limits how often one task is moved off a worker that has become slow; 0 switches moves off. Load:
	// TestLoad_RunOnASlowedWorkerIsMoved.
	MaxMoves int `json:"max_moves"`
	// Containment keeps a queue whose tasks end their workers on few of them (core/crash, TestContainment).
	Containment bool `json:"containment"`
	// RepeatHold sends another Hold beside one that has waited for a while, since its answer may be lost
	// (TestRunner_LostAnswerOfAWaitingHoldHidesNoEndForLong).
	RepeatHold bool `json:"repeat_hold"`
}

// Sharing divides scarce capacity among queues that share a pool.
type Sharing struct {
	// MinEntries is the least number of entries for which queues share the capacity of their pool; 0 switches sharing off. Load:
	// TestScarcity_CrestIsSharedByAllCallers.
	MinEntries int `json:"min_entries"`
}

// Default returns the policy of the product.
func Default() Policy {
	return Policy{
		Admission: Admission{MaxWaitShare: 0.12, MinAllowedWaitMS: 20, CountOtherEntries: true},
		Late:      Late{MaxUsedShare: 0.75, MaxLateUsedShare: 0.15},
		Order:     Order{BySlack: true, PriorityStepMS: 80, LateYields: true},
		Placement: Placement{SampledWorkers: 4, FreeFirst: true, SampledFreeWorkers: 3, LateCostMS: 200, MinUsefulSpeedRatio: 0.45},
		Estimates: Estimates{DeclaredWeight: 0.5, LearnSpeeds: true, MeasureSpeeds: true},
		Faults:    Faults{Ejection: true, MaxMoves: 2, Containment: true, RepeatHold: true},
		Sharing:   Sharing{MinEntries: 5},
	}
}

// Read returns the default policy with the changes of a JSON file with comments. Its errors are of type *fault.Error.
func Read(from io.Reader) (Policy, error) {
	result := Default()
	text, err := io.ReadAll(from)
	if err != nil {
		return result, fault.New(fault.NotFound, "name a file that can be read", "policy: %v", err)
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return result, fault.New(fault.Malformed, "correct the JSON at the reported position", "policy: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&result); err != nil {
		return result, fault.New(fault.Invalid, "see docs/POLICY.md for the fields", "policy: %v", err)
	}
	if problem := result.problem(); problem != "" {
		return result, fault.New(fault.Invalid, "see docs/POLICY.md for the ranges", "policy: %s", problem)
	}
	return result, nil
}

func (p *Policy) problem() string {
	for _, share := range []struct {
		name  string
		value float64
	}{
		{"admission.max_wait_share", p.Admission.MaxWaitShare},
		{"late.max_used_share", p.Late.MaxUsedShare},
		{"late.drain_share", p.Late.DrainShare},
		{"late.max_late_used_share", p.Late.MaxLateUsedShare},
		{"placement.min_useful_speed_ratio", p.Placement.MinUsefulSpeedRatio},
		{"estimates.declared_weight", p.Estimates.DeclaredWeight},
	} {
		if share.value < 0 || share.value > 1 {
			return share.name + " is not between 0 and 1"
		}
	}
	for _, number := range []struct {
		name         string
		value, least int64
	}{
		{"admission.min_allowed_wait_ms", p.Admission.MinAllowedWaitMS, 0},
		{"order.priority_step_ms", p.Order.PriorityStepMS, 0},
		{"placement.late_cost_ms", p.Placement.LateCostMS, 0},
		{"placement.sampled_workers", int64(p.Placement.SampledWorkers), 1},
		{"placement.sampled_free_workers", int64(p.Placement.SampledFreeWorkers), 1},
		{"faults.max_moves", int64(p.Faults.MaxMoves), 0},
		{"sharing.min_entries", int64(p.Sharing.MinEntries), 0},
	} {
		if number.value < number.least {
			return fmt.Sprintf("%s is below %d", number.name, number.least)
		}
	}
	return ""
}

// milliseconds converts a number of milliseconds.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// MinAllowedWait returns the wait that is allowed in any case.
func (a *Admission) MinAllowedWait() time.Duration { return milliseconds(a.MinAllowedWaitMS) }

// PriorityStep returns how much slack each level of priority below the first adds.
func (o *Order) PriorityStep() time.Duration { return milliseconds(o.PriorityStepMS) }

// LateCost returns what is added on a worker on which a task ends late.
func (p *Placement) LateCost() time.Duration { return milliseconds(p.LateCostMS) }
