package control

import (
	"strings"
	"testing"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/state"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// TestFind_LaggingReplicaDoesNotDenyAnAcceptedJob guards against the answer that there is no such job, from a control VM that was not
// up to date, seconds after the job had been accepted.
func TestFind_LaggingReplicaDoesNotDenyAnAcceptedJob(t *testing.T) {
	c := newCluster(t, 3, 6e9)
	request := &rpc.FindRequest{JobId: "j"}
	lagging := &jobs{role: c.roles[2]}
	if response, err := lagging.Find(t.Context(), request); err != nil || response.GetState() != rpc.JobState_JOB_STATE_UNSPECIFIED {
		t.Fatalf("before the job is stored: %v, %v", response, err)
	}
	c.cutOff(2, true, 0)
	c.step(t, state.Step{Store: &jobstore.Store{Job: "j", Holder: "e", Steps: []uint32{1}}})
	if response, err := lagging.Find(t.Context(), request); !fault.Is(faultrpc.From(err), fault.Unavailable) {
		t.Errorf("a cut-off replica answered %v, %v", response, err)
	}
	c.cutOff(2, false, 0)
	if response, err := lagging.Find(t.Context(), request); err != nil || response.GetState() != rpc.JobState_JOB_STATE_OPEN {
		t.Errorf("after the cut: %v, %v", response, err)
	}
	c.cutOff(2, true, 0)
	if response, err := lagging.Find(t.Context(), request); err != nil || response.GetState() != rpc.JobState_JOB_STATE_OPEN {
		t.Errorf("the state of a known job needs no confirmed read: %v, %v", response, err)
	}
}

// TestCancel_NameOfAnyLengthIsNotKept guards against a state that grows by what callers name: the cancel of an unknown job is kept.
func TestCancel_NameOfAnyLengthIsNotKept(t *testing.T) {
	c := newCluster(t, 1, 6e9)
	for _, name := range []string{"", strings.Repeat("j", maxNameBytes+1)} {
		_, err := (&jobs{role: c.roles[0]}).Cancel(t.Context(), &rpc.CancelStoredRequest{JobId: name})
		if !fault.Is(faultrpc.From(err), fault.Invalid) {
			t.Errorf("cancel of a job with a name of %d bytes: %v", len(name), err)
		}
	}
}
