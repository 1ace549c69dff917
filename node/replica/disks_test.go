package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"flamingohall.example/core/fault"
)

// diskHistory proposes changes while disks fail, hang and recover, and VMs are killed and restarted.
type diskHistory struct {
	*cluster
	random *rand.Rand
	calls  sync.WaitGroup

	mutex   sync.Mutex
	results map[string]error
	number  int
}

// TestGroup_AnswersAreTrueWhateverTheDisksDo guards against changes that are acknowledged and lost, or refused as without effect
// and applied, and against a group that stays out of service although a majority of its VMs runs with working disks.
func TestGroup_AnswersAreTrueWhateverTheDisksDo(t *testing.T) {
	const seeds = uint64(3)
	for _, size := range []int{1, 2, 3, 5} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d VMs, seed %d", size, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, size)
					c.snapshotEvery = 20
					c.start()
					c.leader()
					h := &diskHistory{cluster: c, random: rand.New(rand.NewPCG(seed, uint64(size))), results: map[string]error{}}
					for range 5 {
						for range 20 {
							h.step()
						}
						h.majorityServes()
					}
					h.check()
				})
			})
		}
	}
}

// step changes the state of one VM or its disk, proposes some changes, and lets time pass.
func (h *diskHistory) step() {
	n := h.nodes[h.random.IntN(len(h.nodes))]
	switch h.random.IntN(8) {
	case 0, 1:
		n.files.isFull.Store(true)
	case 2:
		n.files.syncsFail.Store(true)
	case 3:
		n.files.syncTime.Store(int64(h.random.IntN(5000)) * int64(time.Millisecond))
	case 4, 5:
		n.repair()
	case 6:
		if n.group != nil {
			n.kill()
		}
	case 7:
		if n.group == nil {
			n.start()
		}
	}
	for range h.random.IntN(4) {
		h.propose(h.nodes[h.random.IntN(len(h.nodes))])
	}
	time.Sleep(time.Duration(h.random.IntN(2000)) * time.Millisecond)
}

func (n *node) repair() {
	n.files.isFull.Store(false)
	n.files.syncsFail.Store(false)
	n.files.syncTime.Store(0)
}

// propose proposes a change in the background and records the result.
func (h *diskHistory) propose(n *node) {
	group := n.group
	if group == nil {
		return
	}
	h.number++
	command := fmt.Sprint("c", h.number)
	h.calls.Go(func() {
		_, _, err := group.Propose(context.Background(), []byte(command))
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.results[command] = err
	})
}

// majorityServes lets a majority run with working disks, and checks that each of its VMs serves a change and a read.
func (h *diskHistory) majorityServes() {
	h.t.Helper()
	working := h.random.Perm(len(h.nodes))[:len(h.nodes)/2+1]
	for _, position := range working {
		n := h.nodes[position]
		n.repair()
		if n.group == nil {
			n.start()
		}
	}
	// Writes that hang return after 5 s. The recovery must not take longer than 12 s.
	time.Sleep(17 * time.Second)
	for _, position := range working {
		n := h.nodes[position]
		command, err := h.proposeNow(n)
		if fault.Is(err, fault.Unknown) {
			// A leader outside the majority learns only from a write that its disk hangs, and hands over then.
			command, err = h.proposeNow(n)
		}
		if err != nil {
			h.t.Errorf("%s: a change is not served: %v", n.id, err)
		}
		if _, err := n.group.Confirm(testContext(h.t)); err != nil || !slices.Contains(n.machine.list(), command) {
			h.t.Errorf("%s: a read is not served: %v", n.id, err)
		}
	}
}

// proposeNow proposes a change and records the result.
func (h *diskHistory) proposeNow(n *node) (command string, err error) {
	h.number++
	command = fmt.Sprint("c", h.number)
	_, _, err = n.group.Propose(testContext(h.t), []byte(command))
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.results[command] = err
	return command, err
}

// check checks the results once all VMs run with working disks.
func (h *diskHistory) check() {
	h.t.Helper()
	for _, n := range h.nodes {
		n.repair()
		if n.group == nil {
			n.start()
		}
	}
	h.calls.Wait()
	time.Sleep(17 * time.Second)
	want := h.leader().machine.list()
	for _, n := range h.nodes {
		n.wantList(want...)
	}
	applied := map[string]int{}
	for _, command := range want {
		applied[command]++
	}
	for command, err := range h.results {
		count := applied[command]
		switch {
		case count > 1, err == nil && count != 1, fault.Is(err, fault.Unavailable) && count != 0:
			h.t.Errorf("%s is applied %d times, its answer was %v", command, count, err)
		case err != nil && !fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Unknown):
			h.t.Errorf("%s: error %v", command, err)
		}
	}
}
