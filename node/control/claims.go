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

// Claim makes the caller the only holder of a job. If it is already claimed, the response names the holder or carries
// the stored answer.
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
	requested := claim.Request{
		Job: request.GetJobId(), Holder: request.GetHolder(), Incarnation: request.GetHolderIncarnation(),
		Digest: request.GetBodyDigest(), TakeOverEpoch: request.GetTakeOverEpoch(), ExtendEpoch: request.GetExtendEpoch(),
		HolderGone: request.GetHolderGone(),
	}
	for _, target := range request.GetTargets() {
		requested.Targets = append(requested.Targets, claim.Target{ID: target.GetId(), Incarnation: target.GetIncarnation()})
	}
	r.metrics.Add("claims", 1)
	_, result, err := r.proposer.propose(ctx, state.Step{Claim: &requested})
	if err != nil {
		return nil, err
	}
	return r.claimResponse(result.Claim)
}

func checkClaim(request *rpc.ClaimRequest) error {
	for _, text := range []string{request.GetJobId(), request.GetHolder(), request.GetHolderIncarnation()} {
		if text == "" || len(text) > maxNameBytes {
			return fault.New(fault.Invalid, "give 1 to 256 bytes", "claim: the job id, holder or incarnation has %d bytes", len(text))
		}
	}
	if len(request.GetBodyDigest()) > maxNameBytes {
		return fault.New(fault.Invalid, "give at most 256 bytes", "claim: the body digest has %d bytes", len(request.GetBodyDigest()))
	}
	if len(request.GetTargets()) > maxClaimTargets {
		return fault.New(fault.TooLarge, "name at most 2000 targets", "claim: the request names %d targets", len(request.GetTargets()))
	}
	if request.GetTakeOverEpoch() != 0 && request.GetExtendEpoch() != 0 {
		return fault.New(fault.Invalid, "set only one of them", "claim: both take_over_epoch and extend_epoch are set")
	}
	return nil
}

func (r *Role) claimResponse(answer *claim.Answer) (*rpc.ClaimResponse, error) {
	if answer == nil {
		return nil, fault.New(fault.Internal, "upgrade all control VMs to one version", "claim: the step returned no result")
	}
	if answer.Status == claim.Full {
		return nil, fault.New(fault.Overloaded, "wait until earlier jobs pass their retention",
			"control: the claim table is full").WithRetryAfter(proposeTimeout)
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

// Finish stores the answer of a claimed job. An answer larger than claim.MaxAnswerBytes is dropped; only the fact that
// the job finished is stored.
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
		propose = r.proposer.proposeDeferrable
	}
	_, result, err := propose(ctx, state.Step{Finish: &finish})
	if err != nil {
		return nil, err
	}
	if result.Claim == nil {
		return nil, fault.New(fault.Internal, "upgrade all control VMs to one version", "finish: the step returned no result")
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
