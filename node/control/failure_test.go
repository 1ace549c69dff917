package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

func TestFailure_CutOffReplicaAnswersNoFirstSync(t *testing.T) {
	c := newCluster(t, 3, 6*time.Second)
	// The replica was in contact until just now, so that only the confirmed read can detect the cut.
	c.cutOff(2, true, 0)
	apply(t, c, 0, "one", 0)
	request := &rpc.SyncRequest{Node: entryNode("entry-1", "a"), WantNodes: true, WantCatalogue: true}
	_, err := c.control(2).Sync(t.Context(), request)
	if !fault.Is(faultrpc.From(err), fault.Unavailable) {
		t.Fatalf("a cut-off replica answered a first Sync: %v", err)
	}
	entry := c.follow(constant(entryNode("entry-1", "a")), []string{c.groups[2].address, c.groups[0].address})
	eventually(t, "the follower finds a connected replica", func() bool { return entry.View() != nil })
	if entry.View().Revision != 1 {
		t.Fatalf("first view has revision %d", entry.View().Revision)
	}
}

func TestFailure_RegisteredNodeGetsNoStaleFirstSync(t *testing.T) {
	c := newCluster(t, 3, 6*time.Second)
	node := entryNode("entry-1", "a")
	if _, err := c.control(0).Sync(t.Context(), &rpc.SyncRequest{Node: node}); err != nil {
		t.Fatal(err)
	}
	// The cut-off replica knows the node, so that the Sync needs no registration.
	c.cutOff(2, true, 0)
	apply(t, c, 0, "one", 0)
	_, err := c.control(2).Sync(t.Context(), &rpc.SyncRequest{Node: node, WantCatalogue: true})
	if !fault.Is(faultrpc.From(err), fault.Unavailable) {
		t.Fatalf("a cut-off replica answered a first Sync: %v", err)
	}
}

func TestFailure_ReplicaWithoutMajorityReleasesPolls(t *testing.T) {
	c := newCluster(t, 3, time.Hour)
	entry := c.follow(constant(entryNode("entry-1", "a")), []string{c.groups[2].address})
	eventually(t, "the follower is served", func() bool { return entry.View() != nil })
	c.cutOff(2, true, time.Minute)
	eventually(t, "the replica stops serving", func() bool { return c.roles[2].Ready() != nil })
	apply(t, c, 0, "one", 0)
	// The follower knows the other control VMs from earlier answers.
	eventually(t, "the follower has the change", func() bool { return entry.View().Revision == 1 })
	c.cutOff(2, false, 0)
	eventually(t, "the replica serves again", func() bool { return c.roles[2].Ready() == nil })
}

func TestFailure_LaggingReplicaRejectsNewerFollower(t *testing.T) {
	c := newCluster(t, 3, 6*time.Second)
	entry := entryNode("entry-1", "a")
	first, err := c.control(0).Sync(t.Context(), &rpc.SyncRequest{Node: entry, WantCatalogue: true})
	if err != nil {
		t.Fatal(err)
	}
	c.cutOff(2, true, 0)
	apply(t, c, 0, "one", 0)
	known := first.GetIndex() + 1
	_, err = c.control(2).Sync(t.Context(), &rpc.SyncRequest{Node: entry, WantCatalogue: true, KnownIndex: known})
	if !fault.Is(faultrpc.From(err), fault.Unavailable) {
		t.Fatalf("a lagging replica answered a follower that knows more: %v", err)
	}
}

func TestFailure_RacingOperatorsOneWins(t *testing.T) {
	c := newCluster(t, 3, 6*time.Second)
	const racers = 12
	var race sync.WaitGroup
	answers := make([]*rpc.ApplyCatalogueResponse, racers)
	for racer := range racers {
		race.Go(func() { answers[racer] = apply(t, c, racer%3, fmt.Sprint("change-", racer), 0) })
	}
	race.Wait()
	var winner string
	for racer, answer := range answers {
		if answer.GetApplied() {
			if winner != "" {
				t.Fatal("two changes with equal numbers won")
			}
			winner = fmt.Sprint("change-", racer)
		}
	}
	for _, answer := range answers {
		if answer.GetRevision() != 1 || answer.GetChangeId() != winner || answer.GetChangedBy() != "by "+winner {
			t.Fatalf("the answer names %v, the winner is %s", answer, winner)
		}
	}
}

