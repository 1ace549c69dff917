package entry

import (
	"context"
	"time"

	"flamingohall.example/node/rpc"
)

// peerService implements the Peer service for other entries.
type peerService struct {
	entry *Entry
}

// Await returns the job's final answer, or finished = false if the hold ends first.
func (p *peerService) Await(ctx context.Context, request *rpc.AwaitRequest) (*rpc.AwaitResponse, error) {
	state := p.entry.loop.lookup(ctx, request.GetJobId())
	if state.record == nil {
		return &rpc.AwaitResponse{}, nil
	}
	timer := time.NewTimer(time.Duration(request.GetHoldMs()) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-state.record.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	response := &rpc.AwaitResponse{Known: true}
	select {
	case <-state.record.done:
		if state.record.result != nil {
			response.Finished = true
			response.Answer = state.record.result.bytes()
		}
	default:
	}
	return response, nil
}

// CancelJob cancels a job that this entry holds.
func (p *peerService) CancelJob(
	ctx context.Context, request *rpc.CancelJobRequest,
) (*rpc.CancelJobResponse, error) {
	r := p.entry.loop.cancel(ctx, request.GetJobId())
	return &rpc.CancelJobResponse{Known: r != nil}, nil
}
