package controlclient

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// attemptTimeout bounds one attempt of Claim or Finish, so that a silent connection leaves time to try another VM.
const attemptTimeout = 2 * time.Second

// caller implements rpc.Control with failover between the control VMs.
type caller struct {
	pool *pool
}

// Claim retries until it is answered or ctx ends. Repeating it is safe, since it is idempotent by job id, holder
// incarnation and epoch. Errors are of type *fault.Error.
func (c *caller) Claim(ctx context.Context, request *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	answer, err := c.retry(ctx, func(ctx context.Context, client rpc.Control) (any, error) {
		return client.Claim(ctx, request)
	})
	response, _ := answer.(*rpc.ClaimResponse)
	return response, err
}

// Finish retries until it is answered or ctx ends. Repeating it is safe, since it is idempotent by job id and epoch.
// Errors are of type *fault.Error.
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

// retry repeats a call, on one VM after another, until it succeeds, fails with an error that another VM would return
// too, or ctx ends. The error is fault.Unknown if any of the attempts may have taken effect.
func (c *caller) retry(ctx context.Context, call func(context.Context, rpc.Control) (any, error)) (any, error) {
	backoff := newBackoff(DefaultMaxBackoff)
	mayHaveRun := false
	for {
		server := c.pool.current()
		answer, err := attempt(ctx, server.control(), call)
		if err == nil {
			return answer, nil
		}
		last := fault.Of(faultrpc.From(err))
		if !retryable(last.Kind) {
			return nil, last
		}
		mayHaveRun = mayHaveRun || last.Kind != fault.Unavailable
		c.pool.rotate(server)
		if !sleep(ctx, backoff.next()) {
			return nil, exhaustedError(last, mayHaveRun)
		}
	}
}

func attempt(ctx context.Context, client rpc.Control, call func(context.Context, rpc.Control) (any, error)) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, client)
}

// retryable reports whether another control VM may succeed where one failed with this kind of fault.
func retryable(kind fault.Kind) bool {
	return kind == fault.Unavailable || kind == fault.Unknown || kind == fault.Internal || kind == fault.Storage
}

func exhaustedError(last *fault.Error, mayHaveRun bool) error {
	if mayHaveRun {
		return fault.New(fault.Unknown, "send the same request again", "control: no answer before the deadline: %s", last.Message)
	}
	return fault.New(fault.Unavailable, "check that a majority of the control VMs runs", "control: %s", last.Message)
}

// sleep waits for the duration. It returns false if ctx ends first.
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

// countingControl counts the messages of one client, and the bytes of their bodies when the client's connections can't
// be counted.
type countingControl struct {
	rpc.Control
	pool *pool
}

// Sync forwards the call and counts its messages.
func (c *countingControl) Sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	answer, err := c.Control.Sync(ctx, request)
	c.count(request, answer)
	return answer, err
}

// Claim forwards the call and counts its messages.
func (c *countingControl) Claim(ctx context.Context, request *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	answer, err := c.Control.Claim(ctx, request)
	c.count(request, answer)
	return answer, err
}

// Finish forwards the call and counts its messages.
func (c *countingControl) Finish(ctx context.Context, request *rpc.FinishRequest) (*rpc.FinishResponse, error) {
	answer, err := c.Control.Finish(ctx, request)
	c.count(request, answer)
	return answer, err
}

func (c *countingControl) count(messages ...proto.Message) {
	c.pool.metrics.Add("control_messages", int64(len(messages)))
	if c.pool.shared == nil {
		return
	}
	for _, message := range messages {
		c.pool.metrics.Add("control_bytes", int64(proto.Size(message)))
	}
}
