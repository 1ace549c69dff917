package registry

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Limits of what a registry keeps.
const (
	// KeptTombstones is the number of removals that a delta can name.
	KeptTombstones = 1_000
	// KeptIncarnations is the number of ended incarnations refused for each node.
	KeptIncarnations = 8
	// KeptEndings is the number of nodes whose ended incarnations are remembered after they left.
	KeptEndings = 5_000
	// KeptDrainAnswers is the number of drain changes whose first answer a resend gets.
	KeptDrainAnswers = 10_000
)

// Role is what a node does.
type Role uint8

// Roles of nodes.
const (
	Entry Role = iota + 1
	Sidecar
)

// Target is what a sidecar's target offers.
type Target struct {
	Worker       string  `cbor:"worker"`
	Rack         string  `cbor:"rack"`
	Pool         string  `cbor:"pool"`
	Slots        uint32  `cbor:"slots"`
	Cores        float64 `cbor:"cores"`
	MemoryMB     uint64  `cbor:"mem"`
	Accelerators uint32  `cbor:"acc"`
	// Record is what the node wants to be told again after a restart. An announcement without one keeps the earlier one.
	// Its bytes are any, so that it is no text.
	Record cbor.ByteString `cbor:"record,omitempty"`
}

// Node is one announced process.
type Node struct {
	ID          string `cbor:"id"`
	Role        Role   `cbor:"role"`
	Incarnation string `cbor:"inc"`
	DataCentre  string `cbor:"dc"`
	Address     string `cbor:"addr"`
	Leaving     bool   `cbor:"leaving"`
	// Target is the zero value for entries.
	Target Target `cbor:"target"`
	// Drained, ChangedAt and Number are the registry's own: an announcement's values are ignored.
	Drained bool `cbor:"drained"`
	// ChangedAt is the log index of the last change.
	ChangedAt uint64 `cbor:"at"`
	// Number stands for the pair of id and incarnation in compact messages; it is never used again.
	Number uint64 `cbor:"no"`
}

// sameAnnouncement reports whether an announcement says nothing new.
func (n Node) sameAnnouncement(other Node) bool {
	other.Drained, other.ChangedAt, other.Number = n.Drained, n.ChangedAt, n.Number
	return n == other
}

// inherit returns an announcement with the earlier record if it has none.
func (n Node) inherit(announced Node) Node {
	if announced.Target.Record == "" {
		announced.Target.Record = n.Target.Record
	}
	return announced
}

// tombstone marks a removal.
type tombstone struct {
	ID string `cbor:"id"`
	At uint64 `cbor:"at"`
}

// drainAnswer is the first answer to a drain's change id.
type drainAnswer struct {
	ChangeID string `cbor:"id"`
	Found    bool   `cbor:"found"`
}

// Registry holds all nodes. It is not safe for concurrent use.
type Registry struct {
	nodes    map[string]Node
	byNumber map[uint64]string
	// tombstones are in the order of their index.
	tombstones []tombstone
	// floor is the largest index of a dropped tombstone.
	floor uint64
	// ended holds the incarnations of a node that must not return, newest last; endedOrder bounds it.
	ended      map[string][]string
	endedOrder []string
	drained    map[string]bool
	answers    []drainAnswer
	byChange   map[string]bool
	lastNumber uint64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		nodes: map[string]Node{}, byNumber: map[uint64]string{}, ended: map[string][]string{},
		drained: map[string]bool{}, byChange: map[string]bool{},
	}
}

// Node returns the record of an id.
func (r *Registry) Node(id string) (Node, bool) {
	node, found := r.nodes[id]
	return node, found
}

// NodeByNumber returns the record that a number stands for, while that incarnation is registered.
func (r *Registry) NodeByNumber(number uint64) (Node, bool) {
	id, found := r.byNumber[number]
	return r.nodes[id], found
}

// Nodes returns all records by id.
func (r *Registry) Nodes() []Node {
	return r.changedAfter(0)
}

// Len returns the number of records.
func (r *Registry) Len() int {
	return len(r.nodes)
}

// Live reports whether this incarnation is registered.
func (r *Registry) Live(id, incarnation string) bool {
	node, found := r.nodes[id]
	return found && node.Incarnation == incarnation
}

// Differs reports whether the announcement would change the registry.
func (r *Registry) Differs(announced Node) bool {
	node, found := r.nodes[announced.ID]
	return !found || !node.sameAnnouncement(node.inherit(announced))
}

