package controlclient

import (
	"maps"
	"slices"
	"time"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
)

// View is the replicated state as known to the follower at one index. It is immutable once published.
type View struct {
	// Index is the last log index included in the view. It never decreases from one view to the next.
	Index uint64
	// Revision is the catalogue revision in force; 0 before the first change.
	Revision uint64
	// Catalogue is the document of that revision; empty without WantCatalogue.
	Catalogue catalogue.Document
	// Nodes are the known nodes by id; empty without WantNodes.
	Nodes map[string]*rpc.Node
	// Drained is true while an operator has drained this node or evacuated its data centre, so that it gets no new work.
	Drained bool
	// Evacuated are the evacuated data centres, ordered by name.
	Evacuated []string
	// ConfirmedAt is the latest time, on this machine's clock, at which the view was confirmed to be up to date.
	ConfirmedAt time.Time
}

// Staleness returns the time since the view was last confirmed to be up to date.
func (v *View) Staleness(now time.Time) time.Duration {
	return now.Sub(v.ConfirmedAt)
}

// next returns the view that results from an answer, or nil if the answer is older than the view.
func (v *View) next(answer *rpc.SyncResponse, confirmedAt time.Time) (*View, error) {
	if v != nil && answer.GetIndex() < v.Index {
		return nil, nil
	}
	if v == nil && !answer.GetFull() {
		return nil, fault.New(fault.Malformed, "upgrade the control VMs", "control: the first answer is not a full one")
	}
	after := &View{
		Index: answer.GetIndex(), Revision: answer.GetCatalogueRevision(), Drained: answer.GetDrained(),
		Evacuated: answer.GetEvacuated(), Nodes: map[string]*rpc.Node{}, ConfirmedAt: confirmedAt,
	}
	if v != nil {
		after.Catalogue = v.Catalogue
		after.Nodes = v.Nodes
		after.ConfirmedAt = later(v.ConfirmedAt, confirmedAt)
	}
	after.Nodes = mergeNodes(after.Nodes, answer)
	var err error
	switch {
	case len(answer.GetPackedCatalogue()) > 0:
		after.Catalogue, err = catalogue.Unpack(answer.GetPackedCatalogue())
	case len(answer.GetCatalogue()) > 0:
		after.Catalogue, err = catalogue.Parse(answer.GetCatalogue())
	}
	if err != nil {
		return nil, err
	}
	return after, nil
}

// mergeNodes returns known itself if the answer carries no change of nodes, and a new map otherwise.
func mergeNodes(known map[string]*rpc.Node, answer *rpc.SyncResponse) map[string]*rpc.Node {
	if answer.GetFull() {
		known = map[string]*rpc.Node{}
	} else if len(answer.GetNodes()) == 0 && len(answer.GetRemoved()) == 0 {
		return known
	}
	merged := maps.Clone(known)
	for _, id := range answer.GetRemoved() {
		delete(merged, id)
	}
	for _, node := range answer.GetNodes() {
		merged[node.GetId()] = node
	}
	return merged
}

// changes reports whether after differs from v for readers of the view.
func (v *View) changes(after *View, answer *rpc.SyncResponse) bool {
	if v == nil || answer.GetFull() || len(answer.GetNodes()) > 0 || len(answer.GetRemoved()) > 0 {
		return true
	}
	return v.Revision != after.Revision || v.Drained != after.Drained || !slices.Equal(v.Evacuated, after.Evacuated)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
