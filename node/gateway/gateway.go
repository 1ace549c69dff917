// Package gateway is the runtime of an entry for jobs that are kept in memory while their callers wait: the loop around
// dispatch.Dispatcher, and the sessions with sidecars.
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
	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/duty"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/stream"
	"flamingohall.example/node/workwire"
)

const (
	// inputRing bounds what waits for the loop.
	inputRing = 4096
	// busyTick and idleTick are the longest times between two looks at the clock.
	busyTick = 10 * time.Millisecond
	idleTick = 100 * time.Millisecond
)

// Options describe an entry. All fields are required.
type Options struct {
	ID         string
	DataCentre string
	// Address is the host:port of this process's internal listener, for the registry.
	Address string
	// Control are the host:port pairs of control VMs.
	Control []string
	// ControlHold is the longest time that a control VM may hold a poll.
	ControlHold time.Duration
	Logger      logr.Logger
	Metrics     *metrics.Role
}

// Gateway is the entry role of a process.
type Gateway struct {
	options  Options
	follower *controlclient.Follower
	core     *dispatch.Dispatcher
	loop     *duty.Loop
	// callers and peers belong to the loop.
	callers map[string][]chan dispatch.Answer
	peers   map[string]*stream.Peer

	// stored calls control about stored jobs, for which holder is this entry's name.
	stored   *controlclient.Jobs
	holder   atomic.Pointer[string]
	keeper   *keeper
	recorder *recorder

	counters counters
	jobs     atomic.Int64
	// workers is the number of workers that take tasks.
	workers atomic.Int64
	leaving atomic.Bool
	// opened is closed when requests need not wait for the process to start.
	opened  chan struct{}
	context context.Context
	cancel  context.CancelFunc
	duties  sync.WaitGroup
}

// New returns a gateway that does nothing before Start.
func New(options Options) *Gateway {
	seed := rand.Uint64() //nolint:gosec // Not a secret.
	g := &Gateway{
		options: options, core: dispatch.New(dispatch.DefaultLimits, options.DataCentre, seed),
		callers: map[string][]chan dispatch.Answer{}, peers: map[string]*stream.Peer{}, opened: make(chan struct{}),
	}
	g.context, g.cancel = context.WithCancel(context.Background())
	g.loop = duty.NewLoop(inputRing, g.context.Done())
	record := &rpc.Node{
		Id: options.ID, Role: rpc.Role_ROLE_ENTRY, Incarnation: duty.Incarnation(), DataCentre: options.DataCentre,
		Address: options.Address,
	}
	g.follower = controlclient.NewFollower(controlclient.Options{
		Addresses: options.Control, Self: func() *rpc.Node { return record }, WantNodes: true, WantCatalogue: true,
		Logger: options.Logger, Metrics: options.Metrics, Hold: options.ControlHold,
		MaxBackoff: controlclient.ShortMaxBackoff, DialTimeout: controlclient.ShortDialTimeout,
	})
	g.stored, g.keeper, g.recorder = g.follower.Jobs(), newKeeper(g), newRecorder(g)
	g.publishGauges()
	return g
}

// Register adds nothing: callers reach an entry through listeners of their own.
func (g *Gateway) Register(*http.ServeMux) {}

// Start starts the loops.
func (g *Gateway) Start(ctx context.Context) error {
	context.AfterFunc(ctx, g.cancel)
	g.follower.Start(g.context)
	g.duties.Go(func() { g.loop.Run(g.advance) })
	g.duties.Go(g.openWhenAble)
	g.duties.Go(func() { g.keeper.run(g.context) })
	g.duties.Go(func() { g.recorder.run(g.context) })
	g.duties.Go(func() { (&roster{gateway: g, kept: map[string]*keptSession{}}).run(g.context) })
	return nil
}

// Ready returns nil while the entry takes jobs.
func (g *Gateway) Ready() error {
	if g.leaving.Load() {
		return fault.New(fault.Unavailable, "use another entry", "the entry is stopping")
	}
	return g.follower.Ready()
}

// SetControl replaces the addresses of control VMs that the settings name.
func (g *Gateway) SetControl(addresses []string) {
	g.follower.SetAddresses(addresses)
}

const (
	// openPatience is how long a process that starts lets callers wait for workers: longer than control takes to elect a
	// leader after a loss of power. After that callers are told at once that there are none.
	openPatience = 2 * time.Second
	openPoll     = 10 * time.Millisecond
	// gatherPause is how long no further worker must have come in reach: several times as long as a session takes to begin.
	// With the first worker alone most callers would be turned away.
	gatherPause = 60 * time.Millisecond
)

// openWhenAble closes opened once jobs can be run, a catalogue being in force and the workers in reach, and after
// openPatience in any case.
func (g *Gateway) openWhenAble() {
	defer close(g.opened)
	ctx, cancel := context.WithTimeout(g.context, openPatience)
	defer cancel()
	duty.Until(ctx, openPoll, func() bool {
		_, revision := g.Catalogue()
		return revision != 0 && g.workers.Load() > 0
	})
	var most int64
	var grewAt time.Time
	duty.Until(ctx, openPoll, func() bool {
		count := g.workers.Load()
		if count > most {
			most, grewAt = count, time.Now()
		}
		return count >= g.listedSidecars() || time.Since(grewAt) > gatherPause
	})
}

