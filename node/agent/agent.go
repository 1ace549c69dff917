// Package agent is the runtime of a sidecar: it runs the event loop around runner.Runner, serves the sessions of entries,
// and calls the worker on the same VM.
package agent

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/runner"
	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/duty"
	"flamingohall.example/node/events"
	"flamingohall.example/node/intake"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/stream"
	"flamingohall.example/node/workwire"
)

const (
	// inputCapacity is the most inputs that wait for the loop.
	inputCapacity = 1024
	// busyTick and idleTick are the longest times between two calls of Runner.Advance, with and without runs.
	busyTick = 20 * time.Millisecond
	idleTick = 100 * time.Millisecond
)

// Worker calls the worker on the same VM. Its methods return when ctx ends, and may be called concurrently.
type Worker interface {
	Start(ctx context.Context, order *runner.Start) (runner.Answer, runner.ClockReading)
	Stop(ctx context.Context, order *runner.Stop) (runner.Answer, runner.ClockReading)
	Hold(ctx context.Context, order *runner.Hold) *runner.Report
}

// Options configure a sidecar. All fields but Limits and Sessions are required.
type Options struct {
	// ID is the node's ID, DataCentre the data centre that it is in.
	ID         string
	DataCentre string
	// Listen is the host:port on which entries open their sessions.
	Listen string
	// Control lists the host:port addresses of control VMs.
	Control []string
	// ControlHold is the longest time for which a control VM may delay the answer to a long poll.
	ControlHold time.Duration
	Worker      Worker
	// Sessions bounds the connections of the listener; nil for no bound.
	Sessions *intake.Pool
	// Limits defaults to runner.DefaultLimits.
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
	// peers, byPeer and sessions are accessed only from the loop. sessions is the number of the newest session.
	peers    map[runner.Session]*stream.Peer
	byPeer   map[*stream.Peer]runner.Session
	sessions runner.Session

	// record is this node's entry in control's registry.
	record atomic.Pointer[rpc.Node]

	counters counters
	idle     atomic.Bool
	// busy is true while runs may be at the worker, drained while the runner enforces an operator's drain.
	busy    atomic.Bool
	drained atomic.Bool
	leaving atomic.Bool
	context context.Context
	cancel  context.CancelFunc
	duties  sync.WaitGroup
	calls   sync.WaitGroup
}

// New returns an agent. It is idle until Start is called.
func New(options Options) *Agent {
	if options.Limits == (runner.Limits{}) {
		options.Limits = runner.DefaultLimits
	}
	a := &Agent{
		options: options,
		peers:   map[runner.Session]*stream.Peer{}, byPeer: map[*stream.Peer]runner.Session{},
		// The time of day is usually later than in the previous process, so that the fence is higher. Where it is not, the
		// worker rejects the fence, and it is raised until the worker accepts it.
		core: runner.New(options.Limits, uint64(time.Now().UnixMilli())),
	}
	// Heartbeats may arrive before the loops run, so the context that ends them must exist from the start.
	a.context, a.cancel = context.WithCancel(context.Background())
	a.loop = duty.NewLoop(inputCapacity, a.context.Done())
	a.server = stream.NewServer(stream.Handler{Opened: a.opened, Received: a.received, AcceptFailed: a.acceptFailed})
	a.record.Store(&rpc.Node{
		Id: options.ID, Role: rpc.Role_ROLE_SIDECAR, Incarnation: duty.Incarnation(), DataCentre: options.DataCentre,
		Address: options.Listen, Target: &rpc.TargetInfo{},
	})
	a.follower = controlclient.NewFollower(controlclient.Options{
		Addresses: options.Control, Self: a.record.Load, Logger: options.Logger, RecoverRecord: a.recoverRecord,
		Metrics: options.Metrics, Hold: options.ControlHold, Busy: a.reportBusy, MaxBackoff: controlclient.ShortMaxBackoff, DialTimeout: controlclient.ShortDialTimeout,
	})
	a.publishGauges()
	return a
}

// Register adds no handlers: entries use the sidecar's own listener.
func (a *Agent) Register(*http.ServeMux) {}

// Start opens the listener and starts the background loops, which run until ctx ends or Stop is called.
func (a *Agent) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.options.Listen)
	if err != nil {
		return fault.New(fault.Unavailable, "free the port", "sidecar: %v", err)
	}
	if a.options.Sessions != nil {
		listener = a.options.Sessions.Sessions(listener)
	}
	a.listener = listener
	context.AfterFunc(ctx, a.cancel)
	a.duties.Go(func() { a.server.Serve(listener) })
	a.duties.Go(func() { a.loop.Run(a.advance) })
	a.follower.Start(a.context)
	a.duties.Go(a.followDrain)
	return nil
}

