package replica

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
	"flamingohall.example/node/rpc"
)

const (
	// searchTimeout limits the time for which a call looks for a leader, and a proposal waits for another VM.
	searchTimeout = 1500 * time.Millisecond
	// outcomeTimeout limits a call at a leader. The outcome of a proposal is known once it is applied or the leader steps
	// down, however long the storage or the processor takes; the limit only ends calls at a leader that hangs.
	outcomeTimeout = 30 * time.Second
	// retryInterval is the time between two attempts if neither the leader nor the members change.
	retryInterval = 50 * time.Millisecond
	// confirmTimeout limits one attempt of a confirmed read at the leader, and one attempt to join the group.
	confirmTimeout = time.Second
)

// errNotLeader means that the VM is not the leader and that the caller should retry at the leader.
var errNotLeader = errors.New("not the leader")

func errNoLeader() *fault.Error {
	return fault.New(fault.Unavailable, "retry; check that a majority of the control VMs runs",
		"the control VMs have no leader").WithRetryAfter(time.Second)
}

func errOverwritten() *fault.Error {
	return fault.New(fault.Unavailable, "retry", "the leader changed and the change was not applied").WithRetryAfter(time.Second)
}

func errOutcomeUnknown() *fault.Error {
	return fault.New(fault.Unknown, "send the same change again; it takes effect only once",
		"the leader changed before the change was confirmed")
}

func errNotConfirmed() *fault.Error {
	return fault.New(fault.Unknown, "send the same change again; it takes effect only once",
		"the leader has not confirmed the change in time; it may be short of processor time, or its storage slow")
}

const remedySpace = "start the control VMs that are down, and free space on the disks of the others, or repair them; retry then"

// errNoStorage returns the error of calls that certainly have no effect, since a majority can't store anything.
func errNoStorage() *fault.Error {
	return fault.New(fault.Unavailable, remedySpace,
		"a majority of the control VMs can't store anything: they don't answer, or their disks take no writes").WithRetryAfter(time.Second)
}

// errNotStored returns the error of a change that was accepted before it was known that it can't be stored for now.
func errNotStored() *fault.Error {
	return fault.New(fault.Unknown, "start the control VMs that are down, and free space on the disks of the others; "+
		"send the same change again, it takes effect only once",
		"the change is not stored yet: a majority of the control VMs doesn't answer, or their disks take no writes")
}

// errNoAnswer returns the error of a read that was not confirmed in time. It distinguishes a slow leader from none.
func (g *Group) errNoAnswer() *fault.Error {
	leader := g.Status().Leader
	if leader == "" {
		return errNoLeader()
	}
	return fault.New(fault.Unavailable, "retry; check the processor time and the storage of the control VMs",
		"the leader %s has not confirmed the read in time", leader).WithRetryAfter(time.Second)
}