// listedSidecars returns how many sidecars control lists.
func (g *Gateway) listedSidecars() int64 {
	var count int64
	if view := g.follower.View(); view != nil {
		for _, node := range view.Nodes {
			if node.GetRole() == rpc.Role_ROLE_SIDECAR {
				count++
			}
		}
	}
	return count
}

// AwaitStartup holds a request that comes while the process starts, and returns for how long.
func (g *Gateway) AwaitStartup(ctx context.Context) time.Duration {
	arrived := time.Now()
	select {
	case <-g.opened:
		return 0
	default:
	}
	select {
	case <-g.opened:
	case <-ctx.Done():
	}
	return time.Since(arrived)
}

// Leave makes Ready fail. Jobs are still taken until Stop.
func (g *Gateway) Leave() {
	g.leaving.Store(true)
}

// Stop waits for the jobs under way until ctx ends, and ends the loops.
func (g *Gateway) Stop(ctx context.Context) error {
	g.Leave()
	duty.Until(ctx, busyTick, func() bool { return g.jobs.Load() == 0 })
	g.cancel()
	g.duties.Wait()
	return nil
}

// Catalogue returns the catalogue in force and its revision, 0 before the first one.
func (g *Gateway) Catalogue() (catalogue.Document, uint64) {
	view := g.follower.View()
	if view == nil {
		return catalogue.Document{}, 0
	}
	return view.Catalogue, view.Revision
}

// Submit hands a job in and returns its answer. When ctx ends first, the job loses this caller, and the answer is that
// it was given up.
func (g *Gateway) Submit(ctx context.Context, job dispatch.Submission) dispatch.Answer {
	caller := make(chan dispatch.Answer, 1)
	isIn := g.put(func(now time.Duration) {
		g.callers[job.ID] = append(g.callers[job.ID], caller)
		g.core.Submit(now, job)
	})
	if !isIn {
		return dispatch.Answer{Job: job.ID, Queue: job.Queue.Name, Result: dispatch.Refused, Cause: dispatch.Stopping}
	}
	select {
	case answer := <-caller:
		return answer
	case <-ctx.Done():
	case <-g.context.Done():
	}
	g.put(func(now time.Duration) { g.core.CallerLeft(now, job.ID) })
	return dispatch.Answer{Job: job.ID, Queue: job.Queue.Name, Result: dispatch.GivenUp, Cause: dispatch.CallerGone}
}

// Cancel stops a job wherever it runs, and reports whether it is known: a stored one, or one whose caller waits here. The
// error is fault.Unavailable or fault.Unknown when the job may go on.
func (g *Gateway) Cancel(ctx context.Context, job string) (bool, error) {
	if g.cancelHere(ctx, job, false) {
		return true, nil
	}
	if isStored, err := g.cancelStored(ctx, job); isStored || err != nil {
		return isStored, err
	}
	// Its caller may wait at another entry, which hears of the cancel through the sidecars.
	return g.cancelHere(ctx, job, true), nil
}

// cancelHere stops a job whose caller waits, and reports whether it is under way here. With everywhere the other entries
// are told of it in any case.
func (g *Gateway) cancelHere(ctx context.Context, job string, everywhere bool) bool {
	known := make(chan bool, 1)
	g.put(func(now time.Duration) {
		isHere := g.core.HasUnstored(job)
		if isHere || everywhere {
			g.core.Cancel(now, job)
		}
		known <- isHere
	})
	select {
	case isHere := <-known:
		return isHere
	case <-ctx.Done():
	case <-g.context.Done():
	}
	return false
}

// Pending returns how many of a queue's jobs have not begun: those of callers who wait here, and all stored ones as told
// at the last call to control.
func (g *Gateway) Pending(ctx context.Context, queue string) int {
	counted := make(chan int, 1)
	g.put(func(time.Duration) { counted <- g.core.Pending(queue) + int(g.keeper.waiting[queue]) })
	select {
	case count := <-counted:
		return count
	case <-ctx.Done():
	case <-g.context.Done():
	}
	return 0
}

// put hands an input to the loop, and reports whether it was taken.
func (g *Gateway) put(input func(now time.Duration)) bool {
	return g.loop.Put(input)
}

// advance lets the core act, and returns when it is to act again.
func (g *Gateway) advance(now time.Duration) time.Duration {
	g.core.Advance(now)
	g.carryOut(g.core.Effects())
	g.jobs.Store(int64(g.core.Jobs()))
	g.workers.Store(int64(g.core.Workers()))
	if g.core.Jobs() == 0 {
		return idleTick
	}
	return busyTick
}

// carryOut sends what the core wants sent.
func (g *Gateway) carryOut(effects dispatch.Effects) {
	if len(effects.Records) > 0 {
		g.recorder.add(effects.Records)
	}
	for _, ask := range effects.ProgressRequests {
		g.duties.Go(func() { g.ask(ask) })
	}
	for i := range effects.Frames {
		frame := &effects.Frames[i]
		if peer := g.peers[frame.Worker]; peer != nil {
			peer.Send(workwire.EncodeToSidecar(&frame.ToSidecar))
		}
	}
	for i := range effects.Answers {
		answer := effects.Answers[i]
		for _, caller := range g.callers[answer.Job] {
			caller <- answer
		}
		delete(g.callers, answer.Job)
		g.counters.answered(&answer)
		g.logAnswer(&answer)
	}
	for _, note := range effects.Notes {
		g.log(note)
	}
}
