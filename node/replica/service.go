package replica

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
	"flamingohall.example/node/raftwire"
	"flamingohall.example/node/rpc"
)

// service serves the calls of the other control VMs.
type service struct {
	group *Group
}

// Step implements rpc.Replica. It drops the messages if the queue of the raft loop is full.
func (s *service) Step(ctx context.Context, request *rpc.StepRequest) (*rpc.StepResponse, error) {
	response := &rpc.StepResponse{}
	messages := toMessages(request.GetMessages())
	if len(messages) == 0 {
		return response, nil
	}
	from := messages[0].From
	s.group.peers.setSenderAddress(from, request.GetAddress())
	step := &stepRequest{from: from, messages: messages, responses: make(chan []raft.Message, 1)}
	select {
	case s.group.inputs <- input{step: step}:
	default:
		s.group.options.Metrics.Add("replica_messages_dropped", int64(len(messages)))
		return response, nil
	}
	select {
	case responses := <-step.responses:
		for i := range responses {
			response.Messages = append(response.Messages, raftwire.Message(&responses[i]))
		}
	case <-s.group.ended:
	case <-ctx.Done():
	}
	return response, nil
}

func toMessages(wire []*rpc.ReplicaMessage) []raft.Message {
	messages := make([]raft.Message, 0, len(wire))
	for _, message := range wire {
		messages = append(messages, raftwire.ToMessage(message))
	}
	return messages
}

// Forward implements rpc.Replica.
func (s *service) Forward(ctx context.Context, request *rpc.ForwardRequest) (*rpc.ForwardResponse, error) {
	done := s.group.proposeLocally(ctx, request.GetCommand())
	if errors.Is(done.err, errNotLeader) {
		return &rpc.ForwardResponse{Leader: s.group.Status().Leader}, nil
	}
	if done.err != nil {
		return nil, toTwirp(done.err)
	}
	return &rpc.ForwardResponse{Index: done.index, Result: done.result}, nil
}

// Confirm implements rpc.Replica.
func (s *service) Confirm(ctx context.Context, _ *rpc.ConfirmRequest) (*rpc.ConfirmResponse, error) {
	index, err := s.group.confirmLocally(ctx)
	if fault.Is(err, fault.Unavailable) {
		return nil, toTwirp(err)
	}
	if err != nil {
		return &rpc.ConfirmResponse{Leader: s.group.Status().Leader}, nil //nolint:nilerr // The answer says so.
	}
	return &rpc.ConfirmResponse{Index: index}, nil
}

// Identify implements rpc.Replica.
func (s *service) Identify(context.Context, *rpc.IdentifyRequest) (*rpc.IdentifyResponse, error) {
	view := s.group.view.Load()
	response := &rpc.IdentifyResponse{
		Name: s.group.options.ID, Replica: uint64(view.ID), Group: view.Group,
		Configuration: &rpc.ReplicaConfiguration{},
	}
	for _, member := range view.Members {
		response.Configuration.Members = append(response.Configuration.Members, raftwire.Member(member.Member))
	}
	return response, nil
}

// ChangeReplica implements rpc.Replica.
func (s *service) ChangeReplica(
	ctx context.Context, request *rpc.ChangeReplicaRequest,
) (*rpc.ChangeReplicaResponse, error) {
	change := memberChange{
		member: raftwire.ToMember(request.GetMember()), remove: request.GetRemove(), replace: request.GetReplace(),
		join: request.GetJoin(),
	}
	err := s.group.changeLocally(ctx, change)
	if errors.Is(err, errNotLeader) {
		return &rpc.ChangeReplicaResponse{Leader: s.group.Status().LeaderAddress}, nil
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	return &rpc.ChangeReplicaResponse{Changed: true}, nil
}

// twirpCodes maps the kinds of faults that callers distinguish to twirp codes. Other kinds become twirp.Internal.
var twirpCodes = map[fault.Kind]twirp.ErrorCode{
	fault.Unavailable: twirp.Aborted,
	fault.Conflict:    twirp.AlreadyExists,
	fault.NotFound:    twirp.NotFound,
	fault.Invalid:     twirp.InvalidArgument,
	fault.Unknown:     twirp.DataLoss,
}

const remedyMeta = "remedy"

func toTwirp(err error) error {
	failure := fault.Of(err)
	code, known := twirpCodes[failure.Kind]
	if !known {
		code = twirp.Internal
	}
	return twirp.NewError(code, failure.Message).WithMeta(remedyMeta, failure.Remedy)
}

// fromTwirp converts the error of a call to a fault. Errors without one of the kinds in twirpCodes become
// fault.Unknown: the called VM may have made the change.
func fromTwirp(err error) *fault.Error {
	var answer twirp.Error
	if errors.As(err, &answer) && answer.Meta(remedyMeta) != "" {
		for kind, code := range twirpCodes {
			if answer.Code() == code {
				return fault.New(kind, answer.Meta(remedyMeta), "%s", answer.Msg())
			}
		}
	}
	return fault.New(fault.Unknown, "send the same change again; it takes effect only once",
		"the leader did not answer: %v", err)
}
