package control

import (
	"context"
	"time"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/registry"
	"flamingohall.example/core/state"
	"flamingohall.example/node/events"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

// Limits of operator requests.
const (
	defaultHistoryChanges = 50
	maxHistoryChanges     = 1_000
	// neverHeard is reported for a node from which no VM has heard since this leader took over.
	neverHeard = -1
	// leaderTimeout bounds a request that is forwarded to the leader.
	leaderTimeout = 2 * time.Second
)

// operator serves rpc.Operator.
type operator struct {
	role *Role
}

// ApplyCatalogue makes a document the next catalogue revision if base_revision is the current one.
func (o *operator) ApplyCatalogue(
	ctx context.Context, request *rpc.ApplyCatalogueRequest,
) (*rpc.ApplyCatalogueResponse, error) {
	response, err := o.applyCatalogue(ctx, request)
	return response, faultrpc.To(err)
}

func (o *operator) applyCatalogue(
	ctx context.Context, request *rpc.ApplyCatalogueRequest,
) (*rpc.ApplyCatalogueResponse, error) {
	if err := checkChange(request.GetChangeId(), request.GetAuthor()); err != nil {
		return nil, err
	}
	if _, err := catalogue.Parse(request.GetDocument()); err != nil {
		return nil, err
	}
	change := catalogue.Change{
		ChangeID: request.GetChangeId(), BaseRevision: request.GetBaseRevision(),
		Document: request.GetDocument(), Author: request.GetAuthor(),
	}
	_, result, err := o.role.proposer.propose(ctx, state.Step{Change: &change})
	if err != nil {
		return nil, adviseResend(err)
	}
	if result.ChangeIDReused || result.Change == nil {
		return nil, fault.New(fault.Conflict, "use a new change id for each change",
			"change id %q was already used for another change", change.ChangeID)
	}
	answer := result.Change
	event := events.CatalogueChanged
	if !answer.Applied {
		event = events.CatalogueRefused
	}
	event.Log(o.role.logger, "change", change.ChangeID, "author", change.Author, "revision", answer.Revision)
	return &rpc.ApplyCatalogueResponse{
		Applied: answer.Applied, Revision: answer.Revision, ChangedBy: answer.ChangedBy, ChangeId: answer.ChangeID,
	}, nil
}

func checkChange(changeID, author string) error {
	if changeID == "" || len(changeID) > maxNameBytes {
		return fault.New(fault.Invalid, "give 1 to 256 bytes", "the change id has %d bytes", len(changeID))
	}
	if len(author) > maxNameBytes {
		return fault.New(fault.Invalid, "give at most 256 bytes", "the author has %d bytes", len(author))
	}
	return nil
}

// adviseResend replaces the remedy of an error of kind Unknown: the change may be sent again with the same change id.
func adviseResend(err error) error {
	cause := fault.Of(err)
	if cause.Kind != fault.Unknown {
		return cause
	}
	return fault.New(fault.Unknown, "send the same change again with the same change id", "%s", cause.Message)
}

// GetCatalogue returns a catalogue revision after a confirmed read.
func (o *operator) GetCatalogue(
	ctx context.Context, request *rpc.GetCatalogueRequest,
) (*rpc.GetCatalogueResponse, error) {
	if err := o.confirm(ctx); err != nil {
		return nil, faultrpc.To(err)
	}
	var revision catalogue.Revision
	found := true
	o.role.machine.read(func(s *state.State) {
		revision = s.Catalogue.Current()
		if request.GetRevision() != 0 {
			revision, found = s.Catalogue.At(request.GetRevision())
		}
	})
	if !found || revision.Number != 0 && revision.Document == nil {
		return nil, faultrpc.To(fault.New(fault.NotFound, "list the history; old documents are in version control",
			"catalogue revision %d is not stored", request.GetRevision()))
	}
	return &rpc.GetCatalogueResponse{
		Revision: revision.Number, Document: revision.Document, Author: revision.Author,
		ChangeId: revision.ChangeID, AppliedUnixMs: revision.AppliedUnixMS,
	}, nil
}

// History returns the changes of the catalogue, newest first.
func (o *operator) History(ctx context.Context, request *rpc.HistoryRequest) (*rpc.HistoryResponse, error) {
	if err := o.confirm(ctx); err != nil {
		return nil, faultrpc.To(err)
	}
	limit := int(request.GetLimit())
	if limit == 0 {
		limit = defaultHistoryChanges
	}
	response := &rpc.HistoryResponse{}
	o.role.machine.read(func(s *state.State) {
		for _, revision := range s.Catalogue.History(min(limit, maxHistoryChanges)) {
			response.Changes = append(response.Changes, &rpc.Change{
				Revision: revision.Number, ChangeId: revision.ChangeID, Author: revision.Author,
				AppliedUnixMs: revision.AppliedUnixMS,
			})
		}
	})
	return response, nil
}

// Nodes lists the nodes with the revision in force at each. Other VMs forward the request to the leader, which receives
// all digests.
func (o *operator) Nodes(ctx context.Context, request *rpc.NodesRequest) (*rpc.NodesResponse, error) {
	status := o.role.group.Status()
	if !status.IsLeader && !request.GetLocal() && status.LeaderAddress != "" {
		return callLeader(ctx, o.role, status, func(ctx context.Context, leader rpc.Operator) (*rpc.NodesResponse, error) {
			return leader.Nodes(ctx, &rpc.NodesRequest{Local: true})
		})
	}
	if err := o.confirm(ctx); err != nil {
		return nil, faultrpc.To(err)
	}
	response := &rpc.NodesResponse{}
	var nodes []registry.Node
	evacuated := map[string]bool{}
	o.role.machine.read(func(s *state.State) {
		response.Index = s.Index
		response.CatalogueRevision = s.Catalogue.Current().Number
		nodes = s.Registry.Nodes()
		for _, evacuation := range s.Registry.Evacuations() {
			evacuated[evacuation.DataCentre] = true
		}
	})
	now := time.Now()
	for _, node := range nodes {
		nodeStatus := &rpc.NodeStatus{Node: nodeToRPC(node), LastHeardMs: neverHeard, Evacuated: evacuated[node.DataCentre]}
		if seen, found := o.role.presence.last(node.Number); found {
			nodeStatus.RevisionInForce = seen.revision
			nodeStatus.LastHeardMs = now.Sub(seen.at).Milliseconds()
		}
		response.Nodes = append(response.Nodes, nodeStatus)
	}
	return response, nil
}

// Drain stops new work for a target, or lifts the drain.
func (o *operator) Drain(ctx context.Context, request *rpc.DrainRequest) (*rpc.DrainResponse, error) {
	if err := checkChange(request.GetChangeId(), ""); err != nil {
		return nil, faultrpc.To(err)
	}
	step := state.Drain{ChangeID: request.GetChangeId(), Target: request.GetTarget(), Drained: request.GetDrained()}
	_, result, err := o.role.proposer.propose(ctx, state.Step{Drain: &step})
	if err != nil {
		return nil, faultrpc.To(adviseResend(err))
	}
	events.TargetDrained.Log(o.role.logger, "change", step.ChangeID, "target", step.Target,
		"drained", step.Drained, "found", result.Found)
	return &rpc.DrainResponse{Found: result.Found}, nil
}

// Members lists the control VMs. Other VMs forward the request to the leader, which knows how far each has replicated
// the log.
func (o *operator) Members(ctx context.Context, request *rpc.MembersRequest) (*rpc.MembersResponse, error) {
	status := o.role.group.Status()
	if !status.IsLeader && !request.GetLocal() && status.LeaderAddress != "" {
		return callLeader(ctx, o.role, status, func(ctx context.Context, leader rpc.Operator) (*rpc.MembersResponse, error) {
			return leader.Members(ctx, &rpc.MembersRequest{Local: true})
		})
	}
	if len(status.Members) == 0 {
		// The data folder is empty and this VM has not joined yet; the other control VMs know the members.
		return nil, faultrpc.To(fault.New(fault.Unavailable, "ask another control VM",
			"control VM %s has not joined a group", o.role.id))
	}
	return &rpc.MembersResponse{
		Leader: status.Leader, Term: status.Term, CommitIndex: status.CommitIndex, Members: membersToRPC(status),
	}, nil
}

// ChangeMember adds or removes one control VM. It is idempotent: adding a member again or removing an unknown one
// changes nothing.
func (o *operator) ChangeMember(
	ctx context.Context, request *rpc.ChangeMemberRequest,
) (*rpc.ChangeMemberResponse, error) {
	requested := request.GetMember()
	member := settings.Member{ID: requested.GetId(), Address: requested.GetAddress(), DataCentre: requested.GetDataCentre()}
	if member.ID == "" || (member.Address == "" && !request.GetRemove()) {
		return nil, faultrpc.To(fault.New(fault.Invalid, "give id and address", "member %q at %q: id or address is missing", member.ID, member.Address))
	}
	if err := o.role.group.ChangeMember(ctx, member, request.GetRemove()); err != nil {
		return nil, faultrpc.To(err)
	}
	events.MemberChanged.Log(o.role.logger, "member", member.ID, "address", member.Address, "remove", request.GetRemove())
	return &rpc.ChangeMemberResponse{Members: membersToRPC(o.role.group.Status())}, nil
}

// callLeader forwards a request to the leader. After a failure it closes idle connections, since one may be half-open.
func callLeader[T any](
	ctx context.Context, role *Role, status Status, ask func(context.Context, rpc.Operator) (T, error),
) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	answer, err := ask(ctx, rpc.NewOperatorProtobufClient("http://"+status.LeaderAddress, role.http))
	if err != nil {
		role.http.CloseIdleConnections()
	}
	return answer, faultrpc.To(faultrpc.From(err))
}

func membersToRPC(status Status) []*rpc.Member {
	var members []*rpc.Member
	for _, member := range status.Members {
		members = append(members, &rpc.Member{
			Id: member.ID, Address: member.Address, DataCentre: member.DataCentre,
			Learner: member.Learner, MatchIndex: member.MatchIndex,
		})
	}
	return members
}

// operatorReadTimeout limits a confirmed read for an operator while there is a leader. Another VM would wait for the same leader. If
// there is no leader, the read ends earlier.
const operatorReadTimeout = 10 * time.Second

// confirm waits until this VM's state includes everything committed before the call.
func (o *operator) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operatorReadTimeout)
	defer cancel()
	_, err := o.role.group.Confirm(ctx)
	return err
}
