package replica

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"flamingohall.example/node/settings"
)

func TestGroup_SingleMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.start()
		only := c.leader()
		only.propose("a")
		only.kill()
		only.start()
		c.leader()
		only.propose("b")
		only.wantList("a", "b")
	})
}

func TestGroup_ProposesAndConfirmsAtEveryMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		c.leader()
		for i, n := range c.nodes {
			n.propose(fmt.Sprint(i))
			for _, reader := range c.nodes {
				reader.wantList([]string{"0", "1", "2"}[:i+1]...)
			}
		}
	})
}

func TestGroup_SurvivesRestartsOfAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.snapshotEvery = 10
		c.start()
		var want []string
		for i := range 35 {
			want = append(want, fmt.Sprint(i))
			c.leader().propose(want[i])
		}
		for _, n := range c.nodes {
			n.kill()
		}
		c.start()
		c.leader()
		for _, n := range c.nodes {
			n.wantList(want...)
		}
	})
}

func TestGroup_StopTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		old := c.leader()
		old.propose("before")
		term := old.group.Status().Term
		if err := old.group.Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		old.stopListening()
		old.group = nil
		leader := c.leader()
		if got := leader.group.Status().Term; got != term+1 {
			t.Errorf("the new leader's term is %d, want %d: there was more than one election", got, term+1)
		}
		leader.propose("after")
		old.start()
		c.leader()
		old.wantList("before", "after")
	})
}

func TestGroup_SurvivesLeaderFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		old := c.leader()
		old.propose("before")
		old.kill()
		c.leader().propose("after")
		c.follower().wantList("before", "after")
		old.start()
		c.leader()
		old.wantList("before", "after")
	})
}

func TestGroup_LostDiskGetsNewIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.snapshotEvery = 5
		c.start()
		var want []string
		for i := range 12 {
			want = append(want, fmt.Sprint(i))
			c.leader().propose(want[i])
		}
		lost := c.follower()
		identity := lost.group.id
		lost.kill()
		if err := os.RemoveAll(lost.folder); err != nil {
			t.Fatal(err)
		}
		lost.start()
		if lost.group.id == identity {
			t.Fatal("the identity did not change")
		}
		lost.wantList(want...)
		waitVoters(t, c, 3)
		if _, found := findMember(c, identity); found {
			t.Error("the old identity is still a member")
		}
		// After the repair the group still works with one VM down.
		for _, n := range c.nodes {
			if n != lost && n != c.leader() {
				n.kill()
				break
			}
		}
		lost.propose("after")
		lost.wantList(append(want, "after")...)
	})
}

func TestGroup_AddsAndRemovesMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		c.leader().propose("a")
		caller := c.follower()
		added := c.addNode(3)
		initial := c.members
		c.members = nil
		added.start()
		c.members = initial
		member := c.members[0]
		member.ID, member.Address = added.id, added.address
		if err := caller.group.ChangeMember(testContext(t), member, false); err != nil {
			t.Fatal(err)
		}
		added.propose("b")
		added.wantList("a", "b")
		waitVoters(t, c, 4)
		if err := added.group.ChangeMember(testContext(t), member, true); err != nil {
			t.Fatal(err)
		}
		added.kill()
		waitVoters(t, c, 3)
		c.leader().propose("c")
		c.follower().wantList("a", "b", "c")
		// A leader transfers leadership before its own removal, and the next leader removes it.
		old := c.leader()
		removed := settings.Member{ID: old.id, Address: old.address}
		if err := old.group.ChangeMember(testContext(t), removed, true); err != nil {
			t.Fatal(err)
		}
		old.kill()
		waitVoters(t, c, 2)
		c.leader().propose("d")
	})
}
