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

// history records the results that callers got for their commands.
type history struct {
	mutex    sync.Mutex
	accepted map[string]bool
	rejected map[string]bool
	unknown  int
}

func (h *history) record(command string, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case err == nil:
		h.accepted[command] = true
	case fault.Is(err, fault.Unavailable):
		h.rejected[command] = true
	default:
		h.unknown++
	}
}

func (h *history) acceptedCommands() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var all []string
	for command := range h.accepted {
		all = append(all, command)
	}
	return all
}

// TestGroup_AnswersMatchTheLog runs callers at every VM while VMs are killed, restarted and cut off from the network.
// It checks that accepted commands stay applied, that rejected ones are never applied, that all VMs hold the same list,
// and that confirmed reads include all commands accepted before.
func TestGroup_AnswersMatchTheLog(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	const length = 15 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 3+2*int(seed%2))
	c.snapshotEvery = 50
	c.start()
	c.leader()
	recorded := &history{accepted: map[string]bool{}, rejected: map[string]bool{}}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var callers sync.WaitGroup
	// guard is a channel because synctest's clock does not advance while a goroutine waits for a mutex.
	guard := make(chan struct{}, 1)
	for i, n := range c.nodes {
		callers.Go(func() { runCaller(ctx, t, n, guard, recorded, i) })
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		injectFault(c, guard, random)
	}
	callers.Wait()
	for _, n := range c.nodes {
		c.network.cut(n.address, false)
		if n.group == nil {
			n.start()
		}
	}
	c.leader()
	reference := c.nodes[0]
	if _, err := reference.group.Confirm(testContext(t)); err != nil {
		t.Fatal(err)
	}
	list := reference.machine.list()
	for _, n := range c.nodes {
		n.wantList(list...)
	}
	recorded.check(t, list)
}

// injectFault kills, starts, cuts off or reconnects one VM. Only a minority is unavailable at a time, so that the group
// can make progress.
func injectFault(c *cluster, guard chan struct{}, random *rand.Rand) {
	guard <- struct{}{}
	defer func() { <-guard }()
	n := c.nodes[random.IntN(len(c.nodes))]
	unavailable := 0
	for _, other := range c.nodes {
		if other != n && (other.group == nil || c.network.isCut(other.address)) {
			unavailable++
		}
	}
	switch {
	case n.group == nil:
		n.start()
	case c.network.isCut(n.address):
		c.network.cut(n.address, false)
	case unavailable >= len(c.nodes)/2:
	case random.IntN(2) == 0:
		n.kill()
	default:
		c.network.cut(n.address, true)
	}
}

// runCaller proposes commands and makes confirmed reads at one VM until ctx ends.
func runCaller(ctx context.Context, t *testing.T, n *node, guard chan struct{}, recorded *history, number int) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(40 * time.Millisecond)
		guard <- struct{}{}
		group, machine := n.group, n.machine
		<-guard
		if group == nil {
			continue
		}
		if i%5 == 0 {
			before := recorded.acceptedCommands()
			if _, err := group.Confirm(ctx); err == nil {
				wantAll(t, before, machine.list())
			}
			continue
		}
		command := fmt.Sprintf("%d-%d", number, i)
		_, _, err := group.Propose(ctx, []byte(command))
		recorded.record(command, err)
	}
}

func wantAll(t *testing.T, commands, list []string) {
	t.Helper()
	present := map[string]bool{}
	for _, command := range list {
		present[command] = true
	}
	for _, command := range commands {
		if !present[command] {
			t.Errorf("a confirmed read lacks %s, which was accepted before", command)
		}
	}
}

func (h *history) check(t *testing.T, list []string) {
	t.Helper()
	t.Logf("%d accepted, %d rejected, %d unknown, %d applied", len(h.accepted), len(h.rejected), h.unknown, len(list))
	if len(h.accepted) < 100 {
		t.Error("too few commands were accepted for a meaningful check")
	}
	wantAll(t, h.acceptedCommands(), list)
	slices.Sort(list)
	for i, command := range list {
		if h.rejected[command] {
			t.Errorf("%s was rejected and is applied", command)
		}
		if i > 0 && list[i-1] == command {
			t.Errorf("%s is applied twice", command)
		}
	}
}
