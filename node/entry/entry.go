// Package entry is the role that serves callers: it takes submissions over HTTP, places their tasks on targets, and
// answers each with the whole outcome.
//
// One loop owns all jobs, the board of targets and the queues; it alone changes them, message by message, and never
// blocks. Calls to sidecars, control and other entries run in goroutines of their own and report back through the
// loop's bounded inbox. HTTP handlers hand their submissions to the inbox and wait for the record to be done.
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
	"flamingohall.example/node/link"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

const (
	// headerTimeout bounds how long a caller may take to send its request headers.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout closes callers' connections that carried nothing for so long.
	callerIdleTimeout = 2 * time.Minute
)

// follower is what the role needs of controlclient.Follower.
type follower interface {
	Start(ctx context.Context)
	Ready() error
	View() *controlclient.View
	Changed() <-chan struct{}
	Announce()
	Goodbye(ctx context.Context) error
	Control() rpc.Control
}

// links is what the role needs of link.Links.
type links interface {
	Sidecar(address string) rpc.Sidecar
	Fresh(address string) rpc.Sidecar
	Peer(address string) rpc.Peer
	Retire(address string)
	RetainOnly(addresses map[string]bool)
}

// Entry is the role.
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
	endLife     context.CancelFunc
	// leaving fails readiness; refusing also refuses new submissions.
	leaving  atomic.Bool
	refusing atomic.Bool
}

// New returns the role of a settings file with an entry section. Its errors are *fault.Error.
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

// prepare makes the role without what it reaches others by.
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

// self returns the record that this entry announces.
func (e *Entry) self() *rpc.Node {
	return &rpc.Node{
		Id: e.file.Node.ID, Role: rpc.Role_ROLE_ENTRY, Incarnation: e.incarnation,
		DataCentre: e.file.Node.DataCentre, Address: e.file.Node.Advertise, Leaving: e.leaving.Load(),
	}
}

// Register adds the Peer service to the process's internal listener.
func (e *Entry) Register(mux *http.ServeMux) {
	server := rpc.NewPeerServer(&peerService{entry: e})
	mux.Handle(server.PathPrefix(), server)
}

// Start opens the callers' listener and starts the loops. Its errors are *fault.Error.
func (e *Entry) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.file.Entry.CallersListen)
	if err != nil {
		return fault.New(fault.Unavailable, "free the port or change entry.callers_listen", "listen: %v", err)
	}
	e.listener = listener
	handler, err := e.handler()
	if err != nil {
		return errors.Join(fault.Of(err), listener.Close())
	}
	life, endLife := context.WithCancel(ctx)
	e.endLife = endLife
	e.loop.life = life
	e.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
	}
	e.follower.Start(life)
	go e.loop.run()
	go e.watch(life)
	go e.serve()
	events.CallersServed.Log(e.logger, "listen", e.Addr())
	return nil
}

func (e *Entry) serve() {
	if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
		events.CallersListenerFailed.LogError(e.logger, err)
	}
}

// watch hands each new view to the loop.
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

// Addr returns the host:port of the callers' API, once started.
func (e *Entry) Addr() string {
	return e.listener.Addr().String()
}

// Ready returns nil when submissions can be served.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return fault.New(fault.Unavailable, "use another entry", "this entry is stopping")
	}
	return e.follower.Ready()
}

// idlePoll is the period at which a stop looks whether every job is answered.
const idlePoll = 5 * time.Millisecond

// Stop ends the role as planned: readiness falls, submissions are still served while the balancer takes note, then
// new ones are refused, those in progress are answered, and the listener closes.
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
	if goodbye := e.follower.Goodbye(ctx); goodbye != nil {
		events.DeregistrationFailed.LogError(e.logger, goodbye)
	}
	e.endLife()
	if unanswered > 0 {
		return fault.New(fault.Unknown, "give node.stop_grace_ms more time", "stopped with %d jobs unanswered", unanswered)
	}
	if err != nil {
		return errors.Wrap(err, "callers' listener")
	}
	return nil
}

// sleep returns false when ctx ends first.
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
