package sidecar

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/target"
	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/duty"
	"flamingohall.example/node/events"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

const (
	// outcomeAge is how long an outcome is kept when memory allows.
	outcomeAge = 20 * time.Minute
	// tombstoneCount bounds the forgotten never-repeated jobs that are still known as such.
	tombstoneCount = 65_536
	// settleTime is how long a never-repeated task may run on past its deadline.
	settleTime = 10 * time.Second
	// untoldTime is how long a planned stop waits for entries to fetch outcomes that nobody has been told.
	untoldTime = 3 * time.Second
	// goodbyeTime bounds the last message to control; without it the lease ends by itself.
	goodbyeTime = 3 * time.Second
	// requestRing is the number of requests that may wait for the loop.
	requestRing = 1024
	// tickPeriod is how often deadlines in the queue and the age of outcomes are looked at.
	tickPeriod = 100 * time.Millisecond
)

// membership is what the sidecar needs of controlclient.Follower.
type membership interface {
	Start(ctx context.Context)
	Ready() error
	View() *controlclient.View
	Changed() <-chan struct{}
	Announce()
	Goodbye(ctx context.Context) error
}

// Sidecar is the role. Make it with New.
type Sidecar struct {
	file        *settings.File
	options     settings.Sidecar
	logger      logr.Logger
	metrics     *metrics.Role
	incarnation string
	began       time.Time
	follower    membership
	client      *targetClient

	// core is touched by the loop only, as are recorder, replies and running.
	core     *target.Target
	recorder *recorder
	replies  map[uint64]chan<- target.Answer
	running  map[attemptKey]context.CancelFunc

	requests chan request
	calls    chan call
	stopped  chan struct{}
	// reachable is the last that was seen of the target; refused wakes the watcher.
	reachable atomic.Bool
	refused   chan struct{}

	waiters  atomic.Uint64
	leaving  atomic.Bool
	snapshot snapshot

	// cancel ends all goroutines; callsOver ends the calls to the target.
	cancel    context.CancelFunc
	callsOver context.CancelFunc
	work      sync.WaitGroup
}

// snapshot is what the loop publishes for others after each step.
type snapshot struct {
	busy, queued, remembered, bytes, untold, dropped atomic.Int64
	idle                                             atomic.Bool
}

// New returns a sidecar for file.Sidecar that does nothing before Start.
func New(file *settings.File, logger logr.Logger) (*Sidecar, error) {
	made, err := newSidecar(file, logger)
	if err != nil {
		return nil, err
	}
	limitHeap(file)
	made.follower = controlclient.NewFollower(controlclient.Options{
		Addresses: file.ControlAddresses, Self: made.self, Logger: logger, Metrics: made.metrics,
	})
	return made, nil
}

func newSidecar(file *settings.File, logger logr.Logger) (*Sidecar, error) {
	options := *file.Sidecar
	made := &Sidecar{
		file: file, options: options, logger: logger, metrics: metrics.NewRole("sidecar", file.Node.ID),
		incarnation: duty.Incarnation(), began: time.Now(),
		replies: map[uint64]chan<- target.Answer{}, running: map[attemptKey]context.CancelFunc{},
		requests: make(chan request, requestRing), calls: make(chan call, options.Slots),
		stopped: make(chan struct{}), refused: make(chan struct{}, 1),
	}
	client, err := newTargetClient(options)
	if err != nil {
		return nil, err
	}
	made.client = client
	bounds := target.Options{
		Incarnation: made.incarnation, Slots: options.Slots, Queue: options.Queue,
		OutcomeBytes: options.OutcomeMemoryMB << 20, OutcomeAge: outcomeAge,
		Tombstones: tombstoneCount, SettleTime: settleTime,
	}
	made.core = target.New(bounds)
	if made.recorder, err = openRecorder(options.TraceFolder, options.Target, bounds); err != nil {
		return nil, err
	}
	made.reachable.Store(true)
	made.publish()
	made.gauges()
	return made, nil
}

// Register adds the twirp service Sidecar to the process's internal listener.
func (s *Sidecar) Register(mux *http.ServeMux) {
	server := rpc.NewSidecarServer(service{s})
	mux.Handle(server.PathPrefix(), http.MaxBytesHandler(server, maxRequestBytes))
}

