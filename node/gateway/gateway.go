// Package gateway is the runtime of an entry: it runs the event loop around dispatch.Dispatcher, keeps the sessions with
// sidecars, and calls control about stored jobs. Jobs that are not stored are kept in memory while their callers wait; their
// answers are remembered for a while, and shared with the other entries.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/partition"
	"flamingohall.example/core/policy"
	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/duty"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/stream"
	"flamingohall.example/node/workwire"
)

const (
	// inputCapacity is the most inputs that wait for the loop.
	inputCapacity = 4096
	// busyTick and idleTick are the longest times between two calls of Dispatcher.Advance, with and without jobs.
	busyTick = 10 * time.Millisecond
	idleTick = 100 * time.Millisecond
)

// Options configure an entry. All fields but RemoteDataFactor and Policy are required.
type Options struct {
	ID         string
	DataCentre string
	// Address is the host:port of this process's internal listener, as announced to the registry.
	Address string
	// Control lists the host:port addresses of control VMs.
	Control []string
	// ControlHold is the longest time for which a control VM may delay the answer to a long poll.
	ControlHold time.Duration
	// RemoteDataFactor is how many times as long a task takes away from the rack of its data. Below 1, it is that of
	// dispatch.DefaultLimits.
	RemoteDataFactor float64
	// Policy configures the decisions; the zero value is replaced by policy.Default.
	Policy  policy.Policy
	Logger  logr.Logger
	Metrics *metrics.Role
}

// Gateway is the entry role of a process.
type Gateway struct {
	options  Options
	follower *controlclient.Follower
	core     *dispatch.Dispatcher
	loop     *duty.Loop
	// callers, by job ID, and peers, by worker ID, are accessed only from the loop.
	callers map[string][]chan dispatch.Answer
	peers   map[string]*stream.Peer
	// busy holds the workers that had tasks of this entry at the last call of markBusy.
	busy map[string]bool

	// jobsClient calls control about stored jobs. holder is the name under which this entry holds them.
	jobsClient   *controlclient.Jobs
	holder       atomic.Pointer[string]
	leaseRenewer *leaseRenewer
	recorder     *recorder
	answers      *answerSharer

	counters counters
	jobs     atomic.Int64
	// workers is the number of workers that accept tasks.
	workers atomic.Int64
	leaving atomic.Bool
	// startupDone is closed when the startup of the process has ended; requests that arrive earlier wait for it.
	startupDone chan struct{}
	context     context.Context
	cancel      context.CancelFunc
	duties      sync.WaitGroup
}

// New returns a gateway. It is idle until Start is called.
func New(options Options) *Gateway {
	seed := rand.Uint64() //nolint:gosec // Not a secret.
	g := &Gateway{
		options: options, core: dispatch.New(options.limits(), options.DataCentre, seed),
		callers: map[string][]chan dispatch.Answer{}, peers: map[string]*stream.Peer{}, startupDone: make(chan struct{}),
	}
	g.context, g.cancel = context.WithCancel(context.Background())
	g.loop = duty.NewLoop(inputCapacity, g.context.Done())
	record := &rpc.Node{
		Id: options.ID, Role: rpc.Role_ROLE_ENTRY, Incarnation: duty.Incarnation(), DataCentre: options.DataCentre,
		Address: options.Address,
	}
	g.follower = controlclient.NewFollower(controlclient.Options{
		Addresses: options.Control, Self: func() *rpc.Node { return record }, WantNodes: true, WantCatalogue: true,
		Logger: options.Logger, Metrics: options.Metrics, Hold: options.ControlHold,
		MaxBackoff: controlclient.ShortMaxBackoff, DialTimeout: controlclient.ShortDialTimeout,
	})
	g.jobsClient, g.leaseRenewer, g.recorder = g.follower.Jobs(), newLeaseRenewer(g), newRecorder(g)
	g.answers = &answerSharer{gateway: g}
	g.publishGauges()
	return g
}

// limits returns the dispatcher's limits.
func (o *Options) limits() dispatch.Limits {
	limits := dispatch.DefaultLimits
	if o.Policy != (policy.Policy{}) {
		limits.Policy = o.Policy
	}
	if o.RemoteDataFactor >= 1 {
		limits.RemoteDataFactor = o.RemoteDataFactor
	}
	return limits
}

// Register adds the service that other entries call. Callers use separate listeners.
func (g *Gateway) Register(mux *http.ServeMux) {
	mux.Handle(rpc.AnswersPathPrefix, rpc.NewAnswersServer(g.answers))
}

