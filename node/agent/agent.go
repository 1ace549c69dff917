// Package agent is the runtime of a sidecar: the loop around runner.Runner, the sessions of entries, and the calls to the
// worker beside it.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/runner"
	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/duty"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/stream"
	"flamingohall.example/node/workwire"
)

const (
	// inputRing bounds what waits for the loop.
	inputRing = 1024
	// busyTick and idleTick are the longest times between two looks at the clock.
	busyTick = 20 * time.Millisecond
	idleTick = 100 * time.Millisecond
)

// Worker is the worker beside the sidecar. Its methods return when ctx ends, and may be called at the same time.
type Worker interface {
	Start(ctx context.Context, order *runner.Start) (runner.Answer, runner.ClockReading)
	Stop(ctx context.Context, order *runner.Stop) (runner.Answer, runner.ClockReading)
	Hold(ctx context.Context, order *runner.Hold) *runner.Report
}

// Options describe a sidecar. All fields but Limits are required.
type Options struct {
	// ID is the node's id, DataCentre where it is.
	ID         string
	DataCentre string
	// Listen is the host:port for the sessions of entries.
	Listen string
	// Control are the host:port pairs of control VMs.
	Control []string
	// ControlHold is the longest time that a control VM may hold a poll.
	ControlHold time.Duration
	Worker      Worker
	// Limits are runner.DefaultLimits when zero.
	Limits  runner.Limits
	Logger  logr.Logger
	Metrics *metrics.Role
}

// Agent is the sidecar role of a process.
type Agent struct {
	options  Options
	listener net.Listener
	server   *stream.Server
	follower *controlclient.Follower
	core     *runner.Runner
	loop     *duty.Loop
	// sessions belongs to the loop, as does peers.
	peers    map[runner.Session]*stream.Peer
	byPeer   map[*stream.Peer]runner.Session
	sessions runner.Session

	// record is what control is told of this node.
	record atomic.Pointer[rpc.Node]

	counters counters
	idle     atomic.Bool
	leaving  atomic.Bool
	context  context.Context
	cancel   context.CancelFunc
	duties   sync.WaitGroup
	calls    sync.WaitGroup
}

// New returns an agent that does nothing before Start.
func New(options Options) *Agent {
	if options.Limits == (runner.Limits{}) {
		options.Limits = runner.DefaultLimits
	}
	a := &Agent{
		options: options,
		peers:   map[runner.Session]*stream.Peer{}, byPeer: map[*stream.Peer]runner.Session{},
		// The time of day usually lies above that of the process before; where it doesn't, the worker says so and the
		// fence is raised until it does.
		core: runner.New(options.Limits, uint64(time.Now().UnixMilli())),
	}
	// Heartbeats are taken before the loops run, so that what ends them is there from the beginning.
	a.context, a.cancel = context.WithCancel(context.Background())
	a.loop = duty.NewLoop(inputRing, a.context.Done())
	a.server = stream.NewServer(stream.Handler{Opened: a.opened, Received: a.received})
	a.record.Store(&rpc.Node{
		Id: options.ID, Role: rpc.Role_ROLE_SIDECAR, Incarnation: duty.Incarnation(), DataCentre: options.DataCentre,
		Address: options.Listen, Target: &rpc.TargetInfo{},
	})
	a.follower = controlclient.NewFollower(controlclient.Options{
		Addresses: options.Control, Self: a.record.Load, Logger: options.Logger, RecoverRecord: a.recall,
		Metrics: options.Metrics, Hold: options.ControlHold, MaxBackoff: controlclient.ShortMaxBackoff, DialTimeout: controlclient.ShortDialTimeout,
	})
	a.publishGauges()
	return a
}

// Register adds nothing: entries reach a sidecar through its own listener.
func (a *Agent) Register(*http.ServeMux) {}

// Start opens the listener and starts the loops.
func (a *Agent) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.options.Listen)
	if err != nil {
		return fault.New(fault.Unavailable, "free the port", "sidecar: %v", err)
	}
	a.listener = listener
	context.AfterFunc(ctx, a.cancel)
	a.duties.Go(func() { _ = a.server.Serve(listener) })
	a.duties.Go(func() { a.loop.Run(a.advance) })
	a.follower.Start(a.context)
	return nil
}

// Ready returns nil while the sidecar serves.
func (a *Agent) Ready() error {
	if a.leaving.Load() {
		return fault.New(fault.Unavailable, "use another worker", "the sidecar is stopping")
	}
	return nil
}

// Stop refuses what has not started, waits for what runs until ctx ends, and ends the loops.
func (a *Agent) Stop(ctx context.Context) error {
	a.leaving.Store(true)
	a.put(func(time.Duration) { a.core.Drain() })
	duty.Until(ctx, busyTick, a.idle.Load)
	a.cancel()
	_ = a.listener.Close()
	a.server.Close()
	a.duties.Wait()
	a.calls.Wait()
	return nil
}

