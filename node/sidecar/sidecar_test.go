package sidecar

import (
	"testing"

	"flamingohall.example/core/target"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

func TestOutcome_NumbersMatchProtocol(t *testing.T) {
	outcomes := map[target.Outcome]rpc.Outcome{
		target.Unseen: rpc.Outcome_OUTCOME_UNSPECIFIED, target.Queued: rpc.Outcome_OUTCOME_QUEUED,
		target.Running: rpc.Outcome_OUTCOME_RUNNING, target.Done: rpc.Outcome_OUTCOME_DONE,
		target.Failed: rpc.Outcome_OUTCOME_FAILED, target.NotRun: rpc.Outcome_OUTCOME_NOT_RUN,
		target.Cancelled: rpc.Outcome_OUTCOME_CANCELLED, target.Unknown: rpc.Outcome_OUTCOME_UNKNOWN,
	}
	for ours, theirs := range outcomes {
		if rpc.Outcome(ours) != theirs {
			t.Errorf("%d is %s", ours, theirs)
		}
	}
	causes := map[target.Cause]rpc.Cause{
		target.CauseTask: rpc.Cause_CAUSE_TASK, target.CauseTarget: rpc.Cause_CAUSE_TARGET,
		target.CauseBusy: rpc.Cause_CAUSE_BUSY, target.CauseLeaving: rpc.Cause_CAUSE_LEAVING,
		target.CauseFenced: rpc.Cause_CAUSE_FENCED, target.CauseIncarnation: rpc.Cause_CAUSE_INCARNATION,
		target.CauseDeadline: rpc.Cause_CAUSE_DEADLINE, target.CauseCancelled: rpc.Cause_CAUSE_CANCELLED,
		target.CauseLost: rpc.Cause_CAUSE_LOST, target.CauseSealed: rpc.Cause_CAUSE_SEALED,
	}
	for ours, theirs := range causes {
		if rpc.Cause(ours) != theirs {
			t.Errorf("%d is %s", ours, theirs)
		}
	}
}

func TestSidecar_RunsAJobOnce(t *testing.T) {
	standIn, ledger := startTarget(t, settings.StandIn{Slots: 2})
	b := startSidecar(t, settings.Sidecar{TargetURL: "http://" + standIn.Addr(), Slots: 2, Queue: 8})
	request := neverRepeatedRequest(b, 6, `{"run_ms":5,"echo":"x"}`)
	for range 2 {
		response := mustRun(t, b, request)
		if count(response.GetOutcomes(), rpc.Outcome_OUTCOME_DONE) != 6 {
			t.Fatalf("outcomes %v", response.GetOutcomes())
		}
	}
	for task, starts := range startsInLedger(t, ledger) {
		if starts != 1 {
			t.Errorf("%s started %d times", task, starts)
		}
	}
	if b.metrics.Counter("tasks_started") != 6 || b.metrics.Counter("wasted_duplicate") != 1 {
		t.Errorf("counters: %d started, %d duplicates",
			b.metrics.Counter("tasks_started"), b.metrics.Counter("wasted_duplicate"))
	}
}

func TestSidecar_DrainRefusesNewAndQueuedWork(t *testing.T) {
	standIn, ledger := startTarget(t, settings.StandIn{Slots: 1})
	b := startSidecar(t, settings.Sidecar{TargetURL: "http://" + standIn.Addr(), Slots: 1, Queue: 8})
	request := repeatableRequest(b, 3, `{"run_ms":0,"fail":"hang"}`)
	request.HoldMs = 0
	if running := mustRun(t, b, request); count(running.GetOutcomes(), rpc.Outcome_OUTCOME_RUNNING) != 1 {
		t.Fatalf("outcomes %v", running.GetOutcomes())
	}
	b.control.drain(true)
	request.HoldMs = 10_000
	response := mustRun(t, b, request)
	if count(response.GetOutcomes(), rpc.Outcome_OUTCOME_NOT_RUN) != 2 || !response.GetLoad().GetLeaving() {
		t.Fatalf("outcomes %v, load %v", response.GetOutcomes(), response.GetLoad())
	}
	if starts := startsInLedger(t, ledger); len(starts) > 1 {
		t.Errorf("starts %v", starts)
	}
	b.control.drain(false)
	request.JobId = "ff" + testJob[2:]
	request.HoldMs = 0
	for mustRun(t, b, request).GetLoad().GetLeaving() {
		request.JobId = nextJob(request.JobId)
	}
}

// nextJob returns another job id.
func nextJob(job string) string {
	return job[2:] + job[:2]
}
