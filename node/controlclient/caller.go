package controlclient

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// attemptTimeout bounds one call of Claim or Finish, so that a silent connection leaves time for another VM.
const attemptTimeout = 2 * time.Second

// caller is rpc.Control over all control VMs.
type caller struct {
	pool *pool
}

// Claim is retried: it is idempotent by job id, holder incarnation and epoch. Its errors are *fault.Error.
func (c *caller) Claim(ctx context.Context, request *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	answer, err := c.retry(ctx, func(ctx context.Context, client rpc.Control) (any, error) {
		return client.Claim(ctx, request)
	})
	response, _ := answer.(*rpc.ClaimResponse)
	return response, err
}

// Finish is retried: it is idempotent by job id and epoch. Its errors are *fault.Error.
func (c *caller) Finish(ctx context.Context, request *rpc.FinishRequest) (*rpc.FinishResponse, error) {
	answer, err := c.retry(ctx, func(ctx context.Context, client rpc.Control) (any, error) {
		return client.Finish(ctx, request)
	})
	response, _ := answer.(*rpc.FinishResponse)
	return response, err
}

// Sync sends one message to the preferred control VM.
func (c *caller) Sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	answer, err := c.pool.current().control().Sync(ctx, request)
	return answer, faultrpc.From(err)
}

// Digest sends one message to the preferred control VM.
func (c *caller) Digest(ctx context.Context, request *rpc.DigestRequest) (*rpc.DigestResponse, error) {
	answer, err := c.pool.current().control().Digest(ctx, request)
	return answer, faultrpc.From(err)
}

// retry calls until an answer, a refusal that no other VM would change, or the end of ctx. The error is fault.Unknown
// when any of the attempts may have taken effect.
func (c *caller) retry(ctx context.Context, call func(context.Context, rpc.Control) (any, error)) (any, error) {
	backoff := newBackoff(DefaultMaxBackoff)
	mayHaveRun := false
	for {
		server := c.pool.current()
		answer, err := attempt(ctx, server.control(), call)
		if err == nil {
			return answer, nil
		}
		found := fault.Of(faultrpc.From(err))
		if !worthRetrying(found.Kind) {
			return nil, found
		}
		mayHaveRun = mayHaveRun || found.Kind != fault.Unavailable
		c.pool.rotate(server)
		if !sleep(ctx, backoff.next()) {
			return nil, exhausted(found, mayHaveRun)
		}
	}
}

func attempt(ctx context.Context, client rpc.Control, call func(context.Context, rpc.Control) (any, error)) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, client)
}

// worthRetrying reports whether another control VM could answer better.
func worthRetrying(kind fault.Kind) bool {
	return kind == fault.Unavailable || kind == fault.Unknown || kind == fault.Internal || kind == fault.Storage
}

func exhausted(last *fault.Error, mayHaveRun bool) error {
	if mayHaveRun {
		return fault.New(fault.Unknown, "send the same request again", "control: no answer in time: %s", last.Message)
	}
	return fault.New(fault.Unavailable, "check that a majority of the control VMs runs", "control: %s", last.Message)
}

// sleep returns false when ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// counted counts the messages of one client, and their bodies when connections can't be counted.
type counted struct {
	rpc.Control
	pool *pool
}

// Sync counts and forwards.
func (c *counted) Sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	answer, err := c.Control.Sync(ctx, request)
	c.count(request, answer)
	return answer, err
}

// Claim counts and forwards.
func (c *counted) Claim(ctx context.Context, request *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	answer, err := c.Control.Claim(ctx, request)
	c.count(request, answer)
	return answer, err
}

// Finish counts and forwards.
func (c *counted) Finish(ctx context.Context, request *rpc.FinishRequest) (*rpc.FinishResponse, error) {
	answer, err := c.Control.Finish(ctx, request)
	c.count(request, answer)
	return answer, err
}

func (c *counted) count(messages ...proto.Message) {
	c.pool.metrics.Add("control_messages", int64(len(messages)))
	if c.pool.shared == nil {
		return
	}
	for _, message := range messages {
		c.pool.metrics.Add("control_bytes", int64(proto.Size(message)))
	}
}
