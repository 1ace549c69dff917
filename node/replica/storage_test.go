package replica

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"flamingohall.example/core/fault"
)

// wantStorageError checks that the VM reports that its storage takes no writes.
func (n *node) wantStorageError() {
	n.cluster.t.Helper()
	if failure := n.group.Ready(); !fault.Is(failure, fault.Storage) || fault.Of(failure).Remedy == "" {
		n.cluster.t.Errorf("%s: Ready returns %v, want fault.Storage with a remedy", n.id, failure)
	}
	if n.group.storage.message() == "" || n.group.options.Metrics.Counter("replica_storage_failures") == 0 {
		n.cluster.t.Errorf("%s: the metrics don't show the storage failure", n.id)
	}
}

// wantStorageWorks waits until all VMs are ready, and checks that none shows an error any more.
func (c *cluster) wantStorageWorks() {
	c.t.Helper()
	for _, n := range c.nodes {
		for ctx := testContext(c.t); n.group.Ready() != nil; time.Sleep(5 * time.Millisecond) {
			if ctx.Err() != nil {
				c.t.Fatalf("%s is not ready: %v", n.id, n.group.Ready())
			}
		}
		if message := n.group.storage.message(); message != "" {
			c.t.Errorf("%s still shows the storage failure %q", n.id, message)
		}
	}
}

func (c *cluster) setFull(isFull bool) {
	for _, n := range c.nodes {
		n.files.isFull.Store(isFull)
	}
}

// TestGroup_FollowerWithAFullDiskCatchesUp guards against a follower that stays behind, or has its callers wait, because its
// disk was full.
func TestGroup_FollowerWithAFullDiskCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		full := c.follower()
		full.files.isFull.Store(true)
		c.leader().propose("a")
		time.Sleep(time.Second)
		full.wantStorageError()
		if age := time.Since(full.group.Status().ConfirmedAt); age < time.Second-electionTimeout {
			t.Errorf("the state that can't follow the leader is shown as %v old", age)
		}
		start := time.Now()
		if _, err := full.group.Confirm(testContext(t)); !fault.Is(err, fault.Unavailable) {
			t.Errorf("a read at the VM that can't store the latest change: got error %v, want fault.Unavailable", err)
		}
		if took := time.Since(start); took >= electionTimeout {
			t.Errorf("a read that can't be served was refused after %v", took)
		}
		full.propose("b")
		leader := c.leader()
		time.Sleep(time.Minute)
		full.files.isFull.Store(false)
		c.wantStorageWorks()
		full.wantList("a", "b")
		if c.leader() != leader {
			t.Error("the VM deposed the leader when its disk had space again")
		}
	})
}

// TestGroup_AllDisksFull guards against changes that wait for storage in vain, or are acknowledged and lost, and against a
// group that doesn't recover.
func TestGroup_AllDisksFull(t *testing.T) {
	for size := 1; size <= 3; size += 2 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, size)
			c.start()
			c.leader().propose("before")
			c.setFull(true)
			for round := range 3 {
				for _, n := range c.nodes {
					start := time.Now()
					_, _, err := n.group.Propose(testContext(t), fmt.Appendf(nil, "%d", round))
					took := time.Since(start)
					if !fault.Is(err, fault.Unknown) && !fault.Is(err, fault.Unavailable) {
						t.Errorf("group of %d: a change while all disks are full: got error %v", size, err)
					}
					if took > searchTimeout+retryInterval || round > 0 && n.group.storage.failure() != nil && took > retryInterval {
						t.Errorf("group of %d: %s refused a change in round %d after %v", size, n.id, round, took)
					}
				}
				time.Sleep(2 * time.Second)
			}
			c.setFull(false)
			c.wantStorageWorks()
			c.leader().propose("after")
			want := c.leader().machine.list()
			if want[0] != "before" || want[len(want)-1] != "after" {
				t.Errorf("the state holds %v", want)
			}
			for _, n := range c.nodes {
				n.wantList(want...)
			}
		})
	}
}