// Start starts the background loops, which run until ctx ends or Stop is called.
func (g *Gateway) Start(ctx context.Context) error {
	context.AfterFunc(ctx, g.cancel)
	g.follower.Start(g.context)
	g.duties.Go(func() { g.loop.Run(g.advance) })
	g.duties.Go(g.awaitWorkers)
	g.duties.Go(func() { g.leaseRenewer.run(g.context) })
	g.duties.Go(func() { g.recorder.run(g.context) })
	g.duties.Go(func() { g.answers.run(g.context) })
	g.duties.Go(func() {
		(&sessionManager{gateway: g, session: map[string]*sidecarSession{}, drained: map[string]bool{}}).run(g.context)
	})
	return nil
}

// Ready returns nil if the entry is not leaving and has received a confirmed state from control.
func (g *Gateway) Ready() error {
	if g.leaving.Load() {
		return fault.New(fault.Unavailable, "use another entry", "the entry is stopping")
	}
	return g.follower.Ready()
}

// SetControl replaces the configured addresses of control VMs.
func (g *Gateway) SetControl(addresses []string) {
	g.follower.SetAddresses(addresses)
}

const (
	// maxStartupWait is the longest time for which requests wait for workers after the process has started. It is longer
	// than control takes to elect a leader after a power failure. Requests that arrive later are refused at once if there
	// are no workers.
	maxStartupWait      = 2 * time.Second
	startupPollInterval = 10 * time.Millisecond
	// workerSettleTime is the time without a new worker after which startup ends although registered workers are missing.
	// It is several times as long as opening a session takes. With the first worker alone, most of the waiting requests
	// would be refused.
	workerSettleTime = 60 * time.Millisecond
)

// awaitWorkers closes startupDone once a catalogue is in force, the workers have connected and the other entries were asked for
// their jobs in progress, and after maxStartupWait in any case.
func (g *Gateway) awaitWorkers() {
	defer close(g.startupDone)
	ctx, cancel := context.WithTimeout(g.context, maxStartupWait)
	defer cancel()
	duty.Until(ctx, startupPollInterval, func() bool {
		_, revision := g.Catalogue()
		return revision != 0 && g.workers.Load() > 0
	})
	var highest int64
	var grewAt time.Time
	duty.Until(ctx, startupPollInterval, func() bool {
		count := g.workers.Load()
		if count > highest {
			highest, grewAt = count, time.Now()
		}
		return count >= g.expectedSidecars() || time.Since(grewAt) > workerSettleTime
	})
	// A caller whose connection to the previous process broke may send a job that another entry has in progress.
	duty.Until(ctx, startupPollInterval, g.answers.hasAskedAll)
}

// expectedSidecars returns the number of sidecars in this entry's part of control's registry.
func (g *Gateway) expectedSidecars() int64 {
	if view := g.follower.View(); view != nil {
		sidecars, entries := countRole(view.Nodes, rpc.Role_ROLE_SIDECAR), countRole(view.Nodes, rpc.Role_ROLE_ENTRY)
		return int64(partition.Size(sidecars, entries))
	}
	return 0
}

// AwaitStartup blocks until startup is done or ctx ends, and returns how long it blocked.
func (g *Gateway) AwaitStartup(ctx context.Context) time.Duration {
	arrived := time.Now()
	select {
	case <-g.startupDone:
		return 0
	default:
	}
	select {
	case <-g.startupDone:
	case <-ctx.Done():
	}
	return time.Since(arrived)
}

// Leave makes Ready fail. Jobs are still accepted until Stop ends the loops.
func (g *Gateway) Leave() {
	g.leaving.Store(true)
}

// Stop waits until no job is in progress or ctx ends, and stops the loops.
func (g *Gateway) Stop(ctx context.Context) error {
	g.Leave()
	duty.Until(ctx, busyTick, func() bool { return g.jobs.Load() == 0 })
	g.cancel()
	g.duties.Wait()
	return nil
}

// Catalogue returns the catalogue in force and its revision. The revision is 0 until a catalogue has been received.
func (g *Gateway) Catalogue() (catalogue.Document, uint64) {
	view := g.follower.View()
	if view == nil {
		return catalogue.Document{}, 0
	}
	return view.Catalogue, view.Revision
}

// Submit runs a job and returns its answer. If ctx ends first, this caller is removed from the job and the result is
// dispatch.GivenUp.
func (g *Gateway) Submit(ctx context.Context, job dispatch.Submission) dispatch.Answer {
	caller := make(chan dispatch.Answer, 1)
	// submitted is accessed only from the loop.
	submitted := false
	accepted := g.put(func(now time.Duration) {
		if ctx.Err() != nil {
			// The caller may already have sent the job to another entry.
			return
		}
		submitted = true
		g.callers[job.ID] = append(g.callers[job.ID], caller)
		g.core.Submit(now, job)
	})
	if !accepted {
		return dispatch.Answer{Job: job.ID, Queue: job.Queue.Name, Result: dispatch.Refused, Cause: dispatch.Stopping}
	}
	select {
	case answer := <-caller:
		return answer
	case <-ctx.Done():
	case <-g.context.Done():
	}
	g.put(func(now time.Duration) {
		if submitted {
			g.core.CallerLeft(now, job.ID)
		}
	})
	return dispatch.Answer{Job: job.ID, Queue: job.Queue.Name, Result: dispatch.GivenUp, Cause: dispatch.CallerGone}
}

