package entry

import (
	"time"

	"flamingohall.example/core/job"
	"flamingohall.example/core/placement"
	"flamingohall.example/node/rpc"
)

// outcomeOf converts an outcome to that of core/job. Unspecified and unknown values count as running.
func outcomeOf(outcome rpc.Outcome) job.Outcome {
	switch outcome {
	case rpc.Outcome_OUTCOME_QUEUED:
		return job.Queued
	case rpc.Outcome_OUTCOME_DONE:
		return job.Done
	case rpc.Outcome_OUTCOME_FAILED:
		return job.Failed
	case rpc.Outcome_OUTCOME_NOT_RUN:
		return job.NotRun
	case rpc.Outcome_OUTCOME_CANCELLED:
		return job.Cancelled
	case rpc.Outcome_OUTCOME_UNKNOWN:
		return job.Unknown
	default:
		return job.Running
	}
}

// causes maps the causes in messages to those of core/job.
var causes = map[rpc.Cause]job.Cause{
	rpc.Cause_CAUSE_UNSPECIFIED: job.CauseNone,
	rpc.Cause_CAUSE_TASK:        job.CauseTask,
	rpc.Cause_CAUSE_TARGET:      job.CauseTarget,
	rpc.Cause_CAUSE_BUSY:        job.CauseBusy,
	rpc.Cause_CAUSE_LEAVING:     job.CauseLeaving,
	rpc.Cause_CAUSE_FENCED:      job.CauseFenced,
	rpc.Cause_CAUSE_INCARNATION: job.CauseIncarnation,
	rpc.Cause_CAUSE_DEADLINE:    job.CauseDeadline,
	rpc.Cause_CAUSE_CANCELLED:   job.CauseCancelled,
	rpc.Cause_CAUSE_LOST:        job.CauseLost,
	rpc.Cause_CAUSE_SEALED:      job.CauseSealed,
}

func reportsOf(outcomes []*rpc.TaskOutcome) []job.Report {
	reports := make([]job.Report, len(outcomes))
	for i, o := range outcomes {
		reports[i] = job.Report{
			Ref:     job.Ref{Index: int(o.GetIndex()), Attempt: int(o.GetAttempt())},
			Outcome: outcomeOf(o.GetOutcome()), Cause: causes[o.GetCause()], Reason: o.GetReason(),
			Result: o.GetResult(),
			Queue:  time.Duration(o.GetQueueUs()) * time.Microsecond,
			Run:    time.Duration(o.GetRunUs()) * time.Microsecond,
		}
	}
	return reports
}

func loadOf(load *rpc.Load, incarnation string) placement.Load {
	return placement.Load{
		Incarnation: incarnation, Slots: int(load.GetSlots()), Busy: int(load.GetBusy()),
		Queued: int(load.GetQueued()), Leaving: load.GetLeaving(), Sequence: load.GetSequence(),
	}
}

func targetOf(node *rpc.Node) placement.Target {
	info := node.GetTarget()
	return placement.Target{
		ID: node.GetId(), Incarnation: node.GetIncarnation(), Address: node.GetAddress(),
		DataCentre: node.GetDataCentre(), Rack: info.GetRack(), Pool: info.GetPool(),
		Slots: int(info.GetSlots()), Leaving: node.GetLeaving(), Drained: node.GetDrained(),
	}
}

func indexesOf(refs []job.Ref) []uint32 {
	indexes := make([]uint32, len(refs))
	for i, ref := range refs {
		indexes[i] = uint32(ref.Index)
	}
	return indexes
}

func claimTargets(targets []job.Target) []*rpc.ClaimTarget {
	list := make([]*rpc.ClaimTarget, len(targets))
	for i, target := range targets {
		list[i] = &rpc.ClaimTarget{Id: target.ID, Incarnation: target.Incarnation}
	}
	return list
}

func jobTargets(targets []*rpc.ClaimTarget) []job.Target {
	list := make([]job.Target, len(targets))
	for i, target := range targets {
		list[i] = job.Target{ID: target.GetId(), Incarnation: target.GetIncarnation()}
	}
	return list
}
