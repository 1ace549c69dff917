// Package entry implements the role that serves callers: it accepts submissions over HTTP, places their tasks on
// targets, and answers each submission with the outcomes of all its tasks.
//
// One loop owns all jobs, the load table and the queues. It alone changes them, one message at a time, and never
// blocks. Calls to sidecars, control and other entries run in goroutines of their own and send their results to the
// loop's bounded inbox. HTTP handlers send submissions to the inbox and wait until the job is answered.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/duty"
	"flamingohall.example/node/events"
	"flamingohall.example/node/intake"
	"flamingohall.example/node/link"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
	"flamingohall.example/node/transport"
)

const (
	// headerTimeout limits how long a caller may take to send its request headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits the header of a request; longer ones get 431.
	maxHeaderBytes = 64 << 10
	// callerIdleTimeout is how long a caller's connection may be idle before it is closed.
	callerIdleTimeout = 2 * time.Minute
)

// follower is the part of controlclient.Follower that the role uses.
type follower interface {
	Start(ctx context.Context)
	Ready() error
	View() *controlclient.View
	Changed() <-chan struct{}
	Announce()
	Goodbye(ctx context.Context) error
	Control() rpc.Control
}

// links is the part of link.Links that the role uses.
type links interface {
	Sidecar(address string) rpc.Sidecar
	Fresh(address string) rpc.Sidecar
	Peer(address string) rpc.Peer
	Retire(address string)
	RetainOnly(addresses map[string]bool)
}

// Entry is the entry role of a process.
type Entry struct {
	file        *settings.File
	logger      logr.Logger
	metrics     *metrics.Role
	incarnation string
	follower    follower
	links       links
	loop        *loop
	server      *http.Server
	listener    net.Listener
	clients     *intake.Pool
	cancelLoop  context.CancelFunc
	// leaving fails the readiness check; refusing also refuses new submissions.
	leaving  atomic.Bool
	refusing atomic.Bool
}

// New returns the entry role for a settings file, which must have an entry section. Its errors are *fault.Error.
func New(file *settings.File, logger logr.Logger) (*Entry, error) {
	e, err := prepare(file, logger)
	if err != nil {
		return nil, err
	}
	e.links = link.New()
	e.follower = controlclient.NewFollower(controlclient.Options{
		Addresses: file.ControlAddresses, Self: e.self, WantNodes: true, WantCatalogue: true,
		Logger: logger, Metrics: e.metrics,
	})
	return e, nil
}

// prepare returns the role without its follower and links.
func prepare(file *settings.File, logger logr.Logger) (*Entry, error) {
	if file.Entry == nil {
		return nil, fault.New(fault.Invalid, `add the section "entry"`, "settings: no entry section")
	}
	e := &Entry{
		file: file, logger: logger, metrics: metrics.NewRole("entry", file.Node.ID),
		incarnation: duty.Incarnation(),
	}
	var err error
	e.loop, err = newLoop(e)
	return e, err
}

// self returns the node record that this entry announces to control.
func (e *Entry) self() *rpc.Node {
	return &rpc.Node{
		Id: e.file.Node.ID, Role: rpc.Role_ROLE_ENTRY, Incarnation: e.incarnation,
		DataCentre: e.file.Node.DataCentre, Address: e.file.Node.Advertise, Leaving: e.leaving.Load(),
	}
}

// Register adds the Peer service to the mux of the process's internal listener.
func (e *Entry) Register(mux *http.ServeMux) {
	server := rpc.NewPeerServer(&peerService{entry: e})
	mux.Handle(server.PathPrefix(), server)
}

// Start opens the callers' listener and starts the role's goroutines. Its errors are *fault.Error.
func (e *Entry) Start(ctx context.Context) error {
	listener, err := intake.Listen(ctx, e.file.Entry.CallersListen)
	if err != nil {
		return fault.New(fault.Unavailable, "free the port or change entry.callers_listen", "listen: %v", err)
	}
	e.listener = listener
	handler, err := e.handler()
	if err != nil {
		return errors.Join(fault.Of(err), listener.Close())
	}
	loopCtx, cancelLoop := context.WithCancel(ctx)
	e.cancelLoop = cancelLoop
	e.loop.loopCtx = loopCtx
	e.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	e.clients = intake.NewPool(e.file.Node.Intake(), intake.Outside, e.logger, metrics.NewRole("intake", e.file.Node.ID))
	e.follower.Start(loopCtx)
	go e.loop.run()
	go e.watch(loopCtx)
	go e.serve(e.clients.Serve(e.server, transport.Persistent(listener, e.acceptFailed)))
	events.CallersServed.Log(e.logger, "listen", e.Addr())
	return nil
}

func (e *Entry) acceptFailed(err error) {
	events.AcceptFailed.LogError(e.logger, err, "address", e.Addr())
}

func (e *Entry) serve(listener net.Listener) {
	if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		events.CallersListenerFailed.LogError(e.logger, err)
	}
}

// watch posts each new view to the loop.
func (e *Entry) watch(ctx context.Context) {
	for {
		changed := e.follower.Changed()
		if view := e.follower.View(); view != nil {
			e.loop.post(viewChanged{view: view})
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Addr returns the host:port of the callers' API. It must not be called before Start.
func (e *Entry) Addr() string {
	return e.listener.Addr().String()
}

// Ready returns nil if the entry is not leaving and has received a confirmed state from control. Its errors are
// *fault.Error.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return fault.New(fault.Unavailable, "use another entry", "this entry is stopping")
	}
	return e.follower.Ready()
}

// idlePoll is the period at which Stop checks whether every job is answered.
const idlePoll = 5 * time.Millisecond

// Stop performs a planned stop. Readiness fails at once, but submissions are still served until the load balancer has
// noticed. Then new submissions are refused, jobs in progress are answered, and the listener closes. Stop returns an
// error if ctx ends before every job is answered and every connection is closed.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.follower.Announce()
	sleep(ctx, e.file.Node.BalancerGrace())
	e.refusing.Store(true)
	for e.loop.active.Load() > 0 && sleep(ctx, idlePoll) {
		continue
	}
	unanswered := e.loop.active.Load()
	err := e.server.Shutdown(ctx)
	if goodbyeErr := e.follower.Goodbye(ctx); goodbyeErr != nil {
		events.DeregistrationFailed.LogError(e.logger, goodbyeErr)
	}
	e.cancelLoop()
	if unanswered > 0 {
		return fault.New(fault.Unknown, "give node.stop_grace_ms more time", "stopped with %d jobs unanswered", unanswered)
	}
	if err != nil {
		return errors.Wrap(err, "callers' listener")
	}
	return nil
}

// sleep waits for the duration; it returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
