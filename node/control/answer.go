package control

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/registry"
	"flamingohall.example/core/state"
	"flamingohall.example/node/rpc"
)

// answer returns the changes since the caller's known index, as of the index that this VM has applied.
func (r *Role) answer(request *rpc.SyncRequest, caller process, arrived time.Time) *rpc.SyncResponse {
	response := &rpc.SyncResponse{Full: request.GetKnownIndex() == 0}
	if request.GetNode() != nil {
		response.Number = caller.number
		response.GrantedHoldMs = r.allowedHold(request).Milliseconds()
	}
	var changed *catalogue.Revision
	r.machine.read(func(s *state.State) { changed = fillFromState(response, request, caller, s) })
	r.addCatalogue(response, request, changed)
	r.addAddresses(response, request.GetAddressesDigest())
	now := time.Now()
	response.StalenessMs = max(0, now.Sub(r.group.Status().ConfirmedAt)).Milliseconds()
	response.HeldMs = now.Sub(arrived).Milliseconds()
	return response
}

// addCatalogue adds a revision, in the packed form if the caller accepts it.
func (r *Role) addCatalogue(response *rpc.SyncResponse, request *rpc.SyncRequest, changed *catalogue.Revision) {
	if changed == nil {
		return
	}
	if request.GetWantPacked() {
		response.PackedCatalogue = r.packed.forRevision(r, changed)
	}
	if len(response.GetPackedCatalogue()) == 0 {
		response.Catalogue = changed.Document
	}
}

// fillFromState copies the requested parts of the state. It returns the catalogue revision if the caller wants it and
// doesn't have it yet.
func fillFromState(
	response *rpc.SyncResponse, request *rpc.SyncRequest, caller process, s *state.State,
) (changedCatalogue *catalogue.Revision) {
	known := request.GetKnownIndex()
	current := s.Catalogue.Current()
	own, _ := s.Registry.Node(caller.id)
	response.Index = s.Index
	response.CatalogueRevision = current.Number
	// The node may have been removed while the poll was held. Its drain outlasts that.
	response.Drained = s.Registry.IsDrained(caller.id, caller.dataCentre)
	for _, evacuation := range s.Registry.Evacuations() {
		response.Evacuated = append(response.Evacuated, evacuation.DataCentre)
	}
	if target := request.GetNode().GetTarget(); target != nil && len(target.GetRecord()) == 0 {
		response.OwnRecord = []byte(own.Target.Record)
	}
	if request.GetWantCatalogue() && s.CatalogueIndex > known {
		changedCatalogue = &current
	}
	if !request.GetWantNodes() {
		return changedCatalogue
	}
	changed, removed, ok := s.Registry.Delta(known)
	if !ok || len(changed)+len(removed) > s.Registry.Len() {
		// The tombstones no longer reach back to that index, or the full list is smaller than the delta.
		response.Full = true
		changed, removed = s.Registry.Nodes(), nil
	}
	response.Removed = removed
	for _, node := range changed {
		response.Nodes = append(response.Nodes, nodeToRPC(node))
	}
	return changedCatalogue
}

// addAddresses adds the addresses of the control VMs unless the caller already has the same list.
func (r *Role) addAddresses(response *rpc.SyncResponse, known uint32) {
	var addresses []string
	for _, member := range r.group.Status().Members {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	digest := fnv.New32a()
	for _, address := range addresses {
		// A hash never returns an error.
		_, _ = digest.Write([]byte(address + "\n"))
	}
	if digest.Sum32() == known || len(addresses) == 0 {
		return
	}
	response.AddressesDigest = digest.Sum32()
	response.ControlAddresses = addresses
}

// nodeFromRPC converts and validates an announced node.
func nodeFromRPC(node *rpc.Node) (registry.Node, error) {
	parsed := registry.Node{
		ID: node.GetId(), Incarnation: node.GetIncarnation(), DataCentre: node.GetDataCentre(),
		Address: node.GetAddress(), Leaving: node.GetLeaving(),
	}
	for _, text := range []string{parsed.ID, parsed.Incarnation} {
		if text == "" || len(text) > maxNameBytes {
			return parsed, fault.New(fault.Invalid, "give 1 to 256 bytes", "node: the id or incarnation has %d bytes", len(text))
		}
	}
	switch node.GetRole() {
	case rpc.Role_ROLE_ENTRY:
		parsed.Role = registry.Entry
	case rpc.Role_ROLE_SIDECAR:
		parsed.Role = registry.Sidecar
	case rpc.Role_ROLE_UNSPECIFIED, rpc.Role_ROLE_CONTROL:
		return parsed, fault.New(fault.Invalid, "announce an entry or a sidecar", "node %q: role %v", parsed.ID, node.GetRole())
	}
	if target := node.GetTarget(); target != nil {
		parsed.Target = registry.Target{
			Worker: target.GetWorker(), Rack: target.GetRack(), Pool: target.GetPool(), Slots: target.GetSlots(),
			Cores: target.GetCores(), MemoryMB: target.GetMemoryMb(), Accelerators: target.GetAccelerators(),
			Record: cbor.ByteString(target.GetRecord()),
		}
		if len(parsed.Target.Record) > maxRecordBytes {
			return parsed, fault.New(fault.TooLarge, "announce a smaller record", "node %q: the record has %d bytes", parsed.ID, len(parsed.Target.Record))
		}
	}
	return parsed, nil
}

func nodeToRPC(node registry.Node) *rpc.Node {
	message := &rpc.Node{
		Id: node.ID, Role: rpc.Role_ROLE_ENTRY, Incarnation: node.Incarnation, DataCentre: node.DataCentre,
		Address: node.Address, Leaving: node.Leaving, Drained: node.Drained, ChangedAt: node.ChangedAt,
	}
	if node.Role != registry.Sidecar {
		return message
	}
	message.Role = rpc.Role_ROLE_SIDECAR
	message.Target = &rpc.TargetInfo{
		Worker: node.Target.Worker, Rack: node.Target.Rack, Pool: node.Target.Pool, Slots: node.Target.Slots,
		Cores: node.Target.Cores, MemoryMb: node.Target.MemoryMB, Accelerators: node.Target.Accelerators,
	}
	return message
}
