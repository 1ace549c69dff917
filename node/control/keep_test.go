package control

import (
	"slices"
	"testing"

	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/state"
	"flamingohall.example/node/rpc"
)

// TestKeep_HolderLearnsOfTheJobsThatItStoredItself guards against accepted jobs that nobody ran: the answer to their Store was lost,
// and control never told their holder of them.
func TestKeep_HolderLearnsOfTheJobsThatItStoredItself(t *testing.T) {
	s := state.New()
	for index, job := range []string{"early", "late", "ended"} {
		s.Jobs.Store(jobstore.Store{Job: job, Holder: "e", Body: []byte(job), Steps: []uint32{1}}, uint64(index+1))
	}
	s.Jobs.Store(jobstore.Store{Job: "other", Holder: "f", Steps: []uint32{1}}, 4)
	s.Jobs.Cancel("ended", 0)
	response := &rpc.KeepResponse{}
	fillKeep(response, &rpc.KeepRequest{Holder: "e", KnownIndex: 1}, s)
	if got := response.GetStored(); !slices.Equal(got, []string{"late"}) || len(response.GetAssigned()) != 0 {
		t.Errorf("stored %v, assigned %v; want the id of the job that was stored after index 1", got, response.GetAssigned())
	}
	response = &rpc.KeepResponse{}
	fillKeep(response, &rpc.KeepRequest{Holder: "e", KnownIndex: 3, Missing: []string{"late", "ended", "other", "unknown"}}, s)
	if got := response.GetAssigned(); len(got) != 1 || got[0].GetJobId() != "late" || string(got[0].GetBody()) != "late" {
		t.Errorf("assigned %v, want the one missing job that is open and its own", got)
	}
}