// Announce adds or changes a record at a log index. It returns false for an incarnation that has ended.
func (r *Registry) Announce(announced Node, index uint64) bool {
	if slices.Contains(r.ended[announced.ID], announced.Incarnation) {
		return false
	}
	node, found := r.nodes[announced.ID]
	announced = node.inherit(announced)
	if found && node.sameAnnouncement(announced) {
		return true
	}
	if found && node.Incarnation != announced.Incarnation {
		r.end(node)
	}
	if !found || node.Incarnation != announced.Incarnation {
		r.lastNumber++
		node.Number = r.lastNumber
	}
	announced.Number = node.Number
	announced.ChangedAt = index
	announced.Drained = r.drained[announced.ID]
	r.nodes[announced.ID] = announced
	r.byNumber[announced.Number] = announced.ID
	r.tombstones = slices.DeleteFunc(r.tombstones, func(t tombstone) bool { return t.ID == announced.ID })
	return true
}

// Goodbye removes a node whose process ends; its incarnation can't return.
func (r *Registry) Goodbye(id, incarnation string, index uint64) {
	node, found := r.nodes[id]
	if !found || node.Incarnation != incarnation {
		// The process may have been given up as lost before: it must not return either.
		r.endIncarnation(id, incarnation)
		return
	}
	r.end(node)
	r.remove(id, index)
}

// RemoveLost removes a node that nobody has heard of, unless its record changed after changedAt.
func (r *Registry) RemoveLost(id, incarnation string, changedAt, index uint64) bool {
	node, found := r.nodes[id]
	if !found || node.Incarnation != incarnation || node.ChangedAt != changedAt {
		return false
	}
	delete(r.byNumber, node.Number)
	r.remove(id, index)
	return true
}

// Drain sets or lifts an operator's drain of a node and reports whether the node is known. A drain lasts over restarts
// and losses of the node. The same changeID sent again gets the first answer and changes nothing.
func (r *Registry) Drain(changeID, id string, drained bool, index uint64) bool {
	if found, known := r.byChange[changeID]; known {
		return found
	}
	node, found := r.nodes[id]
	known := found || r.drained[id]
	r.rememberDrain(drainAnswer{ChangeID: changeID, Found: known})
	if !known {
		return false
	}
	if drained {
		r.drained[id] = true
	} else {
		delete(r.drained, id)
	}
	if found && node.Drained != drained {
		node.Drained = drained
		node.ChangedAt = index
		r.nodes[id] = node
	}
	return true
}

// Delta returns what changed after a known index, by id. ok is false when the registry no longer knows all removals
// since, so that the follower needs everything.
func (r *Registry) Delta(known uint64) (changed []Node, removed []string, ok bool) {
	if known < r.floor {
		return nil, nil, false
	}
	for i := len(r.tombstones) - 1; i >= 0 && r.tombstones[i].At > known; i-- {
		removed = append(removed, r.tombstones[i].ID)
	}
	return r.changedAfter(known), removed, true
}

func (r *Registry) changedAfter(known uint64) []Node {
	var changed []Node
	for _, node := range r.nodes {
		if node.ChangedAt > known || known == 0 {
			changed = append(changed, node)
		}
	}
	slices.SortFunc(changed, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	return changed
}

func (r *Registry) remove(id string, index uint64) {
	delete(r.nodes, id)
	r.tombstones = append(r.tombstones, tombstone{ID: id, At: index})
	if len(r.tombstones) > KeptTombstones {
		r.floor = r.tombstones[0].At
		r.tombstones = slices.Delete(r.tombstones, 0, 1)
	}
}

// end makes sure that the node's incarnation doesn't return.
func (r *Registry) end(node Node) {
	delete(r.byNumber, node.Number)
	r.endIncarnation(node.ID, node.Incarnation)
}

func (r *Registry) endIncarnation(id, incarnation string) {
	ended, known := r.ended[id]
	if slices.Contains(ended, incarnation) {
		return
	}
	if !known {
		r.endedOrder = append(r.endedOrder, id)
	}
	ended = append(ended, incarnation)
	r.ended[id] = ended[max(0, len(ended)-KeptIncarnations):]
	if len(r.endedOrder) > KeptEndings {
		delete(r.ended, r.endedOrder[0])
		r.endedOrder = r.endedOrder[1:]
	}
}

func (r *Registry) rememberDrain(answer drainAnswer) {
	r.byChange[answer.ChangeID] = answer.Found
	r.answers = append(r.answers, answer)
	if len(r.answers) > KeptDrainAnswers {
		delete(r.byChange, r.answers[0].ChangeID)
		r.answers = r.answers[1:]
	}
}
