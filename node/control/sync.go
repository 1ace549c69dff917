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

// Times of Sync.
const (
	// holdsPerLease is how often a quiet node renews its lease.
	holdsPerLease = 3
	// catchUpTimeout is how long a caller that knows more than this VM waits for it.
	catchUpTimeout = time.Second
	// confirmTimeout bounds a confirmed read.
	confirmTimeout = 1500 * time.Millisecond
	// settleTime lets several changes of nodes go out as one answer.
	settleTime = 50 * time.Millisecond
	// maxNameBytes bounds ids and incarnations.
	maxNameBytes = 256
)

// Sync announces the caller, renews its lease and answers with what changed.
func (r *Role) Sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	answer, err := r.sync(ctx, request)
	return answer, faultrpc.To(err)
}

func (r *Role) sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	arrived := time.Now()
	announced, err := nodeFromRPC(request.GetNode())
	if err != nil {
		return nil, err
	}
	closed, err := r.gate.check()
	if err != nil {
		return nil, err
	}
	r.metrics.Add("syncs", 1)
	if request.GetGoodbye() {
		return r.goodbye(ctx, announced)
	}
	if err := r.admit(ctx, announced, request); err != nil {
		return nil, err
	}
	r.note(announced, request.GetRevisionInForce(), arrived)
	if err := r.hold(ctx, request, arrived, closed); err != nil {
		return nil, err
	}
	return r.answer(request, arrived), nil
}

// admit registers the caller where its record changed, and makes sure that this VM knows no less than it.
func (r *Role) admit(ctx context.Context, announced registry.Node, request *rpc.SyncRequest) error {
	if err := r.register(ctx, announced); err != nil {
		return err
	}
	if request.GetKnownIndex() == 0 {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		_, err := r.group.Confirm(ctx)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return r.machine.waitApplied(ctx, request.GetKnownIndex())
}

// register proposes the record when it differs from the one known.
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
		return fault.New(fault.Fenced, "give each process its own node id, and start this one again",
			"node %q: this process was replaced by another or has said goodbye", announced.ID)
	}
	events.NodeRegistered.Log(r.logger, "id", announced.ID, "incarnation", announced.Incarnation, "index", index)
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return r.machine.waitApplied(ctx, index)
}

func (r *Role) goodbye(ctx context.Context, announced registry.Node) (*rpc.SyncResponse, error) {
	step := state.Step{Goodbye: &state.Process{ID: announced.ID, Incarnation: announced.Incarnation}}
	index, _, err := r.proposer.propose(ctx, step)
	if err != nil {
		return nil, err
	}
	events.NodeGone.Log(r.logger, "id", announced.ID, "index", index)
	return &rpc.SyncResponse{Index: index}, nil
}

// note renews the caller's lease.
func (r *Role) note(announced registry.Node, revision uint64, arrived time.Time) {
	var node registry.Node
	var found bool
	r.machine.read(func(s *state.State) { node, found = s.Registry.Node(announced.ID) })
	if found && node.Incarnation == announced.Incarnation {
		r.presence.heard(node.Number, revision, arrived)
	}
}

// hold waits until there is news for the caller or its time has passed. The error says why this VM stopped serving.
func (r *Role) hold(ctx context.Context, request *rpc.SyncRequest, arrived time.Time, closed <-chan struct{}) error {
	allowed := min(time.Duration(request.GetHoldMs())*time.Millisecond, r.lease/holdsPerLease)
	timer := time.NewTimer(allowed - time.Since(arrived))
	defer timer.Stop()
	for {
		changed := r.machine.watch()
		news := r.newsFor(request)
		if news == newsUrgent {
			return nil
		}
		if news == newsOfNodes {
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
			return fault.New(fault.Unavailable, "none: the caller went away", "poll: %v", ctx.Err())
		}
	}
}

// settle waits for further changes of nodes, so that a burst of them makes few answers.
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
		return fault.New(fault.Unavailable, "none: the caller went away", "poll: %v", ctx.Err())
	}
}

// news says whether a poll has to be answered.
type news int

const (
	newsNone news = iota
	// newsOfNodes may wait for the next few.
	newsOfNodes
	newsUrgent
)

func (r *Role) newsFor(request *rpc.SyncRequest) news {
	known := request.GetKnownIndex()
	if known == 0 {
		return newsUrgent
	}
	found := newsNone
	r.machine.read(func(s *state.State) {
		own, _ := s.Registry.Node(request.GetNode().GetId())
		switch {
		case s.CatalogueIndex > known || own.ChangedAt > known:
			found = newsUrgent
		case request.GetWantNodes() && s.RegistryIndex > known:
			found = newsOfNodes
		}
	})
	return found
}
