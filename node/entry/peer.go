package entry

import (
	"context"
	"time"

	"flamingohall.example/node/rpc"
)

// peerService serves other entries.
type peerService struct {
	entry *Entry
}

// Await answers with the job's final answer, or with finished = false when the hold has passed.
func (p *peerService) Await(ctx context.Context, request *rpc.AwaitRequest) (*rpc.AwaitResponse, error) {
	found := p.entry.loop.look(ctx, request.GetJobId())
	if found.record == nil {
		return &rpc.AwaitResponse{}, nil
	}
	timer := time.NewTimer(time.Duration(request.GetHoldMs()) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-found.record.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	response := &rpc.AwaitResponse{Known: true}
	select {
	case <-found.record.done:
		if found.record.result != nil {
			response.Finished = true
			response.Answer = found.record.result.bytes()
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
