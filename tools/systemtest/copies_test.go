package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"flamingohall.example/node/rpc"
)

// Late duplicates of run requests must start nothing: after the task has run or failed, after the job was sealed at a later
// epoch, for another incarnation, and after the sidecar rejected the request while it was drained.
func TestSystem_LateCopiesStartNothing(t *testing.T) {
	c := newCluster(t, clusterSize{control: 1, entries: 1, workers: 1, slots: 4})
	s := newSubmission("charge", "copied", 6, 20)
	got, _ := post(c.apis[0], s)
	requireComplete(t, s, got)
	incarnation := c.incarnation("worker-0")
	requireOutcome(t, c.run(copyOf(got.Job, incarnation, 1, 1)), rpc.Outcome_OUTCOME_DONE)
	requireOutcome(t, c.run(copyOf(got.Job, incarnation, 1, 2)), rpc.Outcome_OUTCOME_DONE)
	requireOutcome(t, c.run(copyOf(got.Job, "another", 1, 3)), rpc.Outcome_OUTCOME_UNKNOWN)
	other := strings.Repeat("ab", 16)
	c.seal(other, incarnation, 5)
	requireOutcome(t, c.run(copyOf(other, incarnation, 4, 1)), rpc.Outcome_OUTCOME_NOT_RUN)
	requireOutcome(t, c.run(copyOf(other, incarnation, 4, 2)), rpc.Outcome_OUTCOME_NOT_RUN)
	failing := strings.Repeat("cd", 16)
	requireOutcome(t, c.run(failed(copyOf(failing, incarnation, 1, 1))), rpc.Outcome_OUTCOME_FAILED)
	requireOutcome(t, c.run(failed(copyOf(failing, incarnation, 1, 2))), rpc.Outcome_OUTCOME_FAILED)
	refused := copyOf(strings.Repeat("ef", 16), incarnation, 1, 1)
	c.drain("worker-0", true)
	requireOutcome(t, c.run(refused), rpc.Outcome_OUTCOME_NOT_RUN)
	c.drain("worker-0", false)
	requireOutcome(t, c.run(refused), rpc.Outcome_OUTCOME_NOT_RUN)
	starts := c.starts()
	requireNoDoubleStart(t, starts)
	if want := len(s.Tasks) + 1; len(starts) != want {
		t.Errorf("%d tasks started, want %d", len(starts), want)
	}
}

// failed changes the payload of the request so that its task fails at the target.
func failed(request *rpc.RunRequest) *rpc.RunRequest {
	request.Tasks[0].Payload = []byte(`{"run_ms":20,"fail":"target"}`)
	return request
}

// drain sets or clears the drain of a target and waits until its sidecar has applied it.
func (c *cluster) drain(target string, drained bool) {
	c.t.Helper()
	request := &rpc.DrainRequest{ChangeId: fmt.Sprintf("drain-%v", drained), Target: target, Drained: drained}
	if _, err := c.operator(0).Drain(context.Background(), request); err != nil {
		c.t.Fatal(err)
	}
	eventually(c.t, fmt.Sprintf("drained is %v at the sidecar", drained), func() bool {
		answer, err := c.sidecarClient().Status(context.Background(), &rpc.StatusRequest{JobId: strings.Repeat("00", 16)})
		return err == nil && answer.Load.GetLeaving() == drained
	})
}

// copyOf returns a run request for the first task of a job, as an entry sends it.
func copyOf(job, incarnation string, epoch uint64, attempt uint32) *rpc.RunRequest {
	return &rpc.RunRequest{
		EntryId: "entry-0", Incarnation: incarnation, JobId: job, Epoch: epoch, FirstEpoch: epoch, Owner: "team",
		CatalogueEntry: "charge", DeadlineMs: 10_000, HoldMs: 10_000, Slots: 1,
		Tasks: []*rpc.TaskSpec{{Attempt: attempt, Payload: []byte(`{"run_ms":20}`)}},
	}
}

func (c *cluster) sidecarClient() rpc.Sidecar {
	return rpc.NewSidecarProtobufClient("http://"+c.sidecars[0].address, &http.Client{Timeout: 20 * time.Second})
}

func (c *cluster) run(request *rpc.RunRequest) *rpc.RunResponse {
	c.t.Helper()
	answer, err := c.sidecarClient().Run(context.Background(), request)
	if err != nil {
		c.t.Fatal(err)
	}
	return answer
}

func (c *cluster) seal(job, incarnation string, epoch uint64) {
	c.t.Helper()
	request := &rpc.SealRequest{JobId: job, Incarnation: incarnation, Epoch: epoch, FirstEpoch: epoch, All: true}
	if _, err := c.sidecarClient().Seal(context.Background(), request); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) incarnation(id string) string {
	c.t.Helper()
	answer, err := c.operator(0).Nodes(context.Background(), &rpc.NodesRequest{})
	if err != nil {
		c.t.Fatal(err)
	}
	for _, node := range answer.Nodes {
		if node.Node.Id == id {
			return node.Node.Incarnation
		}
	}
	c.t.Fatalf("no node %s", id)
	return ""
}

func requireOutcome(t *testing.T, answer *rpc.RunResponse, want rpc.Outcome) {
	t.Helper()
	if len(answer.Outcomes) != 1 || answer.Outcomes[0].Outcome != want {
		t.Errorf("outcomes %v, want %v", answer.Outcomes, want)
	}
}
