package controlclient

import (
	"maps"
	"time"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
)

// View is what the follower knows at one index. It is immutable once published.
type View struct {
	// Index is the log index that the view includes; it never goes back.
	Index uint64
	// Revision is the catalogue revision in force; 0 before the first change.
	Revision uint64
	// Catalogue is the document of that revision; empty without WantCatalogue.
	Catalogue catalogue.Document
	// Nodes are the known nodes by id; empty without WantNodes.
	Nodes map[string]*rpc.Node
	// Drained is true while an operator keeps work away from this node.
	Drained bool
	// ConfirmedAt is the latest time, on this machine's clock, at which the view was known to be complete.
	ConfirmedAt time.Time
}

// Staleness returns how long ago the view was known to be complete.
func (v *View) Staleness(now time.Time) time.Duration {
	return now.Sub(v.ConfirmedAt)
}

// next returns the view after an answer. An answer older than the view returns nil.
func (v *View) next(answer *rpc.SyncResponse, confirmedAt time.Time) (*View, error) {
	if v != nil && answer.GetIndex() < v.Index {
		return nil, nil
	}
	if v == nil && !answer.GetFull() {
		return nil, fault.New(fault.Malformed, "upgrade the control VMs", "control: first answer is no full one")
	}
	made := &View{
		Index: answer.GetIndex(), Revision: answer.GetCatalogueRevision(), Drained: answer.GetDrained(),
		Nodes: map[string]*rpc.Node{}, ConfirmedAt: confirmedAt,
	}
	if v != nil {
		made.Catalogue = v.Catalogue
		made.Nodes = v.Nodes
		made.ConfirmedAt = later(v.ConfirmedAt, confirmedAt)
	}
	made.Nodes = mergeNodes(made.Nodes, answer)
	var err error
	switch {
	case len(answer.GetPackedCatalogue()) > 0:
		made.Catalogue, err = catalogue.Unpack(answer.GetPackedCatalogue())
	case len(answer.GetCatalogue()) > 0:
		made.Catalogue, err = catalogue.Parse(answer.GetCatalogue())
	}
	if err != nil {
		return nil, err
	}
	return made, nil
}

// mergeNodes returns known unchanged when the answer brings nothing, a new map otherwise.
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

// changes reports whether readers of the view see anything new in after.
func (v *View) changes(after *View, answer *rpc.SyncResponse) bool {
	if v == nil || answer.GetFull() || len(answer.GetNodes()) > 0 || len(answer.GetRemoved()) > 0 {
		return true
	}
	return v.Revision != after.Revision || v.Drained != after.Drained
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
