package registry

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a registry's memory.
const (
	// KeptTombstones is the number of removals that a delta can list.
	KeptTombstones = 1_000
	// KeptIncarnations is the number of ended incarnations refused for each node.
	KeptIncarnations = 8
	// KeptEndedNodes is the number of nodes whose ended incarnations are remembered.
	KeptEndedNodes = 5_000
	// KeptDrainAnswers is the number of drain changes whose answer is remembered for repeated requests.
	KeptDrainAnswers = 10_000
)

// Role is the role of a node.
type Role uint8

// Roles of nodes.
const (
	Entry Role = iota + 1
	Sidecar
)

// Target describes a sidecar's target and its resources.
type Target struct {
	Worker       string  `cbor:"worker"`
	Rack         string  `cbor:"rack"`
	Pool         string  `cbor:"pool"`
	Slots        uint32  `cbor:"slots"`
	Cores        float64 `cbor:"cores"`
	MemoryMB     uint64  `cbor:"mem"`
	Accelerators uint32  `cbor:"acc"`
	// Record is data that the node stores here and gets back after a restart. An announcement without a record keeps the
	// earlier one. It holds arbitrary bytes, so it is encoded as a byte string and not as text.
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
	// Drained, ChangedAt and Number are the registry's own: an announcement's values are ignored. Drained is true if the node
	// is drained or its data centre is evacuated.
	Drained bool `cbor:"drained"`
	// ChangedAt is the log index of the last change.
	ChangedAt uint64 `cbor:"at"`
	// Number identifies the pair of id and incarnation in compact messages. It is never reused.
	Number uint64 `cbor:"no"`
}

// sameAnnouncement reports whether an announcement is equal to the record, apart from the registry's own fields.
func (n Node) sameAnnouncement(other Node) bool {
	other.Drained, other.ChangedAt, other.Number = n.Drained, n.ChangedAt, n.Number
	return n == other
}

// withEarlierRecord returns an announcement with the target record of n if it has none of its own.
func (n Node) withEarlierRecord(announced Node) Node {
	if announced.Target.Record == "" {
		announced.Target.Record = n.Target.Record
	}
	return announced
}

// tombstone records the removal of a node.
type tombstone struct {
	ID string `cbor:"id"`
	At uint64 `cbor:"at"`
}

// drainAnswer is the answer to the first request with a drain's change id.
type drainAnswer struct {
	ChangeID string `cbor:"id"`
	Found    bool   `cbor:"found"`
}

// Registry holds all announced nodes. It is not safe for concurrent use.
type Registry struct {
	nodes    map[string]Node
	byNumber map[uint64]string
	// tombstones are ordered by their index.
	tombstones []tombstone
	// floor is the largest index of a dropped tombstone.
	floor uint64
	// ended holds, for each node, the incarnations that must not return, newest last. endedOrder lists its nodes, oldest
	// first, to limit their number.
	ended      map[string][]string
	endedOrder []string
	drained    map[string]bool
	answers    []drainAnswer
	byChange   map[string]bool
	lastNumber uint64
	// evacuations are the operators' orders to evacuate data centres.
	evacuations evacuations
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		nodes: map[string]Node{}, byNumber: map[uint64]string{}, ended: map[string][]string{},
		drained: map[string]bool{}, byChange: map[string]bool{}, evacuations: restoreEvacuations(nil),
	}
}

// Node returns the record with an id.
func (r *Registry) Node(id string) (Node, bool) {
	node, found := r.nodes[id]
	return node, found
}

// NodeByNumber returns the record with a number, while that incarnation is registered.
func (r *Registry) NodeByNumber(number uint64) (Node, bool) {
	id, found := r.byNumber[number]
	return r.nodes[id], found
}

// Nodes returns all records, ordered by id.
func (r *Registry) Nodes() []Node {
	return r.changedAfter(0)
}

// Len returns the number of records.
func (r *Registry) Len() int {
	return len(r.nodes)
}

// Live reports whether this incarnation of the node is registered.
func (r *Registry) Live(id, incarnation string) bool {
	node, found := r.nodes[id]
	return found && node.Incarnation == incarnation
}

// Differs reports whether the announcement would change the registry.
func (r *Registry) Differs(announced Node) bool {
	node, found := r.nodes[announced.ID]
	return !found || !node.sameAnnouncement(node.withEarlierRecord(announced))
}

// Announce adds or updates a record at a log index. It returns false for an incarnation that has ended.
func (r *Registry) Announce(announced Node, index uint64) bool {
	if slices.Contains(r.ended[announced.ID], announced.Incarnation) {
		return false
	}
	node, found := r.nodes[announced.ID]
	announced = node.withEarlierRecord(announced)
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
	announced.Drained = r.IsDrained(announced.ID, announced.DataCentre)
	r.nodes[announced.ID] = announced
	r.byNumber[announced.Number] = announced.ID
	r.tombstones = slices.DeleteFunc(r.tombstones, func(t tombstone) bool { return t.ID == announced.ID })
	return true
}

// Goodbye removes a node whose process is ending. Its incarnation can't return.
func (r *Registry) Goodbye(id, incarnation string, index uint64) {
	node, found := r.nodes[id]
	if !found || node.Incarnation != incarnation {
		// The incarnation may have been removed as lost before. It must not return either.
		r.endIncarnation(id, incarnation)
		return
	}
	r.end(node)
	r.remove(id, index)
}

// RemoveLost removes a node that is considered lost and reports whether it did. It does nothing if another incarnation is
// registered or the record has changed after changedAt.
func (r *Registry) RemoveLost(id, incarnation string, changedAt, index uint64) bool {
	node, found := r.nodes[id]
	if !found || node.Incarnation != incarnation || node.ChangedAt != changedAt {
		return false
	}
	delete(r.byNumber, node.Number)
	r.remove(id, index)
	return true
}

// Drain sets or clears an operator's drain of a node and reports whether the node is known. A drain persists when the node
// restarts or is lost. A repeated changeID gets the first answer and changes nothing.
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
	if found {
		r.updateDrained(id, node, index)
	}
	return true
}

// Delta returns the records that changed after a known index, ordered by id, and the ids removed since. ok is false if
// tombstones after that index were dropped, so that the follower needs all records.
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

// end removes the node's number and keeps its incarnation from returning.
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
	if len(r.endedOrder) > KeptEndedNodes {
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
