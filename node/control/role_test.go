package control

import (
	"testing"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

func TestRole_FollowersSeeNodesAndCatalogue(t *testing.T) {
	c := newCluster(t, 3, 6*time.Second)
	entry := c.follow(constant(entryNode("entry-1", "a")), c.addresses())
	sidecar := c.follow(constant(sidecarNode("target-1", "b")), c.addresses())
	eventually(t, "the entry sees the target", func() bool {
		view := entry.View()
		return view != nil && view.Nodes["target-1"].GetTarget().GetSlots() == 8
	})
	answer, err := c.operator(1).ApplyCatalogue(t.Context(), &rpc.ApplyCatalogueRequest{
		ChangeId: "one", Document: document("a"), Author: "ana",
	})
	if err != nil || !answer.GetApplied() || answer.GetRevision() != 1 {
		t.Fatalf("apply: %v, %v", answer, err)
	}
	eventually(t, "the entry has the revision", func() bool {
		view := entry.View()
		_, found := view.Catalogue.Entry("levy/a")
		return view.Revision == 1 && found
	})
	eventually(t, "the sidecar has the revision", func() bool { return sidecar.View().Revision == 1 })
	eventually(t, "the operator sees it in force at both", func() bool {
		listed, err := c.operator(2).Nodes(t.Context(), &rpc.NodesRequest{})
		if err != nil {
			t.Fatal(err)
		}
		inForce := 0
		for _, node := range listed.GetNodes() {
			if node.GetRevisionInForce() == 1 && node.GetLastHeardMs() >= 0 {
				inForce++
			}
		}
		return inForce == 2
	})
}

func TestRole_DrainReachesTargetAndEntry(t *testing.T) {
	c := newCluster(t, 1, 6*time.Second)
	entry := c.follow(constant(entryNode("entry-1", "a")), c.addresses())
	sidecar := c.follow(constant(sidecarNode("target-1", "b")), c.addresses())
	eventually(t, "the target is registered", func() bool {
		return entry.Ready() == nil && sidecar.Ready() == nil && entry.View().Nodes["target-1"] != nil
	})
	drain := func(id, target string, drained bool) bool {
		answer, err := c.operator(0).Drain(t.Context(), &rpc.DrainRequest{ChangeId: id, Target: target, Drained: drained})
		if err != nil {
			t.Fatal(err)
		}
		return answer.GetFound()
	}
	if drain("d0", "nobody", true) || !drain("d1", "target-1", true) {
		t.Fatal("found the wrong targets")
	}
	eventually(t, "the drain arrives", func() bool {
		return sidecar.View().Drained && entry.View().Nodes["target-1"].GetDrained()
	})
	drain("d2", "target-1", false)
	if !drain("d1", "target-1", true) {
		t.Fatal("a resend got another answer")
	}
	eventually(t, "the drain is lifted despite the resend", func() bool {
		return !sidecar.View().Drained && !entry.View().Nodes["target-1"].GetDrained()
	})
}

func TestRole_LeavingAndGoodbyeReachEntries(t *testing.T) {
	c := newCluster(t, 1, 6*time.Second)
	entry := c.follow(constant(entryNode("entry-1", "a")), c.addresses())
	leaving := make(chan struct{})
	self := func() *rpc.Node {
		node := sidecarNode("target-1", "b")
		select {
		case <-leaving:
			node.Leaving = true
		default:
		}
		return node
	}
	sidecar := c.follow(self, c.addresses())
	eventually(t, "the target is seen", func() bool {
		return entry.View() != nil && entry.View().Nodes["target-1"] != nil
	})
	close(leaving)
	sidecar.Announce()
	eventually(t, "it is seen leaving", func() bool { return entry.View().Nodes["target-1"].GetLeaving() })
	if err := sidecar.Goodbye(t.Context()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it is gone", func() bool { return entry.View().Nodes["target-1"] == nil })
	_, err := c.control(0).Sync(t.Context(), &rpc.SyncRequest{Node: sidecarNode("target-1", "b")})
	if !fault.Is(faultrpc.From(err), fault.Fenced) {
		t.Fatalf("a process registered again after its goodbye: %v", err)
	}
}

func TestRole_ClaimFinishAndResend(t *testing.T) {
	c := newCluster(t, 3, 6*time.Second)
	entry1 := c.follow(constant(entryNode("entry-1", "a")), c.addresses())
	entry2 := c.follow(constant(entryNode("entry-2", "b")), c.addresses())
	eventually(t, "both entries are registered", func() bool { return entry1.Ready() == nil && entry2.Ready() == nil })
	request := &rpc.ClaimRequest{
		JobId: "job", Holder: "entry-1", HolderIncarnation: "a", BodyDigest: []byte("body"),
		Targets: []*rpc.ClaimTarget{{Id: "target-1", Incarnation: "x"}},
	}
	first, err := entry1.Control().Claim(t.Context(), request)
	if err != nil || first.GetStatus() != rpc.ClaimStatus_CLAIM_STATUS_GRANTED {
		t.Fatalf("claim: %v, %v", first, err)
	}
	again, err := entry1.Control().Claim(t.Context(), request)
	if err != nil || again.GetEpoch() != first.GetEpoch() {
		t.Fatalf("resent claim: %v, %v", again, err)
	}
	request.Holder, request.HolderIncarnation = "entry-2", "b"
	held, err := entry2.Control().Claim(t.Context(), request)
	if err != nil || held.GetStatus() != rpc.ClaimStatus_CLAIM_STATUS_HELD || !held.GetHolderLive() ||
		held.GetHolderAddress() != "entry-1:1" {
		t.Fatalf("second holder: %v, %v", held, err)
	}
	request.BodyDigest = []byte("other")
	other, err := entry2.Control().Claim(t.Context(), request)
	if err != nil || other.GetStatus() != rpc.ClaimStatus_CLAIM_STATUS_CONFLICT {
		t.Fatalf("another body: %v, %v", other, err)
	}
	finish := &rpc.FinishRequest{JobId: "job", Epoch: first.GetEpoch(), Answer: []byte("answer")}
	for range 2 {
		done, err := entry1.Control().Finish(t.Context(), finish)
		if err != nil || done.GetStatus() != rpc.ClaimStatus_CLAIM_STATUS_FINISHED {
			t.Fatalf("finish: %v, %v", done, err)
		}
	}
	request.BodyDigest = []byte("body")
	served, err := entry2.Control().Claim(t.Context(), request)
	if err != nil || string(served.GetAnswer()) != "answer" {
		t.Fatalf("stored answer: %v, %v", served, err)
	}
}

// TestRole_CatalogueIsPackedOnRequest checks that a node of an earlier version still receives the text form.
func TestRole_CatalogueIsPackedOnRequest(t *testing.T) {
	c := newCluster(t, 1, 6*time.Second)
	if _, err := c.operator(0).ApplyCatalogue(t.Context(), &rpc.ApplyCatalogueRequest{
		ChangeId: "one", Document: document("a"), Author: "ana",
	}); err != nil {
		t.Fatal(err)
	}
	for _, isPacked := range []bool{false, true} {
		answer, err := c.control(0).Sync(t.Context(), &rpc.SyncRequest{
			Node: entryNode("entry-1", "a"), WantCatalogue: true, WantPacked: isPacked,
		})
		if err != nil {
			t.Fatal(err)
		}
		if hasText, hasPacked := len(answer.GetCatalogue()) > 0, len(answer.GetPackedCatalogue()) > 0; hasText == isPacked || hasPacked != isPacked {
			t.Errorf("WantPacked %v: got text %v, packed %v", isPacked, hasText, hasPacked)
		}
	}
}