// TestGroup_ReadsGoOnWithoutSpaceForChanges guards against reads that fail because a majority of the disks is full, although a
// leader can still confirm them.
func TestGroup_ReadsGoOnWithoutSpaceForChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		leader := c.leader()
		leader.propose("before")
		first := c.follower()
		second := c.followerBut(first)
		first.files.isFull.Store(true)
		leader.propose("stored by two")
		second.files.isFull.Store(true)
		_, _, err := leader.group.Propose(testContext(t), []byte("stored by one"))
		if !fault.Is(err, fault.Unknown) {
			t.Errorf("a change accepted before the second disk is known to be full: got error %v, want fault.Unknown", err)
		}
		leader.files.isFull.Store(true)
		for _, n := range c.nodes {
			start := time.Now()
			_, _, err := n.group.Propose(testContext(t), []byte("refused"))
			if !fault.Is(err, fault.Unavailable) || time.Since(start) > retryInterval {
				t.Errorf("%s: a change without space: got error %v after %v", n.id, err, time.Since(start))
			}
		}
		time.Sleep(10 * time.Second)
		if c.leader() != leader {
			t.Error("the leader changed although no other VM can be elected")
		}
		leader.wantList("before", "stored by two")
		if age := time.Since(leader.group.Status().ConfirmedAt); age > electionTimeout {
			t.Errorf("the contact of the leader with a majority is %v old", age)
		}
		c.setFull(false)
		c.wantStorageWorks()
		for _, n := range c.nodes {
			n.wantList("before", "stored by two", "stored by one")
		}
	})
}

// TestGroup_DiskFullAtARestart guards against a VM that can't start because its disk is full, and against a majority that
// does not return.
func TestGroup_DiskFullAtARestart(t *testing.T) {
	for _, count := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 3)
			c.start()
			c.leader().propose("before")
			want := []string{"before"}
			restarted := c.nodes[:count]
			for _, n := range restarted {
				n.kill()
				n.files.isFull.Store(true)
			}
			for _, n := range restarted {
				n.start()
			}
			time.Sleep(5 * time.Second)
			for _, n := range restarted {
				n.wantStorageError()
				if status := n.group.Status(); status.Leader != "" {
					t.Errorf("%s follows %s before its contents are durable", n.id, status.Leader)
				}
			}
			if count == 1 {
				c.otherLeader(c.nodes[0]).propose("while full")
				want = append(want, "while full")
			}
			c.setFull(false)
			c.wantStorageWorks()
			c.leader().propose("after")
			for _, n := range c.nodes {
				n.wantList(append(want, "after")...)
			}
		})
	}
}

// TestGroup_SendsNothingBeforeItsContentsAreDurable guards against votes and acknowledgements that rest on what a failed
// sync left in the page cache.
func TestGroup_SendsNothingBeforeItsContentsAreDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.start()
		c.leader().propose("before")
		restarted := c.follower()
		restarted.kill()
		restarted.files.isFull.Store(true)
		restarted.start()
		time.Sleep(10 * time.Second)
		for _, n := range c.nodes {
			if status := n.group.Status(); status.Leader != "" {
				t.Errorf("%s has the leader %s although one of two VMs must not vote", n.id, status.Leader)
			}
		}
		c.setFull(false)
		c.leader().propose("after")
	})
}

// TestGroup_DiskFullAtTheFirstStart guards against a data folder that a failed first start makes unusable.
func TestGroup_DiskFullAtTheFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		full := c.nodes[0]
		full.files.isFull.Store(true)
		if err := full.open(); !fault.Is(err, fault.Storage) || fault.Of(err).Remedy == "" {
			t.Fatalf("the first start on a full disk: got error %v, want fault.Storage with a remedy", err)
		}
		full.files.isFull.Store(false)
		c.start()
		c.leader().propose("a")
		full.wantList("a")
	})
}

// TestGroup_DiskFullAtASnapshot guards against a replica that ends, or loses changes, because a snapshot can't be saved, also
// if it is restarted meanwhile.
func TestGroup_DiskFullAtASnapshot(t *testing.T) {
	for _, isRestart := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 3)
			c.snapshotEvery = 10
			c.start()
			full := c.follower()
			var want []string
			propose := func() {
				want = append(want, fmt.Sprint(len(want)))
				c.otherLeader(full).propose(want[len(want)-1])
			}
			// The entries of the snapshot are stored, the snapshot itself is not.
			for range 8 {
				propose()
			}
			full.files.fullFor.Store(".snapshot")
			for range 30 {
				propose()
			}
			time.Sleep(time.Second)
			full.wantStorageError()
			if isRestart {
				full.kill()
				full.files.isFull.Store(true)
				full.start()
				propose()
				time.Sleep(time.Second)
				full.wantStorageError()
			}
			full.files.fullFor.Store("")
			full.files.isFull.Store(false)
			c.wantStorageWorks()
			full.wantList(want...)
			for range 30 {
				propose()
			}
			full.wantList(want...)
			full.kill()
			for _, name := range full.fileNames() {
				if strings.HasSuffix(name, ".tmp") {
					t.Errorf("%s is left behind", name)
				}
			}
			full.start()
			full.wantList(want...)
		})
	}
}

