package control

import (
	"context"

	"flamingohall.example/core/claim"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/registry"
	"flamingohall.example/core/state"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// maxClaimTargets bounds the targets of one claim.
const maxClaimTargets = 2_000

// Claim makes the caller the one holder of a job, or tells who holds it or what became of it.
func (r *Role) Claim(ctx context.Context, request *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	response, err := r.claim(ctx, request)
	return response, faultrpc.To(err)
}

func (r *Role) claim(ctx context.Context, request *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	if err := checkClaim(request); err != nil {
		return nil, err
	}
	if _, err := r.gate.check(); err != nil {
		return nil, err
	}
	asked := claim.Request{
		Job: request.GetJobId(), Holder: request.GetHolder(), Incarnation: request.GetHolderIncarnation(),
		Digest: request.GetBodyDigest(), TakeOverEpoch: request.GetTakeOverEpoch(), ExtendEpoch: request.GetExtendEpoch(),
		HolderGone: request.GetHolderGone(),
	}
	for _, target := range request.GetTargets() {
		asked.Targets = append(asked.Targets, claim.Target{ID: target.GetId(), Incarnation: target.GetIncarnation()})
	}
	r.metrics.Add("claims", 1)
	_, result, err := r.proposer.propose(ctx, state.Step{Claim: &asked})
	if err != nil {
		return nil, err
	}
	return r.claimResponse(result.Claim)
}

func checkClaim(request *rpc.ClaimRequest) error {
	for _, text := range []string{request.GetJobId(), request.GetHolder(), request.GetHolderIncarnation()} {
		if text == "" || len(text) > maxNameBytes {
			return fault.New(fault.Invalid, "give 1 to 256 bytes", "claim: job, holder or incarnation of %d bytes", len(text))
		}
	}
	if len(request.GetBodyDigest()) > maxNameBytes {
		return fault.New(fault.Invalid, "give at most 256 bytes", "claim: digest of %d bytes", len(request.GetBodyDigest()))
	}
	if len(request.GetTargets()) > maxClaimTargets {
		return fault.New(fault.TooLarge, "name at most 2000 targets", "claim: %d targets", len(request.GetTargets()))
	}
	if request.GetTakeOverEpoch() != 0 && request.GetExtendEpoch() != 0 {
		return fault.New(fault.Invalid, "set one of them", "claim: both take_over_epoch and extend_epoch are set")
	}
	return nil
}

func (r *Role) claimResponse(answer *claim.Answer) (*rpc.ClaimResponse, error) {
	if answer == nil {
		return nil, fault.New(fault.Internal, "upgrade all control VMs to one version", "claim: no answer")
	}
	if answer.Status == claim.Full {
		return nil, fault.New(fault.Overloaded, "wait until earlier jobs pass their retention",
			"control remembers as many jobs as it can hold").After(proposeTimeout)
	}
	response := &rpc.ClaimResponse{
		Status: statusToRPC(answer.Status), Epoch: answer.Epoch, FirstEpoch: answer.First, Holder: answer.Holder,
		HolderIncarnation: answer.Incarnation, HolderLive: answer.HolderLive, Answer: answer.Body,
	}
	for _, target := range answer.Targets {
		response.Targets = append(response.Targets, &rpc.ClaimTarget{Id: target.ID, Incarnation: target.Incarnation})
	}
	var holder registry.Node
	r.machine.read(func(s *state.State) { holder, _ = s.Registry.Node(answer.Holder) })
	if holder.Incarnation == answer.Incarnation {
		response.HolderAddress = holder.Address
	}
	return response, nil
}

// Finish stores a claimed job's answer. One larger than claim.MaxAnswerBytes leaves only the fact that it finished.
func (r *Role) Finish(ctx context.Context, request *rpc.FinishRequest) (*rpc.FinishResponse, error) {
	response, err := r.finish(ctx, request)
	return response, faultrpc.To(err)
}

func (r *Role) finish(ctx context.Context, request *rpc.FinishRequest) (*rpc.FinishResponse, error) {
	if _, err := r.gate.check(); err != nil {
		return nil, err
	}
	finish := claim.Finish{Job: request.GetJobId(), Epoch: request.GetEpoch(), Body: request.GetAnswer()}
	if len(finish.Body) > claim.MaxAnswerBytes {
		finish.Body = nil
		r.metrics.Add("answers_too_large", 1)
	}
	propose := r.proposer.propose
	if request.GetCanWait() {
		propose = r.proposer.proposeLater
	}
	_, result, err := propose(ctx, state.Step{Finish: &finish})
	if err != nil {
		return nil, err
	}
	if result.Claim == nil {
		return nil, fault.New(fault.Internal, "upgrade all control VMs to one version", "finish: no answer")
	}
	return &rpc.FinishResponse{Status: statusToRPC(result.Claim.Status)}, nil
}

func statusToRPC(status claim.Status) rpc.ClaimStatus {
	switch status {
	case claim.Granted:
		return rpc.ClaimStatus_CLAIM_STATUS_GRANTED
	case claim.Held:
		return rpc.ClaimStatus_CLAIM_STATUS_HELD
	case claim.Finished:
		return rpc.ClaimStatus_CLAIM_STATUS_FINISHED
	case claim.Conflict:
		return rpc.ClaimStatus_CLAIM_STATUS_CONFLICT
	case claim.Fenced:
		return rpc.ClaimStatus_CLAIM_STATUS_FENCED
	case claim.Full:
	}
	return rpc.ClaimStatus_CLAIM_STATUS_UNSPECIFIED
}
