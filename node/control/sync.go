package control

import (
	"context"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/registry"
	"flamingohall.example/core/state"
	"flamingohall.example/node/events"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// Timing and limits of Sync.
const (
	// holdsPerLease is how many times per lease an idle node polls, which renews the lease.
	holdsPerLease = 3
	// catchUpTimeout bounds the wait for this VM to catch up with a caller that knows a later index.
	catchUpTimeout = time.Second
	// confirmTimeout bounds a confirmed read.
	confirmTimeout = 1500 * time.Millisecond
	// settleTime delays the answer after a change of nodes, so that it covers several changes.
	settleTime = 50 * time.Millisecond
	// maxNameBytes bounds ids and incarnations.
	maxNameBytes = 256
	// maxRecordBytes bounds the record that control keeps for a node.
	maxRecordBytes = 4 << 10
)

// Sync registers the caller, renews its lease and returns the changes since the caller's known index.
func (r *Role) Sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	answer, err := r.sync(ctx, request)
	return answer, faultrpc.To(err)
}

func (r *Role) sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	arrived := time.Now()
	closed, err := r.gate.await(ctx)
	if err != nil {
		return nil, err
	}
	r.metrics.Add("syncs", 1)
	if request.GetGoodbye() {
		return r.goodbye(ctx, request.GetNode())
	}
	caller, err := r.admit(ctx, request)
	if err != nil {
		return nil, err
	}
	if caller.number == 0 {
		return &rpc.SyncResponse{NeedRecord: true}, nil
	}
	r.presence.heard(caller.number, request.GetRevisionInForce(), arrived)
	r.presence.setActivity(caller.number, activityOf(request.Busy))
	if err := r.hold(ctx, request, caller, arrived, closed); err != nil {
		return nil, err
	}
	return r.answer(request, caller, arrived), nil
}

// process identifies a caller in the registry.
type process struct {
	id         string
	dataCentre string
	number     uint64
}

// admit waits until this VM's state is as new as the caller's, and registers the caller if its record has changed. The
// returned number is 0 if the caller has to send its record for that.
func (r *Role) admit(ctx context.Context, request *rpc.SyncRequest) (process, error) {
	if err := r.catchUp(ctx, request.GetKnownIndex()); err != nil {
		return process{}, err
	}
	if request.GetNode() == nil {
		var node registry.Node
		r.machine.read(func(s *state.State) { node, _ = s.Registry.NodeByNumber(request.GetNumber()) })
		return processOf(node), nil
	}
	announced, err := nodeFromRPC(request.GetNode())
	if err != nil {
		return process{}, err
	}
	if err := r.register(ctx, announced); err != nil {
		return process{}, err
	}
	var node registry.Node
	r.machine.read(func(s *state.State) { node, _ = s.Registry.Node(announced.ID) })
	if node.Incarnation != announced.Incarnation {
		return process{}, replacedError(announced.ID)
	}
	return processOf(node), nil
}

func processOf(node registry.Node) process {
	return process{id: node.ID, dataCentre: node.DataCentre, number: node.Number}
}

// catchUp waits until this VM's state includes the caller's known index. For a caller without one it waits until the
// state includes everything committed before the call.
func (r *Role) catchUp(ctx context.Context, known uint64) error {
	if known == 0 {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		_, err := r.group.Confirm(ctx)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return r.machine.waitApplied(ctx, known)
}

func replacedError(id string) error {
	return fault.New(fault.Fenced, "give each process its own node id, and start this one again",
		"node %q: this process was replaced by another or has deregistered", id)
}

// register proposes the announced record if it differs from the registered one.
func (r *Role) register(ctx context.Context, announced registry.Node) error {
	var differs bool
	r.machine.read(func(s *state.State) { differs = s.Registry.Differs(announced) })
	if !differs {
		return nil
	}
	index, result, err := r.proposer.propose(ctx, state.Step{Announce: &announced})
	if err != nil {
		return err
	}
	if !result.Accepted {
		return replacedError(announced.ID)
	}
	events.NodeRegistered.Log(r.logger, "id", announced.ID, "incarnation", announced.Incarnation, "index", index)
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return r.machine.waitApplied(ctx, index)
}

func (r *Role) goodbye(ctx context.Context, node *rpc.Node) (*rpc.SyncResponse, error) {
	announced, err := nodeFromRPC(node)
	if err != nil {
		return nil, err
	}
	step := state.Step{Goodbye: &state.Process{ID: announced.ID, Incarnation: announced.Incarnation}}
	index, _, err := r.proposer.propose(ctx, step)
	if err != nil {
		return nil, err
	}
	events.NodeDeregistered.Log(r.logger, "id", announced.ID, "index", index)
	return &rpc.SyncResponse{Index: index}, nil
}

// hold waits until there is an update for the caller or the allowed hold has passed. The error is the reason why this
// VM stopped serving the poll.
func (r *Role) hold(
	ctx context.Context, request *rpc.SyncRequest, caller process, arrived time.Time, closed <-chan struct{},
) error {
	timer := time.NewTimer(r.allowedHold(request) - time.Since(arrived))
	defer timer.Stop()
	for {
		changed := r.machine.watch()
		pending := r.updateFor(request, caller)
		if pending == urgentUpdate {
			return nil
		}
		if pending == deferrableUpdate {
			return settle(ctx, closed, r.gate)
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-closed:
			_, err := r.gate.check()
			return err
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "none: the caller disconnected", "poll: %v", ctx.Err())
		}
	}
}

// allowedHold returns how long the poll may be held, short enough for an idle caller to keep its lease.
func (r *Role) allowedHold(request *rpc.SyncRequest) time.Duration {
	return min(time.Duration(request.GetHoldMs())*time.Millisecond, r.lease/holdsPerLease)
}

// settle waits settleTime for further changes of nodes, so that a burst of them causes few answers.
func settle(ctx context.Context, closed <-chan struct{}, gate *gate) error {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-closed:
		_, err := gate.check()
		return err
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "none: the caller disconnected", "poll: %v", ctx.Err())
	}
}

// urgency is how soon a poll has to be answered.
type urgency int

const (
	noUpdate urgency = iota
	// deferrableUpdate is a change of nodes, which may wait for further ones.
	deferrableUpdate
	urgentUpdate
)

func (r *Role) updateFor(request *rpc.SyncRequest, caller process) urgency {
	known := request.GetKnownIndex()
	if known == 0 {
		return urgentUpdate
	}
	pending := noUpdate
	r.machine.read(func(s *state.State) {
		own, registered := s.Registry.NodeByNumber(caller.number)
		switch {
		case !registered || s.CatalogueIndex > known || own.ChangedAt > known:
			pending = urgentUpdate
		case request.GetWantNodes() && s.RegistryIndex > known:
			pending = deferrableUpdate
		}
	})
	return pending
}
