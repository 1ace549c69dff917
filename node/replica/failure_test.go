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

// stepDownBound is how long a leader that is cut off may go on believing that it leads.
const stepDownBound = (electionTicks + heartbeatTicks + 1) * TickPeriod

// TestGroup_PartitionedLeaderStepsDown shows that a leader behind a silent cut stops leading within an election
// timeout, answers neither reads nor changes, and disturbs nobody when it returns.
func TestGroup_PartitionedLeaderStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		old := c.leader()
		old.propose("before")
		c.network.cut(old.address, true)
		_, _, err := old.group.Propose(testContext(t), []byte("lost"))
		if !fault.Is(err, fault.Unknown) {
			t.Errorf("a change taken by the cut-off leader gives %v", err)
		}
		time.Sleep(stepDownBound)
		if old.group.Status().IsLeader || old.group.Ready() == nil {
			t.Error("the cut-off leader still leads")
		}
		if _, err := old.group.Confirm(testContext(t)); !fault.Is(err, fault.Unavailable) {
			t.Errorf("a read at the cut-off VM gives %v", err)
		}
		if _, _, err := old.group.Propose(testContext(t), []byte("refused")); !fault.Is(err, fault.Unavailable) {
			t.Errorf("a change at the cut-off VM gives %v", err)
		}
		leader := c.otherLeader(old)
		leader.propose("after")
		term := leader.group.Status().Term
		c.network.cut(old.address, false)
		old.wantList("before", "after")
		if status := c.leader().group.Status(); status.Term != term || status.Leader != leader.id {
			t.Errorf("the returned VM disturbed the group: leader %s of term %d, was %s of term %d",
				status.Leader, status.Term, leader.id, term)
		}
	})
}

// TestGroup_StorageFailures shows that a VM whose sync fails or whose disk is full stops taking part with a typed
// error, that the group goes on, and that a restart after the repair loses nothing.
func TestGroup_StorageFailures(t *testing.T) {
	for name, breakDisk := range map[string]func(*faultyFiles, bool){
		"sync": func(f *faultyFiles, isBroken bool) { f.syncsFail.Store(isBroken) },
		"full": func(f *faultyFiles, isBroken bool) { f.isFull.Store(isBroken) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.start()
				broken := c.leader()
				broken.propose("before")
				breakDisk(broken.files, true)
				_, _, err := broken.group.Propose(testContext(t), []byte("uncertain"))
				if !fault.Is(err, fault.Unknown) && !fault.Is(err, fault.Unavailable) {
					t.Errorf("the change gives %v", err)
				}
				time.Sleep(time.Second)
				if failure := broken.group.Ready(); !fault.Is(failure, fault.Storage) || fault.Of(failure).Remedy == "" {
					t.Errorf("the VM says %v", failure)
				}
				if _, _, err := broken.group.Propose(testContext(t), nil); !fault.Is(err, fault.Unavailable) {
					t.Errorf("a change at the broken VM gives %v", err)
				}
				broken.kill()
				c.leader().propose("after")
				want := c.leader().machine.list()
				breakDisk(broken.files, false)
				broken.start()
				broken.wantList(want...)
			})
		})
	}
}

// TestGroup_NoSecondGroup shows that a founder that lost its disk does not found again while the others are away.
func TestGroup_NoSecondGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		c.leader().propose("kept")
		for _, n := range c.nodes {
			n.kill()
		}
		founder := c.nodes[0]
		if err := os.RemoveAll(founder.folder); err != nil {
			t.Fatal(err)
		}
		founder.start()
		time.Sleep(time.Minute)
		if view := founder.group.view.Load(); view.Group != 0 || view.Term != 0 {
			t.Fatalf("the VM alone belongs to group %d", view.Group)
		}
		c.nodes[1].start()
		c.nodes[2].start()
		waitVoters(t, c, 3)
		founder.wantList("kept")
	})
}

// TestGroup_InstallsLargeSnapshot shows that a VM that was away while the log was compacted gets the state in chunks.
func TestGroup_InstallsLargeSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.snapshotEvery = 100
		c.start()
		away := c.follower()
		away.kill()
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
		away.start()
		away.wantList(want...)
		away.kill()
		away.start()
		away.wantList(want...)
	})
}

// TestGroup_StatusShowsStaleness shows that ConfirmedAt stops where a VM lost touch with the leader.
func TestGroup_StatusShowsStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		alone := c.follower()
		time.Sleep(time.Second)
		if age := time.Since(alone.group.Status().ConfirmedAt); age > 4*heartbeatTicks*TickPeriod {
			t.Errorf("a follower in touch is %v old", age)
		}
		c.network.cut(alone.address, true)
		time.Sleep(time.Minute)
		if age := time.Since(alone.group.Status().ConfirmedAt); age < 59*time.Second {
			t.Errorf("after a minute alone the follower says it is %v old", age)
		}
	})
}
