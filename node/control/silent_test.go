package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"flamingohall.example/node/relaytest"
	"flamingohall.example/node/rpc"
)

// behindRelay makes the cluster's only member reachable only through a relay.
func behindRelay(t *testing.T, c *cluster) *relaytest.Relay {
	t.Helper()
	relay, err := relaytest.Start(c.groups[0].address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	c.log.mutex.Lock()
	defer c.log.mutex.Unlock()
	c.groups[0].address = relay.Addr()
	return relay
}

// TestFailure_SilentConnectionIsReplacedWithoutLosingTheNode checks that a follower replaces an open connection that
// carries no more data, while new ones work. Control must hear from the node on the same VM before its lease expires.
func TestFailure_SilentConnectionIsReplacedWithoutLosingTheNode(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence func(*relaytest.Relay)
	}{
		{"both ways", (*relaytest.Relay).Silence},
		{"answers only", (*relaytest.Relay).SilenceAnswers},
	} {
		t.Run(c.name, func(t *testing.T) { testSilentConnection(t, c.silence) })
	}
}

func testSilentConnection(t *testing.T, silence func(*relaytest.Relay)) {
	c := newCluster(t, 1, testLease)
	relay := behindRelay(t, c)
	entry := c.follow(constant(entryNode("entry-1", "a")), []string{relay.Addr()})
	eventually(t, "the follower is served", func() bool { return entry.View() != nil })
	registered := entry.View().Nodes["entry-1"].GetChangedAt()
	for round := range 2 {
		silence(relay)
		apply(t, c, 0, fmt.Sprint("change-", round), uint64(round))
		eventually(t, "the change arrives on a new connection", func() bool {
			return entry.View().Revision == uint64(round+1)
		})
	}
	if entry.View().Nodes["entry-1"].GetChangedAt() != registered {
		t.Fatal("the node was declared lost while it was running")
	}
}

// TestFailure_SilentConnectionCostsAClaimOneAttempt checks that a claim on a silent connection is retried on a new one.
func TestFailure_SilentConnectionCostsAClaimOneAttempt(t *testing.T) {
	c := newCluster(t, 1, time.Hour)
	relay := behindRelay(t, c)
	entry := c.follow(constant(entryNode("entry-1", "a")), []string{relay.Addr()})
	eventually(t, "the follower is served", func() bool { return entry.View() != nil })
	relay.SilenceAnswers()
	ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
	defer cancel()
	request := &rpc.ClaimRequest{JobId: "job", Holder: "entry-1", HolderIncarnation: "a"}
	answer, err := entry.Control().Claim(ctx, request)
	if err != nil || answer.GetStatus() != rpc.ClaimStatus_CLAIM_STATUS_GRANTED {
		t.Fatalf("claim: %v, %v", answer, err)
	}
}
