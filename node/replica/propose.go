package replica

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
)

const (
	// callTimeout bounds how long a call looks for a leader when its caller sets no deadline before that.
	callTimeout = 5 * time.Second
	// retryInterval is the wait between two tries when nothing changes.
	retryInterval = 50 * time.Millisecond
	// confirmTimeout bounds one try of a confirmed read.
	confirmTimeout = time.Second
)

// errNotLeader sends a caller to the leader.
var errNotLeader = errors.New("not the leader")

func errNoLeader() *fault.Error {
	return fault.New(fault.Unavailable, "retry; check that a majority of the control VMs runs",
		"the control VMs have no leader").WithRetryAfter(time.Second)
}

func errOverwritten() *fault.Error {
	return fault.New(fault.Unavailable, "retry", "the leader changed and the change is not in force").WithRetryAfter(time.Second)
}

func errOutcomeUnknown() *fault.Error {
	return fault.New(fault.Unknown, "send the same change again: it takes effect once",
		"the leader changed before the change was confirmed")
}

// Propose puts a command into the log, through the leader, and returns its index and the application's result.
// Errors: fault.Unavailable, it is certainly not in force; fault.Unknown, it may be; fault.TooLarge.
func (g *Group) Propose(ctx context.Context, command []byte) (index uint64, result []byte, err error) {
	if len(command) > maxCommandBytes {
		return 0, nil, fault.New(fault.TooLarge, "split the change", "a command of %d bytes exceeds %d",
			len(command), maxCommandBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		changed := g.changed.wait()
		var done outcome
		if g.Status().IsLeader {
			done = g.proposeLocally(ctx, command)
		} else {
			done = g.forward(ctx, command)
		}
		if !errors.Is(done.err, errNotLeader) {
			return done.index, done.result, done.err
		}
		if err := g.waitForRetry(ctx, changed); err != nil {
			return 0, nil, err
		}
	}
}

// waitForRetry waits for a change of leader or a moment. Its error ends the call.
func (g *Group) waitForRetry(ctx context.Context, changed <-chan struct{}) error {
	if failure := g.failure.Load(); failure != nil {
		return fault.New(fault.Unavailable, "use another control VM", "%s", failure.Message)
	}
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errNoLeader()
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// proposeLocally proposes on this VM and waits for the outcome.
func (g *Group) proposeLocally(ctx context.Context, command []byte) outcome {
	p := &proposal{command: command, result: make(chan outcome, 1)}
	if !g.put(ctx, input{proposal: p}) {
		return outcome{err: errNoLeader()}
	}
	select {
	case done := <-p.result:
		return done
	case <-ctx.Done():
		return outcome{err: errOutcomeUnknown()}
	case <-g.ended:
	}
	select {
	case done := <-p.result:
		return done
	default:
		return outcome{err: errNoLeader()}
	}
}

// forward hands the command to the leader that this VM knows.
func (g *Group) forward(ctx context.Context, command []byte) outcome {
	address := g.Status().LeaderAddress
	if address == "" {
		return outcome{err: errNotLeader}
	}
	ctx, cancel := g.whileLeader(ctx, address)
	defer cancel()
	call := g.connections.connection(address)
	response, err := call.client().Forward(ctx, &rpc.ForwardRequest{Command: command})
	switch {
	case err == nil && response.GetIndex() == 0:
		return outcome{err: errNotLeader}
	case err == nil:
		return outcome{index: response.GetIndex(), result: response.GetResult()}
	case isDialError(err):
		return outcome{err: errNotLeader}
	}
	if ctx.Err() != nil {
		call.reset()
	}
	return outcome{err: fromTwirp(err)}
}

// whileLeader returns a context that ends when this VM no longer takes the one at the address for the leader. A call
// over a connection that went silent then ends with the election, and not with its deadline.
func (g *Group) whileLeader(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			changed := g.changed.wait()
			if g.Status().LeaderAddress != address {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// isDialError reports whether the call failed before anything was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Confirm returns once this VM has applied everything that was committed when it was called. A read of the
// application's state is then no older than the call. The error is fault.Unavailable.
func (g *Group) Confirm(ctx context.Context) (index uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		changed := g.changed.wait()
		index, err := g.confirmedIndex(ctx)
		if err == nil {
			return index, g.waitApplied(ctx, index)
		}
		if err := g.waitForRetry(ctx, changed); err != nil {
			return 0, err
		}
	}
}

func (g *Group) confirmedIndex(ctx context.Context) (uint64, error) {
	if g.Status().IsLeader {
		return g.confirmLocally(ctx)
	}
	address := g.Status().LeaderAddress
	if address == "" {
		return 0, errNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	ctx, release := g.whileLeader(ctx, address)
	defer release()
	call := g.connections.connection(address)
	response, err := call.client().Confirm(ctx, &rpc.ConfirmRequest{})
	if err != nil {
		call.reset()
		return 0, err
	}
	if response.GetIndex() == 0 {
		return 0, errNotLeader
	}
	return response.GetIndex(), nil
}

// confirmLocally asks the raft loop for a confirmed index.
func (g *Group) confirmLocally(ctx context.Context) (uint64, error) {
	request := &readRequest{result: make(chan uint64, 1)}
	if !g.put(ctx, input{read: request}) {
		return 0, errNotLeader
	}
	select {
	case index, confirmed := <-request.result:
		if !confirmed {
			return 0, errNotLeader
		}
		return index, nil
	case <-g.ended:
		return 0, errNotLeader
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (g *Group) waitApplied(ctx context.Context, index uint64) error {
	for {
		moved := g.applied.signal.wait()
		done, failed := g.applied.reached(index)
		if done {
			return nil
		}
		if failed {
			return errNoLeader()
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "retry, or use another control VM",
				"this control VM lags behind index %d", index).WithRetryAfter(time.Second)
		}
	}
}