// Propose appends a command to the log through the leader, waits until it is applied, and returns its index and the
// application's result. Errors: fault.Unavailable if the command was certainly not applied, fault.Unknown if it may
// have been or may still be applied, fault.TooLarge.
func (g *Group) Propose(ctx context.Context, command []byte) (index uint64, result []byte, err error) {
	if len(command) > maxCommandBytes {
		return 0, nil, fault.New(fault.TooLarge, "split the change", "the command has %d bytes, more than %d",
			len(command), maxCommandBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	search, cancelSearch := context.WithTimeout(ctx, searchTimeout)
	defer cancelSearch()
	for {
		changed := g.changed.wait()
		var done outcome
		if g.Status().IsLeader {
			done = g.proposeLocally(ctx, command)
		} else {
			done = g.forward(search, command)
		}
		if !errors.Is(done.err, errNotLeader) {
			return done.index, done.result, done.err
		}
		if err := g.waitForRetry(search, changed); err != nil {
			return 0, nil, err
		}
	}
}

// waitForRetry waits for changed or for retryInterval. An error means that the call should not be retried.
func (g *Group) waitForRetry(ctx context.Context, changed <-chan struct{}) error {
	if failure := g.failure.Load(); failure != nil {
		return fault.New(fault.Unavailable, "use another control VM", "%s", failure.Message)
	}
	if failure := g.storage.failure(); failure != nil && g.hasNoLeaderFor(stallTimeout) {
		// The others had the time for an election, so they can't lead either, or can't reach this VM.
		return fault.New(fault.Unavailable, "use another control VM", "%s", fault.Of(failure).Message).
			WithRetryAfter(time.Second)
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

// hasNoLeaderFor reports whether this VM has known no leader for the duration.
func (g *Group) hasNoLeaderFor(duration time.Duration) bool {
	status := g.Status()
	return status.Leader == "" && time.Since(status.leaderLostAt) >= duration
}

// proposeLocally proposes the command to this VM's raft loop and waits for the outcome.
func (g *Group) proposeLocally(ctx context.Context, command []byte) outcome {
	p := &proposal{command: command, result: make(chan outcome, 1)}
	if !g.put(ctx, input{proposal: p}) {
		return outcome{err: errNoLeader()}
	}
	select {
	case done := <-p.result:
		return done
	case <-ctx.Done():
		return outcome{err: errNotConfirmed()}
	case <-g.ended:
	}
	select {
	case done := <-p.result:
		return done
	default:
		return outcome{err: errNoLeader()}
	}
}

// forward sends the command to the leader that this VM knows.
func (g *Group) forward(ctx context.Context, command []byte) outcome {
	address := g.Status().LeaderAddress
	if address == "" {
		return outcome{err: errNotLeader}
	}
	ctx, cancel := g.whileLeader(ctx, address)
	defer cancel()
	leader := g.connections.connection(address)
	response, err := leader.client().Forward(ctx, &rpc.ForwardRequest{Command: command})
	switch {
	case err == nil && response.GetIndex() == 0:
		return outcome{err: errNotLeader}
	case err == nil:
		return outcome{index: response.GetIndex(), result: response.GetResult()}
	case isDialError(err):
		return outcome{err: errNotLeader}
	}
	if ctx.Err() != nil {
		leader.reset()
	}
	return outcome{err: fromTwirp(err)}
}

// whileLeader returns a context that ends when this VM no longer believes that the VM at the address is the leader. A
// call over a connection that stopped responding then ends with the election instead of at its deadline.
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

// isDialError reports whether the call failed to connect, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Confirm waits until this VM has applied every command that was committed when Confirm was called, and returns the
// confirmed index. A read of the application's state after it is linearizable. The error is fault.Unavailable.
func (g *Group) Confirm(ctx context.Context) (index uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	searchEnd := time.Now().Add(searchTimeout)
	for {
		changed := g.changed.wait()
		if g.Status().Leader != "" {
			searchEnd = time.Now().Add(searchTimeout)
		}
		index, err := g.confirmedIndex(ctx)
		if err == nil {
			return index, g.waitApplied(ctx, index)
		}
		if fault.Is(err, fault.Unavailable) {
			return 0, err
		}
		if ctx.Err() != nil || time.Now().After(searchEnd) {
			return 0, g.errNoAnswer()
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
	leader := g.connections.connection(address)
	response, err := leader.client().Confirm(ctx, &rpc.ConfirmRequest{})
	if err != nil {
		if failure := fromTwirp(err); failure.Kind == fault.Unavailable {
			return 0, failure
		}
		leader.reset()
		return 0, err
	}
	if response.GetIndex() == 0 {
		return 0, errNotLeader
	}
	return response.GetIndex(), nil
}

// confirmLocally gets a confirmed index from this VM's raft loop. The error is errNotLeader, fault.Unavailable if no
// quorum can store anything, or that of ctx.
func (g *Group) confirmLocally(ctx context.Context) (uint64, error) {
	request := &readRequest{result: make(chan uint64, 1)}
	if !g.put(ctx, input{read: request}) {
		return 0, errNotLeader
	}
	select {
	case index, confirmed := <-request.result:
		if view := g.view.Load(); !confirmed && view.Role == raft.Leader && !view.CanCommit {
			return 0, errNoStorage()
		}
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

// isStuckBefore reports whether this VM can't apply the index for now because its storage takes no writes. A sole voter
// is not stuck: whatever is committed, it has stored.
func (g *Group) isStuckBefore(index uint64) bool {
	return g.storage.state() != raft.StorageWorks && g.view.Load().Synced < index && !g.Status().isSoleVoter
}

func (g *Group) waitApplied(ctx context.Context, index uint64) error {
	for {
		advanced := g.applied.signal.wait()
		done, failed := g.applied.reached(index)
		if done {
			return nil
		}
		if failed {
			return errNoLeader()
		}
		if g.isStuckBefore(index) {
			return fault.New(fault.Unavailable, "use another control VM",
				"this control VM can't store index %d: %s", index, g.storage.message()).WithRetryAfter(time.Second)
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "retry, or use another control VM",
				"this control VM has not applied index %d yet", index).WithRetryAfter(time.Second)
		}
	}
}