func TestFailure_LostAnswerResentAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t, 3, 6*time.Second)
	c.loseAnswers(0, true)
	request := &rpc.ApplyCatalogueRequest{ChangeId: "lost", Document: document("lost"), Author: "ana"}
	_, err := c.operator(0).ApplyCatalogue(t.Context(), request)
	if !fault.Is(faultrpc.From(err), fault.Unknown) {
		t.Fatalf("a lost answer is %v", err)
	}
	c.loseAnswers(0, false)
	const later = 300
	for n := range later {
		if !apply(t, c, n%3, fmt.Sprint("later-", n), uint64(n+1)).GetApplied() {
			t.Fatalf("change %d was refused", n)
		}
	}
	c.restartFromSnapshot(1)
	answer, err := c.operator(1).ApplyCatalogue(t.Context(), request)
	if err != nil || !answer.GetApplied() || answer.GetRevision() != 1 || answer.GetChangeId() != "lost" {
		t.Fatalf("resend: %v, %v", answer, err)
	}
	request.Document = document("another")
	_, err = c.operator(1).ApplyCatalogue(t.Context(), request)
	if !fault.Is(faultrpc.From(err), fault.Conflict) {
		t.Fatalf("a change id was accepted for two changes: %v", err)
	}
	current, err := c.operator(2).GetCatalogue(t.Context(), &rpc.GetCatalogueRequest{})
	if err != nil || current.GetRevision() != later+1 {
		t.Fatalf("current: %v, %v", current.GetRevision(), err)
	}
	history, err := c.operator(2).History(t.Context(), &rpc.HistoryRequest{Limit: 1000})
	if err != nil || len(history.GetChanges()) != later+1 || history.GetChanges()[later].GetChangeId() != "lost" {
		t.Fatalf("history of %d, %v", len(history.GetChanges()), err)
	}
}

func TestFailure_FollowerBackAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t, 3, 6*time.Second)
	entry := entryNode("entry-1", "a")
	first, err := c.control(0).Sync(t.Context(), &rpc.SyncRequest{Node: entry, WantNodes: true, WantCatalogue: true})
	if err != nil {
		t.Fatal(err)
	}
	// More nodes are removed than tombstones are kept.
	for n := range 1_100 {
		id := fmt.Sprint("target-", n)
		c.step(t, sidecarStep(id, "x"))
		if n != 7 {
			c.step(t, goodbyeStep(id, "x"))
		}
	}
	apply(t, c, 0, "one", 0)
	later, err := c.control(1).Sync(t.Context(), &rpc.SyncRequest{
		Node: entry, WantNodes: true, WantCatalogue: true, KnownIndex: first.GetIndex(),
	})
	if err != nil || !later.GetFull() || len(later.GetNodes()) != 2 || len(later.GetCatalogue()) == 0 {
		t.Fatalf("catch-up: full %v, %d nodes, %v", later.GetFull(), len(later.GetNodes()), err)
	}
	next, err := c.control(2).Sync(t.Context(), &rpc.SyncRequest{
		Node: entry, WantNodes: true, WantCatalogue: true, KnownIndex: later.GetIndex() - 3,
	})
	if err != nil || next.GetFull() || len(next.GetNodes())+len(next.GetRemoved()) > 3 {
		t.Fatalf("a follower that was away briefly got more than a delta: %v, %v", next, err)
	}
	full, err := c.control(2).Sync(t.Context(), &rpc.SyncRequest{
		Node: entry, WantNodes: true, WantCatalogue: true, KnownIndex: later.GetIndex() - 21,
	})
	if err != nil || !full.GetFull() || len(full.GetNodes()) != 2 || len(full.GetRemoved()) != 0 {
		t.Fatalf("ten removals were sent instead of the full list of two nodes: %v, %v", full, err)
	}
}