// Ready returns nil until Stop is called.
func (a *Agent) Ready() error {
	if a.leaving.Load() {
		return fault.New(fault.Unavailable, "use another worker", "the sidecar is stopping")
	}
	return nil
}

// Stop refuses runs that have not started, waits until the others have ended or ctx ends, and stops the loops.
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

// SetControl replaces the configured addresses of control VMs.
func (a *Agent) SetControl(addresses []string) {
	a.follower.SetAddresses(addresses)
}

// Announced handles an announcement (heartbeat) of the worker. It may be called before Start.
func (a *Agent) Announced(announcement runner.Announcement) {
	a.put(func(now time.Duration) { a.core.Announced(now, announcement) })
}

// recoverRecord restores the worker's announcement that a predecessor of this process stored at control.
func (a *Agent) recoverRecord(record []byte) {
	announcement, err := workwire.DecodeAnnouncement(record)
	if err != nil {
		a.counters.malformed.Add(1)
		return
	}
	a.put(func(now time.Duration) { a.core.Recover(now, *announcement) })
}

// publishRecord stores the worker's announcement at control, for a successor of this process to recover.
func (a *Agent) publishRecord(announcement *runner.Announcement) {
	updated := proto.CloneOf(a.record.Load())
	updated.Target.Record = workwire.EncodeAnnouncement(announcement)
	// Entries choose their workers by pool and labels, before they have a session with the sidecar.
	updated.Target.Pool, updated.Target.Rack = announcement.Pool, strings.Join(announcement.Labels, ",")
	a.record.Store(updated)
	a.follower.Announce()
}

// Left handles the worker's notice that it is leaving.
func (a *Agent) Left() {
	a.put(a.core.Left)
}

// put queues an input for the loop.
func (a *Agent) put(input func(now time.Duration)) {
	a.loop.Put(input)
}

func (a *Agent) opened(peer *stream.Peer) {
	a.put(func(time.Duration) {
		a.sessions++
		a.peers[a.sessions], a.byPeer[peer] = peer, a.sessions
	})
}

func (a *Agent) acceptFailed(err error) {
	events.ConnectionNotAccepted.LogError(a.options.Logger, err)
}

func (a *Agent) received(peer *stream.Peer, payload []byte) {
	frame, err := workwire.DecodeToSidecar(payload)
	if err != nil {
		a.counters.malformed.Add(1)
		peer.Close()
		return
	}
	if frame.Hello != nil {
		peer.Keep()
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

// advance advances the runner and performs its effects. It returns the time until the next call.
func (a *Agent) advance(now time.Duration) time.Duration {
	a.core.Advance(now)
	a.perform(a.core.Effects())
	isIdle := a.core.Idle()
	a.idle.Store(isIdle)
	a.busy.Store(a.core.HasRuns())
	a.drained.Store(a.core.IsDrained())
	tick := busyTick
	if isIdle {
		tick = idleTick
	}
	return min(tick, a.core.UntilHold(now))
}

// perform carries out the actions that the runner has requested.
func (a *Agent) perform(effects runner.Effects) {
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
	if effects.Verify != nil {
		a.verify(effects.Verify)
	}
	if effects.Record != nil {
		a.publishRecord(effects.Record)
	}
	for _, note := range effects.Notes {
		a.log(note)
	}
	a.counters.reservations.add(&effects)
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
		return func(now time.Duration) { a.core.Started(now, order.Incarnation, order.RunID, answer, reading) }
	})
}

func (a *Agent) stop(order *runner.Stop) {
	a.counters.stops.Add(1)
	a.call(runner.StopTimeout, func(ctx context.Context) func(time.Duration) {
		began := time.Now()
		answer, reading := a.options.Worker.Stop(ctx, order)
		a.counters.stopTook.Observe(time.Since(began))
		return func(now time.Duration) { a.core.Stopped(now, order.Incarnation, order.RunID, answer, reading) }
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

// verify calls an incarnation of the worker that has been announced.
func (a *Agent) verify(order *runner.Order) {
	a.call(runner.VerifyTimeout, func(ctx context.Context) func(time.Duration) {
		report := a.options.Worker.Hold(ctx, &runner.Hold{Order: *order})
		return func(now time.Duration) { a.core.Verified(now, order.Incarnation, report.Answer) }
	})
}

// call runs a request to the worker in a separate goroutine, and queues the input that it returns for the loop.
func (a *Agent) call(timeout time.Duration, request func(ctx context.Context) (input func(now time.Duration))) {
	a.calls.Go(func() {
		ctx, cancel := context.WithTimeout(a.context, timeout)
		defer cancel()
		a.put(request(ctx))
	})
}

// entryName returns the name of a session's entry, for the log.
func (a *Agent) entryName(id runner.Session) string {
	return a.core.Entry(id)
}
