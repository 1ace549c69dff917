package control

import (
	"context"
	"sync"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/state"
	"flamingohall.example/node/metrics"
)

// Limits of the proposer.
const (
	maxQueuedSteps  = 8_192
	maxBatchSteps   = 256
	maxBatchBytes   = 2 << 20
	maxBatchesAtOne = 8
	proposeTimeout  = 1500 * time.Millisecond
	stepOverhead    = 64
	// patientPeriod is how long a step that can wait is held for a command that goes anyway.
	patientPeriod = 50 * time.Millisecond
	targetSize    = 48
	endSize       = 48
)

// proposal is one step that waits for its result.
type proposal struct {
	step state.Step
	// size estimates the encoded step in bytes.
	size int
	// done has room for the one outcome.
	done chan outcome
}

type outcome struct {
	index  uint64
	result state.Result
	err    error
}

// proposer batches steps that wait at the same time into one command.
type proposer struct {
	group   Group
	metrics *metrics.Role
	queue   chan *proposal
	// patient holds the steps that can wait.
	patient chan *proposal
	// slots bounds the commands under way.
	slots    chan struct{}
	inFlight sync.WaitGroup
	// stopped is closed once run has returned: what has no outcome then is never proposed.
	stopped chan struct{}
}

func newProposer(group Group, role *metrics.Role) *proposer {
	return &proposer{
		group: group, metrics: role,
		queue: make(chan *proposal, maxQueuedSteps), patient: make(chan *proposal, maxQueuedSteps),
		slots: make(chan struct{}, maxBatchesAtOne), stopped: make(chan struct{}),
	}
}

// propose returns a step's result and the index of its command. Its errors are *fault.Error.
func (p *proposer) propose(ctx context.Context, step state.Step) (uint64, state.Result, error) {
	return p.proposeBy(ctx, p.queue, step)
}

// proposeLater is propose for a step that can wait up to patientPeriod for a command that goes anyway.
func (p *proposer) proposeLater(ctx context.Context, step state.Step) (uint64, state.Result, error) {
	return p.proposeBy(ctx, p.patient, step)
}

func (p *proposer) proposeBy(ctx context.Context, ring chan<- *proposal, step state.Step) (uint64, state.Result, error) {
	waiting := &proposal{step: step, size: sizeOf(step), done: make(chan outcome, 1)}
	select {
	case ring <- waiting:
	default:
		refused := fault.New(fault.Overloaded, "send fewer claims at once", "control: %d steps are queued", maxQueuedSteps)
		return 0, state.Result{}, refused.WithRetryAfter(proposeTimeout)
	}
	select {
	case got := <-waiting.done:
		return got.index, got.result, got.err
	case <-p.stopped:
		return waiting.afterStop()
	case <-ctx.Done():
		return 0, state.Result{}, fault.New(fault.Unknown, "send the same request again", "control: %v", ctx.Err())
	}
}

// afterStop returns the outcome of a step that was under way when the proposer stopped, or a refusal.
func (w *proposal) afterStop() (uint64, state.Result, error) {
	select {
	case got := <-w.done:
		return got.index, got.result, got.err
	default:
		return 0, state.Result{}, stopping()
	}
}

// run is the proposer's duty. It returns when ctx has ended and every command under way has its outcome.
func (p *proposer) run(ctx context.Context) {
	defer close(p.stopped)
	defer p.inFlight.Wait()
	patience := time.NewTicker(patientPeriod)
	defer patience.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case p.slots <- struct{}{}:
		}
		batch := p.next(ctx, patience.C)
		if len(batch) == 0 {
			<-p.slots
			continue
		}
		p.inFlight.Go(func() {
			defer func() { <-p.slots }()
			p.commit(context.WithoutCancel(ctx), batch)
		})
	}
}

// next waits for a step that can't wait, or for the end of patience, and returns it with all else that waits.
func (p *proposer) next(ctx context.Context, impatient <-chan time.Time) []*proposal {
	var batch []*proposal
	select {
	case <-ctx.Done():
		return nil
	case first := <-p.queue:
		batch = append(batch, first)
	case <-impatient:
	}
	batch = collect(batch, p.queue)
	return collect(batch, p.patient)
}

// collect adds to the batch what waits in the ring already.
func collect(batch []*proposal, ring <-chan *proposal) []*proposal {
	size := 0
	for _, waiting := range batch {
		size += waiting.size
	}
	for len(batch) < maxBatchSteps && size < maxBatchBytes {
		select {
		case next := <-ring:
			batch = append(batch, next)
			size += next.size
		default:
			return batch
		}
	}
	return batch
}

// commit proposes one command and hands each step its result.
func (p *proposer) commit(ctx context.Context, batch []*proposal) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p.metrics.Add("commands_proposed", 1)
	p.metrics.Add("steps_proposed", int64(len(batch)))
	index, results, err := p.commitSteps(ctx, batch)
	for i, waiting := range batch {
		got := outcome{index: index, err: err}
		if err == nil {
			got.result = results[i]
		}
		waiting.done <- got
	}
}

func (p *proposer) commitSteps(ctx context.Context, batch []*proposal) (uint64, []state.Result, error) {
	command := state.Command{UnixMS: time.Now().UnixMilli()}
	for _, waiting := range batch {
		command.Steps = append(command.Steps, waiting.step)
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
	size := stepOverhead
	switch {
	case step.Claim != nil:
		size += targetSize * len(step.Claim.Targets)
	case step.Finish != nil:
		size += len(step.Finish.Body)
	case step.Change != nil:
		size += len(step.Change.Document) + len(step.Change.Source)
	case step.Store != nil:
		size += len(step.Store.Body)
	case step.Record != nil:
		size += endSize * len(step.Record)
	}
	return size
}
