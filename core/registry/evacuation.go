package registry

import (
	"maps"
	"slices"
	"strings"
)

// KeptEvacuationOrders is the number of data centres without an evacuation whose last order is remembered.
const KeptEvacuationOrders = 1_000

// Evacuation is the evacuation of one data centre.
type Evacuation struct {
	DataCentre string
	// OrderedAt is the log index of the order that started it, UnixMS the time of that order's command.
	OrderedAt uint64
	UnixMS    int64
}

// EvacuationOrder starts or ends the evacuation of a data centre.
type EvacuationOrder struct {
	DataCentre string `cbor:"dc"`
	Evacuated  bool   `cbor:"evacuated"`
	// Known is the log index of the last order for the data centre that was in force when the call arrived (see
	// Registry.LastOrder). An order that waited, or a late copy of one, is recognised by it.
	Known uint64 `cbor:"known"`
}

// EvacuationStatus is the result of an order.
type EvacuationStatus uint8

// Results of orders.
const (
	// OrderApplied means that the evacuation has started or ended.
	OrderApplied EvacuationStatus = iota + 1
	// OrderRepeated means that the data centre was in the ordered state already.
	OrderRepeated
	// OrderSuperseded means that a newer order was given since the call arrived. Nothing has changed.
	OrderSuperseded
)

// lastOrder is the last order for a data centre.
type lastOrder struct {
	DataCentre string `cbor:"dc"`
	Evacuated  bool   `cbor:"evacuated"`
	// At is the log index of the last order, including a repeated one.
	At uint64 `cbor:"at"`
	// StartedAt and UnixMS are those of the order that started the evacuation.
	StartedAt uint64 `cbor:"started,omitempty"`
	UnixMS    int64  `cbor:"ms,omitempty"`
}

// evacuations holds the last order for each data centre that had one.
type evacuations struct {
	orders map[string]lastOrder
	// floor is the largest index of a forgotten order.
	floor uint64
}

// Evacuate applies an order at a log index. A repeated order is acknowledged whatever its Known is. One whose Known is
// current also counts as the data centre's last order, so that an earlier order that still waits can't undo it.
func (r *Registry) Evacuate(order EvacuationOrder, index uint64, unixMS int64) EvacuationStatus {
	last := r.evacuations.orders[order.DataCentre]
	isCurrent := order.Known >= r.LastOrder(order.DataCentre)
	if last.Evacuated == order.Evacuated {
		if isCurrent {
			last.DataCentre, last.At = order.DataCentre, index
			r.evacuations.orders[order.DataCentre] = last
			r.evacuations.forgetOldest()
		}
		return OrderRepeated
	}
	if !isCurrent {
		return OrderSuperseded
	}
	last = lastOrder{DataCentre: order.DataCentre, Evacuated: order.Evacuated, At: index}
	if order.Evacuated {
		last.StartedAt, last.UnixMS = index, unixMS
	}
	r.evacuations.orders[order.DataCentre] = last
	r.evacuations.forgetOldest()
	for id, node := range r.nodes {
		if node.DataCentre == order.DataCentre {
			r.updateDrained(id, node, index)
		}
	}
	return OrderApplied
}

// forgetOldest limits the number of data centres whose evacuation has ended.
func (e *evacuations) forgetOldest() {
	var oldest lastOrder
	ended := 0
	for _, order := range e.orders {
		if order.Evacuated {
			continue
		}
		ended++
		if oldest.At == 0 || order.At < oldest.At {
			oldest = order
		}
	}
	if ended > KeptEvacuationOrders {
		e.floor = max(e.floor, oldest.At)
		delete(e.orders, oldest.DataCentre)
	}
}

// LastOrder returns the log index of the last order for a data centre; 0 if there was none. If it may be forgotten, the
// index is no less than that of the forgotten order.
func (r *Registry) LastOrder(dataCentre string) uint64 {
	if last, found := r.evacuations.orders[dataCentre]; found {
		return last.At
	}
	return r.evacuations.floor
}

// IsEvacuated reports whether a data centre is evacuated.
func (r *Registry) IsEvacuated(dataCentre string) bool {
	return r.evacuations.orders[dataCentre].Evacuated
}

// Evacuations returns the evacuated data centres, ordered by name.
func (r *Registry) Evacuations() []Evacuation {
	var current []Evacuation
	for _, order := range r.evacuations.orders {
		if order.Evacuated {
			current = append(current, Evacuation{
				DataCentre: order.DataCentre, OrderedAt: order.StartedAt, UnixMS: order.UnixMS,
			})
		}
	}
	slices.SortFunc(current, func(a, b Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return current
}

// DataCentres returns the data centres of the registered nodes and the evacuated ones, ordered by name.
func (r *Registry) DataCentres() []string {
	names := map[string]bool{}
	for _, node := range r.nodes {
		if node.DataCentre != "" {
			names[node.DataCentre] = true
		}
	}
	for _, evacuation := range r.Evacuations() {
		names[evacuation.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// PoolsWithoutWorkers returns the pools all of whose registered workers are in evacuated data centres, including the given
// one; ordered by name.
func (r *Registry) PoolsWithoutWorkers(dataCentre string) []string {
	here, elsewhere := map[string]bool{}, map[string]bool{}
	for _, node := range r.nodes {
		switch {
		case node.Role != Sidecar || node.Target.Pool == "":
		case node.DataCentre == dataCentre:
			here[node.Target.Pool] = true
		case !r.IsEvacuated(node.DataCentre):
			elsewhere[node.Target.Pool] = true
		}
	}
	maps.DeleteFunc(here, func(pool string, _ bool) bool { return elsewhere[pool] })
	return slices.Sorted(maps.Keys(here))
}

// IsDrained returns the effective drain of a node, registered or not: its own, or that of its data centre.
func (r *Registry) IsDrained(id, dataCentre string) bool {
	return r.drained[id] || r.IsEvacuated(dataCentre)
}

// updateDrained stores a change of a registered node's effective drain.
func (r *Registry) updateDrained(id string, node Node, index uint64) {
	if drained := r.IsDrained(id, node.DataCentre); node.Drained != drained {
		node.Drained = drained
		node.ChangedAt = index
		r.nodes[id] = node
	}
}

// evacuationsImage is the part of an image about evacuations.
type evacuationsImage struct {
	Orders []lastOrder `cbor:"orders,omitempty"`
	Floor  uint64      `cbor:"floor,omitempty"`
}

// image returns nil if there was never an order, so that the snapshot is the one of builds without evacuations.
func (e *evacuations) image() *evacuationsImage {
	if len(e.orders) == 0 && e.floor == 0 {
		return nil
	}
	orders := slices.SortedFunc(maps.Values(e.orders), func(a, b lastOrder) int {
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	return &evacuationsImage{Orders: orders, Floor: e.floor}
}

func restoreEvacuations(image *evacuationsImage) evacuations {
	restored := evacuations{orders: map[string]lastOrder{}}
	if image == nil {
		return restored
	}
	restored.floor = image.Floor
	for _, order := range image.Orders {
		restored.orders[order.DataCentre] = order
	}
	return restored
}