func (n *node) fileNames() []string {
	n.cluster.t.Helper()
	entries, err := os.ReadDir(n.folder)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names
}

// TestGroup_DiskFullWhileTheGroupIsCreated guards against initial members that give up because the group can't be stored at
// the first attempt.
func TestGroup_DiskFullWhileTheGroupIsCreated(t *testing.T) {
	// The others store nothing before the creator, which has the lowest id, has created the group.
	for name, victims := range map[string][]int{"creator": {0}, "one other": {2}, "others": {1, 2}, "all": {0, 1, 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				for i, n := range c.nodes {
					if err := n.open(); err != nil {
						t.Fatal(err)
					}
					// The last segment is rewritten at the start.
					if err := n.group.log.Prepare(); err != nil {
						t.Fatal(err)
					}
					n.files.isFull.Store(slices.Contains(victims, i))
				}
				for _, n := range c.nodes {
					n.run()
				}
				time.Sleep(5 * time.Second)
				for _, i := range victims {
					if victims[0] != 0 || i == 0 {
						c.nodes[i].wantStorageError()
					}
				}
				c.setFull(false)
				c.wantStorageWorks()
				c.leader().propose("a")
				for _, n := range c.nodes {
					n.wantList("a")
				}
			})
		})
	}
}

// TestGroup_LeaderWhoseStorageHangsHandsOver guards against a leader that keeps leading and applies nothing while its writes
// do not return.
func TestGroup_LeaderWhoseStorageHangsHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		hanging := c.leader()
		hanging.propose("before")
		hanging.files.syncTime.Store(int64(10 * time.Second))
		start := time.Now()
		_, _, err := hanging.group.Propose(testContext(t), []byte("uncertain"))
		if !fault.Is(err, fault.Unknown) || time.Since(start) > stallTimeout {
			t.Errorf("a change at the hanging leader: got error %v after %v", err, time.Since(start))
		}
		hanging.files.syncTime.Store(0)
		hanging.propose("through the VM that hangs")
		if took := time.Since(start); took > stallTimeout+electionTimeout {
			t.Errorf("the next change is served after %v", took)
		}
		if hanging.group.storage.message() == "" {
			t.Error("the metrics don't show that the storage hangs")
		}
		start = time.Now()
		if _, err := hanging.group.Confirm(testContext(t)); !fault.Is(err, fault.Unavailable) ||
			time.Since(start) > electionTimeout {
			t.Errorf("a read at the VM that hangs: got error %v after %v, want fault.Unavailable", err, time.Since(start))
		}
		time.Sleep(10 * time.Second)
		c.wantStorageWorks()
		for _, n := range c.nodes {
			n.wantCommands("before", "uncertain", "through the VM that hangs")
		}
	})
}

// TestGroup_KeepsALeaderIfAllDisksAreSlow guards against leaders that hand over to one another because each write takes
// longer than the bound for a hanging one.
func TestGroup_KeepsALeaderIfAllDisksAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		leader := c.leader()
		c.setSyncTime(2 * stallTimeout)
		for i := range 5 {
			leader.propose(fmt.Sprint(i))
		}
		if c.leader() != leader {
			t.Error("the leader changed")
		}
	})
}

// TestGroup_EndsIfSyncedBytesHaveChanged guards against a replica that goes on, and acknowledges changes, although its log is
// corrupted.
func TestGroup_EndsIfSyncedBytesHaveChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start()
		broken := c.follower()
		broken.files.syncsFail.Store(true)
		c.leader().propose("a")
		time.Sleep(time.Second)
		path := filepath.Join(broken.folder, "0000000000000001.wal")
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		data[20] ^= 1
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		broken.files.syncsFail.Store(false)
		time.Sleep(2 * lastRetry)
		broken.wantStorageError()
		if failure := fault.Of(broken.group.Ready()); !strings.Contains(failure.Remedy, "replace this VM") {
			t.Errorf("Ready returns %v, want the remedy to replace the VM", failure)
		}
		select {
		case <-broken.group.ended:
		default:
			t.Error("the replica goes on")
		}
		c.otherLeader(broken).propose("b")
	})
}
