package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/state"
	"flamingohall.example/node/metrics"
)

// Limits of the proposer, and estimates of the encoded sizes of a step and its parts.
const (
	maxQueuedSteps       = 8_192
	maxBatchSteps        = 256
	maxBatchBytes        = 2 << 20
	maxConcurrentBatches = 8
	// proposeTimeout limits the wait for commands in progress when the proposer stops.
	proposeTimeout    = 1500 * time.Millisecond
	stepOverheadBytes = 64
	// maxDeferral is how long a deferrable step waits for a command to join.
	maxDeferral      = 50 * time.Millisecond
	claimTargetBytes = 48
	endBytes         = 48
)

// proposal is a step that waits for its result.
type proposal struct {
	step state.Step
	// size is the estimated encoded size of step in bytes.
	size int
	// done has a buffer for the one outcome.
	done chan outcome
	// isAbandoned, if not nil, reports that no caller waits any more, so that the step must not be proposed.
	isAbandoned func() bool
}

type outcome struct {
	index  uint64
	result state.Result
	err    error
}

// proposer batches concurrent steps into commands.
type proposer struct {
	group   Group
	metrics *metrics.Role
	queue   chan *proposal
	// deferrable queues the steps that may wait for another command.
	deferrable chan *proposal
	// slots bounds the concurrent commands.
	slots    chan struct{}
	inFlight sync.WaitGroup
	// stopped is closed once run has returned. A step without an outcome by then is never proposed.
	stopped chan struct{}
}

func newProposer(group Group, role *metrics.Role) *proposer {
	return &proposer{
		group: group, metrics: role,
		queue: make(chan *proposal, maxQueuedSteps), deferrable: make(chan *proposal, maxQueuedSteps),
		slots: make(chan struct{}, maxConcurrentBatches), stopped: make(chan struct{}),
	}
}

// propose commits a step and returns the index of its command and its result. Errors are of type *fault.Error.
func (p *proposer) propose(ctx context.Context, step state.Step) (uint64, state.Result, error) {
	return p.enqueue(ctx, p.queue, &proposal{step: step})
}

// proposeAwaited is like propose, but a step that is still queued when ctx ends is not proposed.
func (p *proposer) proposeAwaited(ctx context.Context, step state.Step) (uint64, state.Result, error) {
	return p.enqueue(ctx, p.queue, &proposal{step: step, isAbandoned: func() bool { return ctx.Err() != nil }})
}

// proposeDeferrable is like propose, but the step may wait up to maxDeferral for another step's command.
func (p *proposer) proposeDeferrable(ctx context.Context, step state.Step) (uint64, state.Result, error) {
	return p.enqueue(ctx, p.deferrable, &proposal{step: step})
}

func (p *proposer) enqueue(ctx context.Context, queue chan<- *proposal, pending *proposal) (uint64, state.Result, error) {
	pending.size, pending.done = sizeOf(pending.step), make(chan outcome, 1)
	select {
	case queue <- pending:
	default:
		overloaded := fault.New(fault.Overloaded, "send fewer claims at once", "control: %d steps are queued", maxQueuedSteps)
		return 0, state.Result{}, overloaded.WithRetryAfter(proposeTimeout)
	}
	select {
	case got := <-pending.done:
		return got.index, got.result, got.err
	case <-p.stopped:
		return pending.afterStop()
	case <-ctx.Done():
		return 0, state.Result{}, fault.New(fault.Unknown, "send the same request again", "control: no outcome of the step yet: %v", ctx.Err())
	}
}

// afterStop returns the outcome of a step that was in progress when the proposer stopped, or an error if there is none.
func (p *proposal) afterStop() (uint64, state.Result, error) {
	select {
	case got := <-p.done:
		return got.index, got.result, got.err
	default:
		return 0, state.Result{}, stoppingError()
	}
}

// run executes the proposer. It returns when ctx has ended and every command in progress has its outcome.
func (p *proposer) run(ctx context.Context) {
	defer close(p.stopped)
	commits, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer p.awaitCommits(cancel)
	flush := time.NewTicker(maxDeferral)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case p.slots <- struct{}{}:
		}
		batch := p.next(ctx, flush.C)
		if len(batch) == 0 {
			<-p.slots
			continue
		}
		p.inFlight.Go(func() {
			defer func() { <-p.slots }()
			p.commit(commits, batch)
		})
	}
}

// awaitCommits waits for the commands in progress, and cancels them after proposeTimeout.
func (p *proposer) awaitCommits(cancel context.CancelFunc) {
	defer cancel()
	timer := time.AfterFunc(proposeTimeout, cancel)
	defer timer.Stop()
	p.inFlight.Wait()
}

// next waits for a step that isn't deferrable or for the flush tick. It returns all queued steps within the
// batch limits.
func (p *proposer) next(ctx context.Context, flush <-chan time.Time) []*proposal {
	var batch []*proposal
	select {
	case <-ctx.Done():
		return nil
	case first := <-p.queue:
		batch = append(batch, first)
	case <-flush:
	}
	batch = collect(batch, p.queue)
	return collect(batch, p.deferrable)
}

// collect moves queued steps to the batch up to its limits, without blocking.
func collect(batch []*proposal, queue <-chan *proposal) []*proposal {
	size := 0
	for _, pending := range batch {
		size += pending.size
	}
	for len(batch) < maxBatchSteps && size < maxBatchBytes {
		select {
		case next := <-queue:
			batch = append(batch, next)
			size += next.size
		default:
			return batch
		}
	}
	return batch
}

// commit proposes a batch as one command and delivers each step's outcome. It sets no time limit: while this VM leads,
// the command will be applied, and a caller that can't wait ends its own call.
func (p *proposer) commit(ctx context.Context, batch []*proposal) {
	batch = slices.DeleteFunc(batch, func(pending *proposal) bool { return pending.isAbandoned != nil && pending.isAbandoned() })
	if len(batch) == 0 {
		return
	}
	p.metrics.Add("commands_proposed", 1)
	p.metrics.Add("steps_proposed", int64(len(batch)))
	index, results, err := p.commitSteps(ctx, batch)
	for i, pending := range batch {
		got := outcome{index: index, err: err}
		if err == nil {
			got.result = results[i]
		}
		pending.done <- got
	}
}

func (p *proposer) commitSteps(ctx context.Context, batch []*proposal) (uint64, []state.Result, error) {
	command := state.Command{UnixMS: time.Now().UnixMilli()}
	for _, pending := range batch {
		command.Steps = append(command.Steps, pending.step)
	}
	encoded, err := command.Encode()
	if err != nil {
		return 0, nil, err
	}
	index, answer, err := p.group.Propose(ctx, encoded)
	if err != nil {
		return 0, nil, err
	}
	results, err := state.DecodeResults(answer)
	if err != nil || len(results) != len(batch) {
		return 0, nil, fault.New(fault.Internal, "upgrade all control VMs to one version",
			"control: %d results for %d steps: %v", len(results), len(batch), err)
	}
	return index, results, nil
}

func sizeOf(step state.Step) int {
	size := stepOverheadBytes
	switch {
	case step.Claim != nil:
		size += claimTargetBytes * len(step.Claim.Targets)
	case step.Finish != nil:
		size += len(step.Finish.Body)
	case step.Change != nil:
		size += len(step.Change.Document) + len(step.Change.Source)
	case step.Store != nil:
		size += len(step.Store.Body)
	case step.Record != nil:
		size += endBytes * len(step.Record)
	case step.Crashes != nil:
		size += endBytes * len(step.Crashes)
	}
	return size
}
