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
	// outcomeAge is how long an outcome is kept if memory allows.
	outcomeAge = 20 * time.Minute
	// tombstoneCount bounds the never-repeated jobs that are still recognised after their outcomes were dropped.
	tombstoneCount = 65_536
	// settleTime is how long a never-repeated task may run beyond its deadline.
	settleTime = 10 * time.Second
	// deliveryTimeout is how long a planned stop waits for entries to fetch undelivered outcomes.
	deliveryTimeout = 3 * time.Second
	// deregisterTimeout bounds the last message to control. If it fails, the lease expires by itself.
	deregisterTimeout = 3 * time.Second
	// requestQueue is the number of requests that may wait for the loop.
	requestQueue = 1024
	// tickPeriod is the time between two checks of deadlines in the queue and of the age of outcomes.
	tickPeriod = 100 * time.Millisecond
)

// membership is the part of controlclient.Follower that the sidecar uses.
type membership interface {
	Start(ctx context.Context)
	Ready() error
	View() *controlclient.View
	Changed() <-chan struct{}
	Announce()
	Goodbye(ctx context.Context) error
}

// Sidecar is the role. Create it with New.
type Sidecar struct {
	file        *settings.File
	options     settings.Sidecar
	logger      logr.Logger
	metrics     *metrics.Role
	incarnation string
	startedAt   time.Time
	follower    membership
	client      *targetClient

	// core, recorder, replies and running belong to the loop.
	core     *target.Target
	recorder *recorder
	replies  map[uint64]chan<- target.Answer
	running  map[attemptKey]context.CancelFunc

	requests chan request
	calls    chan call
	stopped  chan struct{}
	// reachable is whether the last attempt to reach the target succeeded. wakeWatcher makes the watcher shorten its
	// period.
	reachable   atomic.Bool
	wakeWatcher chan struct{}

	// waiters is the number of the newest waiter, which identifies the request that a target.Answer belongs to.
	waiters  atomic.Uint64
	leaving  atomic.Bool
	snapshot snapshot

	// cancel ends all goroutines; cancelCalls ends the calls to the target.
	cancel      context.CancelFunc
	cancelCalls context.CancelFunc
	goroutines  sync.WaitGroup
}

// snapshot is the state that the loop publishes for other goroutines after each step.
type snapshot struct {
	busy, queued, remembered, bytes, undelivered, dropped atomic.Int64
	idle                                                  atomic.Bool
}

// New returns a sidecar for file.Sidecar. It does nothing before Start.
func New(file *settings.File, logger logr.Logger) (*Sidecar, error) {
	s, err := newSidecar(file, logger)
	if err != nil {
		return nil, err
	}
	limitHeap(file)
	s.follower = controlclient.NewFollower(controlclient.Options{
		Addresses: file.ControlAddresses, Self: s.self, Logger: logger, Metrics: s.metrics,
	})
	return s, nil
}

func newSidecar(file *settings.File, logger logr.Logger) (*Sidecar, error) {
	options := *file.Sidecar
	s := &Sidecar{
		file: file, options: options, logger: logger, metrics: metrics.NewRole("sidecar", file.Node.ID),
		incarnation: duty.Incarnation(), startedAt: time.Now(),
		replies: map[uint64]chan<- target.Answer{}, running: map[attemptKey]context.CancelFunc{},
		requests: make(chan request, requestQueue), calls: make(chan call, options.Slots),
		stopped: make(chan struct{}), wakeWatcher: make(chan struct{}, 1),
	}
	client, err := newTargetClient(options)
	if err != nil {
		return nil, err
	}
	s.client = client
	bounds := target.Options{
		Incarnation: s.incarnation, Slots: options.Slots, Queue: options.Queue,
		OutcomeBytes: options.OutcomeMemoryMB << 20, OutcomeAge: outcomeAge,
		Tombstones: tombstoneCount, SettleTime: settleTime,
	}
	s.core = target.New(bounds)
	if s.recorder, err = openRecorder(options.TraceFolder, options.Target, bounds); err != nil {
		return nil, err
	}
	s.reachable.Store(true)
	s.publish()
	s.gauges()
	return s, nil
}

