package replica

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"flamingohall.example/core/fault"
)

// stepDownBound is the longest time for which a leader that is cut off may continue to believe that it leads.
const stepDownBound = (electionTicks + heartbeatTicks + 1) * TickPeriod

// TestGroup_PartitionedLeaderStepsDown checks that a leader that is cut off stops leading within an election timeout,
// serves neither reads nor changes, and does not cause an election when it is connected again.
func TestGroup_PartitionedLeaderStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		old := c.leader()
		old.propose("before")
		c.network.cut(old.address, true)
		_, _, err := old.group.Propose(testContext(t), []byte("lost"))
		if !fault.Is(err, fault.Unknown) {
			t.Errorf("Propose at the leader that was just cut off: got error %v, want fault.Unknown", err)
		}
		time.Sleep(stepDownBound)
		if old.group.Status().IsLeader || old.group.Ready() == nil {
			t.Error("the cut-off leader still leads")
		}
		if _, err := old.group.Confirm(testContext(t)); !fault.Is(err, fault.Unavailable) {
			t.Errorf("Confirm at the VM that is cut off: got error %v, want fault.Unavailable", err)
		}
		if _, _, err := old.group.Propose(testContext(t), []byte("refused")); !fault.Is(err, fault.Unavailable) {
			t.Errorf("Propose at the VM that is cut off: got error %v, want fault.Unavailable", err)
		}
		leader := c.otherLeader(old)
		leader.propose("after")
		term := leader.group.Status().Term
		c.network.cut(old.address, false)
		old.wantList("before", "after")
		if status := c.leader().group.Status(); status.Term != term || status.Leader != leader.id {
			t.Errorf("the VM that returned caused an election: leader %s in term %d, was %s in term %d",
				status.Leader, status.Term, leader.id, term)
		}
	})
}

// TestGroup_StorageFailures checks that a leader whose sync fails or whose disk is full hands over, reports a typed error,
// and passes changes on to the new leader, and that nothing is lost after the repair, with a restart or without.
func TestGroup_StorageFailures(t *testing.T) {
	for name, breakDisk := range map[string]func(*faultyFiles, bool){
		"sync": func(f *faultyFiles, isBroken bool) { f.syncsFail.Store(isBroken) },
		"full": func(f *faultyFiles, isBroken bool) { f.isFull.Store(isBroken) },
	} {
		for _, isRestart := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", restart ", isRestart), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, 3)
					c.start()
					broken := c.leader()
					broken.propose("before")
					breakDisk(broken.files, true)
					start := time.Now()
					_, _, err := broken.group.Propose(testContext(t), []byte("uncertain"))
					if !fault.Is(err, fault.Unknown) && !fault.Is(err, fault.Unavailable) {
						t.Errorf("Propose during the storage failure: got error %v", err)
					}
					c.otherLeader(broken).propose("after")
					if took := time.Since(start); took >= electionTimeout {
						t.Errorf("the next change took %v, as long as an election timeout", took)
					}
					broken.wantStorageError()
					broken.propose("through the VM whose storage fails")
					want := c.otherLeader(broken).machine.list()
					if isRestart {
						broken.kill()
					}
					breakDisk(broken.files, false)
					if isRestart {
						broken.start()
					}
					c.wantStorageWorks()
					broken.wantList(want...)
					broken.propose("after the repair")
				})
			})
		}
	}
}

// TestGroup_DisksFullInTurnDoNotEndTheGroup guards against replicas that stay out of the group after their disks have space
// again. With the second such replica of three, the group would have no majority for good.
func TestGroup_DisksFullInTurnDoNotEndTheGroup(t *testing.T) {
	for name, victims := range map[string]func(*cluster) [2]*node{
		"the leaders": func(c *cluster) [2]*node { return [2]*node{c.leader(), nil} },
		"followers":   func(c *cluster) [2]*node { f := c.follower(); return [2]*node{f, c.followerBut(f)} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.start()
				c.leader().propose("before")
				want := []string{"before"}
				for i, victim := range victims(c) {
					if victim == nil {
						victim = c.leader()
					}
					victim.files.isFull.Store(true)
					command := fmt.Sprintf("while disk %d is full", i)
					c.otherLeaderAfterProposal(victim, command)
					want = append(want, command)
					time.Sleep(4 * time.Second)
					victim.files.isFull.Store(false)
					time.Sleep(4 * time.Second)
				}
				c.leader().propose("after")
				for _, n := range c.nodes {
					n.wantCommands(append(want, "after")...)
				}
			})
		})
	}
}

// TestGroup_NoSecondGroup checks that an initial member that lost its disk does not create a second group while the
// other members are down.
func TestGroup_NoSecondGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		c.leader().propose("kept")
		for _, n := range c.nodes {
			n.kill()
		}
		lost := c.nodes[0]
		if err := os.RemoveAll(lost.folder); err != nil {
			t.Fatal(err)
		}
		lost.start()
		time.Sleep(time.Minute)
		if view := lost.group.view.Load(); view.Group != 0 || view.Term != 0 {
			t.Fatalf("the VM that lost its disk belongs to group %d without the others", view.Group)
		}
		c.nodes[1].start()
		c.nodes[2].start()
		waitVoters(t, c, 3)
		lost.wantList("kept")
	})
}

// TestGroup_InstallsLargeSnapshot checks that a VM that was down while the log was compacted gets the state in chunks.
func TestGroup_InstallsLargeSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.snapshotEvery = 100
		c.start()
		lagging := c.follower()
		lagging.kill()
		large := strings.Repeat("x", 20_000)
		var want []string
		for i := range keepEntries + 200 {
			command := fmt.Sprint(i)
			if i%20 == 0 {
				command += large
			}
			want = append(want, command)
		}
		for _, command := range want {
			c.leader().propose(command)
		}
		if first := c.leader().group.view.Load().FirstIndex; first < 50 {
			t.Fatalf("the log starts at %d: it was not compacted", first)
		}
		lagging.start()
		lagging.wantList(want...)
		lagging.kill()
		lagging.start()
		lagging.wantList(want...)
	})
}

// TestGroup_StatusShowsStaleness checks that ConfirmedAt does not advance after a VM has lost contact with the leader.
func TestGroup_StatusShowsStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		isolated := c.follower()
		time.Sleep(time.Second)
		if age := time.Since(isolated.group.Status().ConfirmedAt); age > 4*heartbeatTicks*TickPeriod {
			t.Errorf("the state of a connected follower is %v old", age)
		}
		c.network.cut(isolated.address, true)
		time.Sleep(time.Minute)
		if age := time.Since(isolated.group.Status().ConfirmedAt); age < 59*time.Second {
			t.Errorf("after a minute without contact the state of the follower is %v old", age)
		}
	})
}
