package registry

import (
	"maps"
	"slices"
)

// Image is the registry's part of a snapshot.
type Image struct {
	Nodes      []Node              `cbor:"nodes"`
	Tombstones []tombstone         `cbor:"tombstones"`
	Floor      uint64              `cbor:"floor"`
	Ended      []endedIncarnations `cbor:"ended"`
	Drained    []string            `cbor:"drained"`
	Answers    []drainAnswer       `cbor:"answers"`
	LastNumber uint64              `cbor:"last"`
	// Evacuations is nil if no evacuation was ever ordered.
	Evacuations *evacuationsImage `cbor:"evacuations,omitempty"`
}

// endedIncarnations lists the incarnations of one node that must not return.
type endedIncarnations struct {
	ID           string   `cbor:"id"`
	Incarnations []string `cbor:"incs"`
}

// Image returns the registry's content. It shares memory with the registry.
func (r *Registry) Image() Image {
	image := Image{
		Nodes: r.Nodes(), Tombstones: r.tombstones, Floor: r.floor, Answers: r.answers, LastNumber: r.lastNumber,
		Drained: slices.Sorted(maps.Keys(r.drained)), Evacuations: r.evacuations.image(),
	}
	for _, id := range r.endedOrder {
		image.Ended = append(image.Ended, endedIncarnations{ID: id, Incarnations: r.ended[id]})
	}
	return image
}

// Restore returns a registry with the content of an image.
func Restore(image Image) *Registry {
	restored := New()
	restored.tombstones = image.Tombstones
	restored.floor = image.Floor
	restored.answers = image.Answers
	restored.lastNumber = image.LastNumber
	restored.evacuations = restoreEvacuations(image.Evacuations)
	for _, node := range image.Nodes {
		restored.nodes[node.ID] = node
		restored.byNumber[node.Number] = node.ID
	}
	for _, entry := range image.Ended {
		restored.ended[entry.ID] = entry.Incarnations
		restored.endedOrder = append(restored.endedOrder, entry.ID)
	}
	for _, id := range image.Drained {
		restored.drained[id] = true
	}
	for _, answer := range image.Answers {
		restored.byChange[answer.ChangeID] = answer.Found
	}
	return restored
}
