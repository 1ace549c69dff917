package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flamingohall.example/core/registry"
	"flamingohall.example/core/state"
	"flamingohall.example/node/rpc"
)

// steppedWatch is a leaseWatch that a test runs once per simulated second, in addition to the role's own.
type steppedWatch struct {
	t          *testing.T
	role       *Role
	leaseWatch *leaseWatch
	now        time.Time
}

const testLease = 6 * time.Second

func newSteppedWatch(t *testing.T, c *cluster) *steppedWatch {
	t.Helper()
	return &steppedWatch{t: t, role: c.roles[0], leaseWatch: &leaseWatch{role: c.roles[0]}, now: time.Now()}
}

func (w *steppedWatch) advance(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		w.watch()
	}
}

func (w *steppedWatch) watch() {
	w.leaseWatch.watch(w.t.Context(), w.now)
	w.role.background.Wait()
}

func (w *steppedWatch) node(id string) (registry.Node, bool) {
	var node registry.Node
	var found bool
	w.role.machine.read(func(s *state.State) { node, found = s.Registry.Node(id) })
	return node, found
}

func (w *steppedWatch) expect(id string, want bool) {
	w.t.Helper()
	if _, found := w.node(id); found != want {
		w.t.Fatalf("%s registered: %v, want %v", id, found, want)
	}
}

func TestLeaseWatch_SilentNodesAreLostAfterALease(t *testing.T) {
	c := newCluster(t, 1, testLease)
	c.step(t, sidecarStep("silent", "x"))
	c.step(t, sidecarStep("heard", "x"))
	w := newSteppedWatch(t, c)
	w.watch()
	heard, _ := w.node("heard")
	for range 3 {
		w.advance(2)
		w.role.presence.heard(heard.Number, 0, w.now)
		w.expect("silent", true)
	}
	w.advance(1)
	w.expect("silent", false)
	w.expect("heard", true)
}

func TestLeaseWatch_FrozenLeaderRestartsLeases(t *testing.T) {
	c := newCluster(t, 1, testLease)
	c.step(t, sidecarStep("target", "x"))
	w := newSteppedWatch(t, c)
	w.watch()
	w.advance(3)
	w.now = w.now.Add(time.Hour)
	w.watch()
	w.expect("target", true)
	w.advance(6)
	w.expect("target", true)
	w.advance(1)
	w.expect("target", false)
}

func TestLeaseWatch_NewLeaderWaitsForALease(t *testing.T) {
	c := newCluster(t, 2, testLease)
	c.step(t, sidecarStep("target", "x"))
	w := newSteppedWatch(t, c)
	c.lead(1)
	w.watch()
	w.advance(30)
	w.expect("target", true)
	c.lead(0)
	w.advance(7)
	w.expect("target", true)
	w.advance(1)
	w.expect("target", false)
}

func TestLeaseWatch_NodeChangedMeanwhileIsKept(t *testing.T) {
	c := newCluster(t, 1, testLease)
	c.step(t, sidecarStep("target", "x"))
	w := newSteppedWatch(t, c)
	node, _ := w.node("target")
	c.step(t, state.Step{Announce: &registry.Node{ID: "target", Role: registry.Sidecar, Incarnation: "x", Leaving: true}})
	w.leaseWatch.proposeLoss(t.Context(), node, testLease)
	w.role.background.Wait()
	w.expect("target", true)
}

func TestLeaseWatch_TicksAdvanceByElapsedTime(t *testing.T) {
	c := newCluster(t, 1, time.Hour)
	w := newSteppedWatch(t, c)
	w.watch()
	w.advance(60)
	var clock int64
	w.role.machine.read(func(s *state.State) { clock = s.ClockMS })
	if clock < 40_000 || clock > 60_000 {
		t.Fatalf("after 60 s the state's clock is at %d ms", clock)
	}
}

func TestRole_LostNodeComesBack(t *testing.T) {
	c := newCluster(t, 1, testLease)
	entry := c.follow(constant(entryNode("entry-1", "a")), c.addresses())
	sidecar := c.follow(constant(sidecarNode("target-1", "b")), c.addresses())
	eventually(t, "the target is seen", func() bool {
		return sidecar.View() != nil && entry.View() != nil && entry.View().Nodes["target-1"] != nil
	})
	before := entry.View().Nodes["target-1"].GetChangedAt()
	c.step(t, state.Step{Lose: &state.Loss{
		Process: state.Process{ID: "target-1", Incarnation: "b"}, ChangedAt: before,
	}})
	eventually(t, "the target is back", func() bool {
		return entry.View().Nodes["target-1"].GetChangedAt() > before
	})
}

func TestRole_LostHolderIsNoLongerLive(t *testing.T) {
	c := newCluster(t, 1, time.Second)
	request := &rpc.ClaimRequest{JobId: "job", Holder: "entry-1", HolderIncarnation: "a"}
	if _, err := c.control(0).Sync(t.Context(), &rpc.SyncRequest{Node: entryNode("entry-1", "a")}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.control(0).Claim(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	request.Holder = "entry-2"
	eventually(t, "the silent holder is no longer live", func() bool {
		answer, err := c.control(0).Claim(t.Context(), request)
		return err == nil && answer.GetStatus() == rpc.ClaimStatus_CLAIM_STATUS_HELD && !answer.GetHolderLive()
	})
}

// TestPresence_DigestsNeverMakeANodeLookFresher checks two reporting VMs and a leader while digests are lost.
func TestPresence_DigestsNeverMakeANodeLookFresher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := newPresence()
		reporters := []*presence{newPresence(), newPresence()}
		now := time.Unix(1_000, 0)
		heardAt := map[uint64]time.Time{}
		delivered := map[uint64]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			reporter := reporters[rapid.IntRange(0, 1).Draw(t, "reporter")]
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0, 1:
				number := rapid.Uint64Range(1, 4).Draw(t, "number")
				reporter.heard(number, rapid.Uint64Range(1, 2).Draw(t, "revision"), now)
				heardAt[number] = now
			case 2:
				digest, numbers := reporter.digest("control-1", 2, now)
				if rapid.Bool().Draw(t, "lost") {
					reporter.restore(numbers)
					continue
				}
				leader.merge(digest, now)
				for _, number := range numbers {
					got, _ := reporter.last(number)
					if got.at.After(delivered[number]) {
						delivered[number] = got.at
					}
				}
			}
		}
		for number, at := range delivered {
			got, found := leader.last(number)
			if !found || got.at.After(heardAt[number]) || got.at.Before(at.Add(-ageUnit)) {
				t.Fatalf("node %d: leader has %v, delivered %v, heard %v", number, got.at, at, heardAt[number])
			}
		}
	})
}

func TestPresence_ForgetsTheUnregistered(t *testing.T) {
	p := newPresence()
	for number := range uint64(10) {
		p.heard(number, 1, time.Now())
	}
	p.forget(map[uint64]bool{3: true})
	if len(p.seen) != 1 || len(p.unreported) != 1 {
		t.Fatal(fmt.Sprint(p.seen, p.unreported))
	}
}