// Cancel stops a job wherever it runs. It reports whether the job is known: it is stored, or its caller waits at this
// entry. The error is fault.Unavailable or fault.Unknown if the job may continue.
func (g *Gateway) Cancel(ctx context.Context, job string) (bool, error) {
	if g.cancelLocal(ctx, job, false) {
		return true, nil
	}
	if isStored, err := g.cancelStored(ctx, job); isStored || err != nil {
		return isStored, err
	}
	// The caller may wait at another entry, which learns of the cancel through the sidecars.
	return g.cancelLocal(ctx, job, true), nil
}

// cancelLocal cancels a job that is not stored and in progress at this entry, and reports whether there is one. With
// everywhere, the cancel is sent to the sidecars and other entries even if there is none.
func (g *Gateway) cancelLocal(ctx context.Context, job string, everywhere bool) bool {
	result := make(chan bool, 1)
	g.put(func(now time.Duration) {
		isKnown := g.core.HasUnstored(job)
		if isKnown || everywhere {
			g.core.Cancel(now, job)
		}
		result <- isKnown
	})
	select {
	case isKnown := <-result:
		return isKnown
	case <-ctx.Done():
	case <-g.context.Done():
	}
	return false
}

// Pending returns how many jobs of a queue have not begun: the jobs of this entry that are not stored, and the stored jobs
// of all entries as of the last answer from control.
func (g *Gateway) Pending(ctx context.Context, queue string) int {
	result := make(chan int, 1)
	g.put(func(time.Duration) { result <- g.core.Pending(queue) + int(g.leaseRenewer.waiting[queue]) })
	select {
	case count := <-result:
		return count
	case <-ctx.Done():
	case <-g.context.Done():
	}
	return 0
}

// put queues an input for the loop, and reports whether it was accepted.
func (g *Gateway) put(input func(now time.Duration)) bool {
	return g.loop.Put(input)
}

// advance advances the dispatcher and performs its effects. It returns the time until the next call.
func (g *Gateway) advance(now time.Duration) time.Duration {
	g.core.Advance(now)
	g.perform(g.core.Effects())
	g.markBusy()
	g.jobs.Store(int64(g.core.Jobs()))
	g.workers.Store(int64(g.core.Workers()))
	g.counters.drained.Store(int64(g.core.DrainedWorkers()))
	if g.core.Jobs() == 0 {
		return idleTick
	}
	return busyTick
}

// busyWorkers returns the workers that have tasks of this entry.
func (g *Gateway) busyWorkers() map[string]bool {
	result := make(chan map[string]bool, 1)
	if !g.put(func(time.Duration) { result <- g.core.BusyWorkers() }) {
		return nil
	}
	select {
	case busy := <-result:
		return busy
	case <-g.context.Done():
		return nil
	}
}

// markBusy tells the sessions which workers have tasks of this entry.
func (g *Gateway) markBusy() {
	busy := g.core.BusyWorkers()
	for id, peer := range g.peers {
		if isBusy := busy[id]; isBusy != g.busy[id] {
			peer.SetBusy(isBusy)
		}
	}
	g.busy = busy
}

// perform carries out the actions that the dispatcher has requested.
func (g *Gateway) perform(effects dispatch.Effects) {
	if len(effects.Records) > 0 {
		g.recorder.add(effects.Records)
	}
	if len(effects.Answered) > 0 {
		g.answers.add(effects.Answered)
	}
	for _, query := range effects.ProgressRequests {
		g.duties.Go(func() { g.query(query) })
	}
	for i := range effects.Frames {
		frame := &effects.Frames[i]
		if peer := g.peers[frame.Worker]; peer != nil {
			for _, part := range workwire.EncodePartsToSidecar(&frame.ToSidecar, stream.MaxPayloadBytes) {
				peer.Send(part)
			}
		}
	}
	for _, id := range effects.Close {
		if peer := g.peers[id]; peer != nil {
			peer.Close()
			delete(g.peers, id)
		}
	}
	for i := range effects.Answers {
		answer := effects.Answers[i]
		for _, caller := range g.callers[answer.Job] {
			caller <- answer
		}
		delete(g.callers, answer.Job)
		g.counters.recordAnswer(&answer)
		g.countByQueue(&answer)
		g.logAnswer(&answer)
	}
	for _, note := range effects.Notes {
		g.log(note)
	}
}