// Start starts the goroutines. They end when ctx ends: after Stop they go on refusing what still arrives.
func (s *Sidecar) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	calls, callsOver := context.WithCancel(ctx)
	s.callsOver = callsOver
	s.work.Go(func() { s.loop(ctx, calls) })
	for range s.options.Slots {
		s.work.Go(func() { s.callTarget(ctx) })
	}
	s.work.Go(func() { s.watchTarget(ctx) })
	s.follower.Start(ctx)
	s.work.Go(func() { s.followDrain(ctx) })
	events.SidecarStarted.Log(s.logger, "target", s.options.TargetURL, "incarnation", s.incarnation)
	return nil
}

// Ready returns nil once the target accepts connections and control knows of it, until Stop.
func (s *Sidecar) Ready() error {
	if s.leaving.Load() {
		return fault.New(fault.Unavailable, "use another target", "sidecar %s is stopping", s.file.Sidecar.Target)
	}
	if !s.client.seen.Load() || !s.reachable.Load() {
		return fault.New(fault.Unavailable, "start the target at "+s.options.TargetURL, "the target can't be reached")
	}
	return s.follower.Ready()
}

// Stop refuses new work at once, hands queued work back, and returns when what runs has ended and its outcomes have
// been fetched. What still runs when ctx ends is cut, and an error says so.
func (s *Sidecar) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.leaving.Store(true)
	s.follower.Announce()
	s.leave(ctx)
	events.SidecarLeaving.Log(s.logger, "busy", s.snapshot.busy.Load())
	cut := s.drain(ctx)
	s.goodbye(ctx)
	s.callsOver()
	s.client.close()
	return cut
}

// leave returns when the loop has heard of it and has taken all requests that came before.
func (s *Sidecar) leave(ctx context.Context) {
	s.post(ctx, request{event: target.Leave{}})
	barrier := target.Status{Waiter: s.waiters.Add(1)}
	if _, err := s.await(ctx, barrier, barrier.Waiter, maxHold); err != nil {
		events.SidecarDeregistrationFailed.LogError(s.logger, err)
	}
}

func (s *Sidecar) goodbye(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, goodbyeTime)
	defer cancel()
	if err := s.follower.Goodbye(ctx); err != nil {
		events.SidecarDeregistrationFailed.LogError(s.logger, err)
	}
}

// drainPoll is the period at which a stop looks whether all work is done.
const drainPoll = 5 * time.Millisecond

// drain waits until the loop has nothing left to do.
func (s *Sidecar) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	var quietSince time.Time
	for {
		select {
		case <-ctx.Done():
			return fault.New(fault.Unknown, "raise node.stop_grace_ms", "sidecar: %d tasks were cut by the end of the stop grace",
				s.snapshot.busy.Load())
		case now := <-ticker.C:
			if !s.snapshot.idle.Load() {
				quietSince = time.Time{}
				continue
			}
			if quietSince.IsZero() {
				quietSince = now
			}
			if s.snapshot.untold.Load() == 0 || now.Sub(quietSince) > untoldTime {
				return nil
			}
		}
	}
}

// self is this node's own record.
func (s *Sidecar) self() *rpc.Node {
	return &rpc.Node{
		Id: s.file.Sidecar.Target, Role: rpc.Role_ROLE_SIDECAR, Incarnation: s.incarnation,
		DataCentre: s.file.Node.DataCentre, Address: s.file.Node.Advertise, Leaving: s.leaving.Load(),
		Target: &rpc.TargetInfo{
			Worker: s.options.Worker, Rack: s.options.Rack, Pool: s.options.Pool, Slots: uint32(s.options.Slots),
			Cores: s.options.Cores, MemoryMb: uint64(s.options.MemoryMB), Accelerators: uint32(s.options.Accelerators),
		},
	}
}

// followDrain passes on whether an operator has drained the target.
func (s *Sidecar) followDrain(ctx context.Context) {
	drained := false
	for {
		changed := s.follower.Changed()
		view := s.follower.View()
		if view != nil && view.Drained != drained {
			drained = view.Drained
			s.post(ctx, request{event: target.Drain{Drained: drained}})
			events.SidecarDrained.Log(s.logger, "drained", drained)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// gauges publishes what the loop last told.
func (s *Sidecar) gauges() {
	s.metrics.Gauge("busy", func() any { return s.snapshot.busy.Load() })
	s.metrics.Gauge("queued", func() any { return s.snapshot.queued.Load() })
	s.metrics.Gauge("remembered_tasks", func() any { return s.snapshot.remembered.Load() })
	s.metrics.Gauge("remembered_bytes", func() any { return s.snapshot.bytes.Load() })
	s.metrics.Gauge("forgotten_jobs", func() any { return s.snapshot.dropped.Load() })
	s.metrics.Gauge("target_reachable", func() any { return s.reachable.Load() })
}
