package registry

import (
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// follower applies deltas like a node that follows the registry.
type follower struct {
	known     uint64
	nodes     map[string]Node
	fullSyncs int
}

func (f *follower) sync(r *Registry, index uint64) {
	changed, removed, ok := r.Delta(f.known)
	if !ok || f.known == 0 {
		f.nodes = map[string]Node{}
		changed, removed = r.Nodes(), nil
		f.fullSyncs++
	}
	for _, id := range removed {
		delete(f.nodes, id)
	}
	for _, node := range changed {
		f.nodes[node.ID] = node
	}
	f.known = index
}

// registryModel drives a registry and followers that sync with it at random times.
type registryModel struct {
	registry  *Registry
	index     uint64
	followers []*follower
	ended     map[[2]string]bool
	drained   map[string]bool
	changes   int
}

func (m *registryModel) pick(t *rapid.T) (id, incarnation string) {
	id = rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
	return id, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "incarnation"))
}

func (m *registryModel) announce(t *rapid.T) {
	id, incarnation := m.pick(t)
	m.index++
	before, found := m.registry.Node(id)
	node := Node{ID: id, Incarnation: incarnation, Role: Sidecar, Leaving: rapid.Bool().Draw(t, "leaving")}
	accepted := m.registry.Announce(node, m.index)
	if accepted == m.ended[[2]string{id, incarnation}] {
		t.Fatalf("%s/%s: accepted %v", id, incarnation, accepted)
	}
	if !accepted {
		return
	}
	if found && before.Incarnation != incarnation {
		m.ended[[2]string{id, before.Incarnation}] = true
		if m.registry.Live(id, before.Incarnation) {
			t.Fatal("the replaced incarnation is still live")
		}
	}
	after, _ := m.registry.Node(id)
	if numbered, found := m.registry.NodeByNumber(after.Number); !found || numbered != after {
		t.Fatalf("number %d identifies %v", after.Number, numbered)
	}
	if after.Drained != m.drained[id] {
		t.Fatal("the announcement changed the node's drain")
	}
}

func (m *registryModel) goodbye(t *rapid.T) {
	id, incarnation := m.pick(t)
	m.index++
	m.registry.Goodbye(id, incarnation, m.index)
	m.ended[[2]string{id, incarnation}] = true
	if m.registry.Live(id, incarnation) {
		t.Fatal("live after goodbye")
	}
}

func (m *registryModel) lose(t *rapid.T) {
	id, _ := m.pick(t)
	m.index++
	node, found := m.registry.Node(id)
	if m.registry.RemoveLost(id, node.Incarnation, node.ChangedAt-1, m.index) {
		t.Fatal("removed a node whose record has changed since")
	}
	if m.registry.RemoveLost(id, node.Incarnation, node.ChangedAt, m.index) != found {
		t.Fatal("the result of RemoveLost differs from whether the node was registered")
	}
}

func (m *registryModel) drain(t *rapid.T) {
	id, _ := m.pick(t)
	m.index++
	change := fmt.Sprint("c", rapid.IntRange(0, m.changes).Draw(t, "change"))
	fresh := change == fmt.Sprint("c", m.changes)
	if fresh {
		m.changes++
	}
	want := rapid.Bool().Draw(t, "drained")
	found := m.registry.Drain(change, id, want, m.index)
	if fresh && found {
		m.drained[id] = want
	}
	node, registered := m.registry.Node(id)
	if registered && node.Drained != m.drained[id] {
		t.Fatal("the record differs from the last new drain")
	}
}

func (m *registryModel) follow(t *rapid.T) {
	f := rapid.SampledFrom(m.followers).Draw(t, "follower")
	f.sync(m.registry, m.index)
	if !maps.Equal(f.nodes, m.registry.nodes) {
		t.Fatalf("the follower has nodes %v, the registry %v", f.nodes, m.registry.nodes)
	}
}

func (m *registryModel) restart(t *rapid.T) {
	before := m.registry.Image()
	m.registry = Restore(before)
	if !reflect.DeepEqual(before, m.registry.Image()) {
		t.Fatal("the restored registry differs from its image")
	}
}

func TestRegistry_DeltasKeepEveryFollowerConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &registryModel{
			registry: New(), followers: []*follower{{}, {}, {}}, ended: map[[2]string]bool{}, drained: map[string]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": m.announce, "goodbye": m.goodbye, "lose": m.lose, "drain": m.drain,
			"follow": m.follow, "restart": m.restart,
		})
	})
}

func TestRegistry_DroppedTombstonesRequireAFullSync(t *testing.T) {
	r := New()
	r.Announce(Node{ID: "stays", Incarnation: "1"}, 1)
	f := &follower{}
	f.sync(r, 1)
	index := uint64(1)
	for n := range KeptTombstones + 1 {
		index += 2
		r.Announce(Node{ID: fmt.Sprint(n), Incarnation: "1"}, index-1)
		r.Goodbye(fmt.Sprint(n), "1", index)
	}
	f.sync(r, index)
	if f.fullSyncs != 2 || len(f.nodes) != 1 {
		t.Fatalf("%d full syncs, nodes %v", f.fullSyncs, f.nodes)
	}
	if len(r.tombstones) != KeptTombstones {
		t.Fatalf("%d tombstones", len(r.tombstones))
	}
}