// SetControl replaces the addresses of control VMs that the settings name.
func (a *Agent) SetControl(addresses []string) {
	a.follower.SetAddresses(addresses)
}

// Announced takes in what the worker says of itself.
func (a *Agent) Announced(said runner.Announcement) {
	a.put(func(now time.Duration) { a.core.Announced(now, said) })
}

// recall takes in what the worker said to a predecessor of this process.
func (a *Agent) recall(record []byte) {
	said, err := workwire.DecodeAnnouncement(record)
	if err != nil {
		a.counters.malformed.Add(1)
		return
	}
	a.put(func(now time.Duration) { a.core.Recover(now, *said) })
}

// remember has control keep what the worker says of itself.
func (a *Agent) remember(said *runner.Announcement) {
	changed := proto.CloneOf(a.record.Load())
	changed.Target.Record = workwire.EncodeAnnouncement(said)
	a.record.Store(changed)
	a.follower.Announce()
}

// Left tells that the worker has ended by itself.
func (a *Agent) Left() {
	a.put(a.core.Left)
}

// put hands an input to the loop.
func (a *Agent) put(input func(now time.Duration)) {
	a.loop.Put(input)
}

func (a *Agent) opened(peer *stream.Peer) {
	a.put(func(time.Duration) {
		a.sessions++
		a.peers[a.sessions], a.byPeer[peer] = peer, a.sessions
	})
}

func (a *Agent) received(peer *stream.Peer, payload []byte) {
	frame, err := workwire.DecodeToSidecar(payload)
	if err != nil {
		a.counters.malformed.Add(1)
		peer.Close()
		return
	}
	a.put(func(now time.Duration) {
		id, known := a.byPeer[peer]
		if !known {
			return
		}
		if frame.Hello != nil {
			a.core.Open(now, id, *frame.Hello)
		}
		a.core.Take(now, id, frame)
	})
}

// advance lets the core act, and returns when it is to act again.
func (a *Agent) advance(now time.Duration) time.Duration {
	a.core.Advance(now)
	a.carryOut(a.core.Effects())
	isIdle := a.core.Idle()
	a.idle.Store(isIdle)
	if isIdle {
		return idleTick
	}
	return busyTick
}

// carryOut sends what the core wants sent.
func (a *Agent) carryOut(effects runner.Effects) {
	for i := range effects.Frames {
		frame := &effects.Frames[i]
		if peer := a.peers[frame.Session]; peer != nil {
			peer.Send(workwire.EncodeToEntry(&frame.ToEntry))
		}
	}
	for i := range effects.Starts {
		a.start(&effects.Starts[i])
	}
	for i := range effects.Stops {
		a.stop(&effects.Stops[i])
	}
	if effects.Hold != nil {
		a.hold(effects.Hold)
	}
	if effects.Record != nil {
		a.remember(effects.Record)
	}
	for _, note := range effects.Notes {
		a.log(note)
	}
	for _, id := range effects.Close {
		if peer := a.peers[id]; peer != nil {
			peer.Close()
			delete(a.peers, id)
			delete(a.byPeer, peer)
		}
	}
}

func (a *Agent) start(order *runner.Start) {
	a.counters.starts.Add(1)
	a.call(runner.StartTimeout, func(ctx context.Context) func(time.Duration) {
		began := time.Now()
		answer, reading := a.options.Worker.Start(ctx, order)
		a.counters.startTook.Observe(time.Since(began))
		return func(now time.Duration) { a.core.Started(now, order.RunID, answer, reading) }
	})
}

func (a *Agent) stop(order *runner.Stop) {
	a.counters.stops.Add(1)
	a.call(runner.StopTimeout, func(ctx context.Context) func(time.Duration) {
		began := time.Now()
		answer, reading := a.options.Worker.Stop(ctx, order)
		a.counters.stopTook.Observe(time.Since(began))
		return func(now time.Duration) { a.core.Stopped(now, order.RunID, answer, reading) }
	})
}

func (a *Agent) hold(order *runner.Hold) {
	a.counters.holds.Add(1)
	a.call(runner.HoldTimeout, func(ctx context.Context) func(time.Duration) {
		report := a.options.Worker.Hold(ctx, order)
		report.Number = order.Number
		return func(now time.Duration) { a.core.Reported(now, report) }
	})
}

// call asks the worker in a goroutine of its own, and hands what comes of it to the loop.
func (a *Agent) call(limit time.Duration, ask func(ctx context.Context) (input func(now time.Duration))) {
	a.calls.Go(func() {
		ctx, cancel := context.WithTimeout(a.context, limit)
		defer cancel()
		a.put(ask(ctx))
	})
}

// entryOf names an entry for the log.
func (a *Agent) entryOf(id runner.Session) string {
	return a.core.Entry(id)
}