func TestFailure_TakeoverRaceHasOneWinner(t *testing.T) {
	c := newCluster(t, 3, 6*time.Second)
	claim := func(number int, holder string, takeOver uint64) *rpc.ClaimResponse {
		answer, err := c.control(number).Claim(t.Context(), &rpc.ClaimRequest{
			JobId: "job", Holder: holder, HolderIncarnation: "x", BodyDigest: []byte("body"), TakeOverEpoch: takeOver,
			Targets: []*rpc.ClaimTarget{{Id: "of-" + holder, Incarnation: "x"}},
		})
		if err != nil {
			t.Error(err)
		}
		return answer
	}
	for _, id := range []string{"dead", "entry-0", "entry-1", "entry-2"} {
		c.step(t, entryStep(id, "x"))
	}
	first := claim(0, "dead", 0)
	if held := claim(1, "entry-0", first.GetEpoch()); held.GetStatus() != rpc.ClaimStatus_CLAIM_STATUS_HELD {
		t.Fatalf("a live holder lost its job: %v", held)
	}
	c.step(t, goodbyeStep("dead", "x"))
	var race sync.WaitGroup
	answers := make([]*rpc.ClaimResponse, 3)
	for racer := range answers {
		race.Go(func() { answers[racer] = claim(racer, fmt.Sprint("entry-", racer), first.GetEpoch()) })
	}
	race.Wait()
	won := 0
	var winner *rpc.ClaimResponse
	for _, answer := range answers {
		if answer.GetStatus() == rpc.ClaimStatus_CLAIM_STATUS_GRANTED {
			won++
			winner = answer
		}
	}
	if won != 1 || winner.GetEpoch() <= first.GetEpoch() || winner.GetTargets()[0].GetId() != "of-dead" {
		t.Fatalf("%d winners: %v", won, answers)
	}
	late, err := c.control(0).Finish(t.Context(), &rpc.FinishRequest{JobId: "job", Epoch: first.GetEpoch()})
	if err != nil || late.GetStatus() != rpc.ClaimStatus_CLAIM_STATUS_FENCED {
		t.Fatalf("a finish under the old epoch: %v, %v", late, err)
	}
	done, err := c.control(1).Finish(t.Context(), &rpc.FinishRequest{JobId: "job", Epoch: winner.GetEpoch()})
	if err != nil || done.GetStatus() != rpc.ClaimStatus_CLAIM_STATUS_FINISHED {
		t.Fatalf("the winner's finish: %v, %v", done, err)
	}
}

func TestFailure_StopReleasesPollsAndLosesNothing(t *testing.T) {
	c := newCluster(t, 2, time.Hour)
	entry := c.follow(constant(entryNode("entry-1", "a")), c.addresses())
	eventually(t, "the follower is served", func() bool { return entry.View() != nil })
	var claims sync.WaitGroup
	const jobs = 64
	granted := make([]bool, jobs)
	for job := range jobs {
		claims.Go(func() {
			answer, err := entry.Control().Claim(t.Context(), &rpc.ClaimRequest{
				JobId: fmt.Sprint("job-", job), Holder: "entry-1", HolderIncarnation: "a",
			})
			granted[job] = err == nil && answer.GetStatus() == rpc.ClaimStatus_CLAIM_STATUS_GRANTED
		})
	}
	held := c.holdPoll(t, 0)
	if err := c.roles[0].Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	// The lease of one hour allows the poll to be held for minutes.
	if err := <-held; !fault.Is(faultrpc.From(err), fault.Unavailable) {
		t.Fatalf("the held poll ended with %v", err)
	}
	claims.Wait()
	for job, ok := range granted {
		if !ok {
			t.Fatalf("the claim of job %d was lost by a planned stop", job)
		}
	}
	apply(t, c, 1, "one", 0)
	eventually(t, "the follower has switched to another replica", func() bool { return entry.View().Revision == 1 })
}

// holdPoll starts a poll at a member and returns once it has arrived.
func (c *cluster) holdPoll(t *testing.T, number int) <-chan error {
	t.Helper()
	first, err := c.control(number).Sync(t.Context(), &rpc.SyncRequest{Node: sidecarNode("held", "x")})
	if err != nil {
		t.Fatal(err)
	}
	before := c.roles[number].metrics.Counter("syncs")
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
		defer cancel()
		_, err := c.control(number).Sync(ctx, &rpc.SyncRequest{
			Number: first.GetNumber(), KnownIndex: first.GetIndex(), HoldMs: time.Hour.Milliseconds(),
		})
		ended <- err
	}()
	eventually(t, "the poll arrives", func() bool { return c.roles[number].metrics.Counter("syncs") > before })
	return ended
}

func apply(t *testing.T, c *cluster, number int, change string, base uint64) *rpc.ApplyCatalogueResponse {
	t.Helper()
	answer, err := c.operator(number).ApplyCatalogue(t.Context(), &rpc.ApplyCatalogueRequest{
		ChangeId: change, BaseRevision: base, Document: document(change), Author: "by " + change,
	})
	if err != nil {
		t.Error(err)
	}
	return answer
}