// Register adds the twirp service Sidecar to the process's internal listener.
func (s *Sidecar) Register(mux *http.ServeMux) {
	server := rpc.NewSidecarServer(service{s})
	mux.Handle(server.PathPrefix(), http.MaxBytesHandler(server, maxRequestBytes))
}

// Start starts the goroutines, which run until ctx ends. After Stop they continue, to refuse requests that still arrive.
func (s *Sidecar) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	calls, cancelCalls := context.WithCancel(ctx)
	s.cancelCalls = cancelCalls
	s.goroutines.Go(func() { s.loop(ctx, calls) })
	for range s.options.Slots {
		s.goroutines.Go(func() { s.callTarget(ctx) })
	}
	s.goroutines.Go(func() { s.watchTarget(ctx) })
	s.follower.Start(ctx)
	s.goroutines.Go(func() { s.followDrain(ctx) })
	events.SidecarStarted.Log(s.logger, "target", s.options.TargetURL, "incarnation", s.incarnation)
	return nil
}

// Ready returns nil while the target accepts connections and is registered with control, until Stop is called.
func (s *Sidecar) Ready() error {
	if s.leaving.Load() {
		return fault.New(fault.Unavailable, "use another target", "sidecar %s is stopping", s.file.Sidecar.Target)
	}
	if !s.client.connected.Load() || !s.reachable.Load() {
		return fault.New(fault.Unavailable, "start the target at "+s.options.TargetURL, "the target can't be reached")
	}
	return s.follower.Ready()
}

// Stop refuses new work, returns queued tasks to their entries, and waits until running tasks have ended and their
// outcomes have been fetched. Tasks that still run when ctx ends are cancelled and reported in the error.
func (s *Sidecar) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.leaving.Store(true)
	s.follower.Announce()
	s.leave(ctx)
	events.SidecarLeaving.Log(s.logger, "busy", s.snapshot.busy.Load())
	err := s.drain(ctx)
	s.deregister(ctx)
	s.cancelCalls()
	s.client.close()
	return err
}

// leave makes the loop refuse new work, and returns when the loop has handled all earlier requests.
func (s *Sidecar) leave(ctx context.Context) {
	s.post(ctx, request{event: target.Leave{}})
	barrier := target.Status{Waiter: s.waiters.Add(1)}
	if _, err := s.await(ctx, barrier, barrier.Waiter, maxHold); err != nil {
		events.LeaveNotConfirmed.LogError(s.logger, err)
	}
}

func (s *Sidecar) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := s.follower.Goodbye(ctx); err != nil {
		events.SidecarDeregistrationFailed.LogError(s.logger, err)
	}
}

// drainPoll is how often a stopping sidecar checks whether all work is done.
const drainPoll = 5 * time.Millisecond

// drain waits until no task is left and, for at most deliveryTimeout, until all outcomes have been fetched.
func (s *Sidecar) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	var idleSince time.Time
	for {
		select {
		case <-ctx.Done():
			return fault.New(fault.Unknown, "raise node.stop_grace_ms", "sidecar: %d tasks were cancelled at the end of the stop grace period",
				s.snapshot.busy.Load())
		case now := <-ticker.C:
			if !s.snapshot.idle.Load() {
				idleSince = time.Time{}
				continue
			}
			if idleSince.IsZero() {
				idleSince = now
			}
			if s.snapshot.undelivered.Load() == 0 || now.Sub(idleSince) > deliveryTimeout {
				return nil
			}
		}
	}
}

// self returns this node's own record.
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

// followDrain informs the loop when an operator drains the target or ends its drain.
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

// gauges publishes the latest snapshot as metrics.
func (s *Sidecar) gauges() {
	s.metrics.Gauge("busy", func() any { return s.snapshot.busy.Load() })
	s.metrics.Gauge("queued", func() any { return s.snapshot.queued.Load() })
	s.metrics.Gauge("remembered_tasks", func() any { return s.snapshot.remembered.Load() })
	s.metrics.Gauge("remembered_bytes", func() any { return s.snapshot.bytes.Load() })
	s.metrics.Gauge("forgotten_jobs", func() any { return s.snapshot.dropped.Load() })
	s.metrics.Gauge("target_reachable", func() any { return s.reachable.Load() })
}
