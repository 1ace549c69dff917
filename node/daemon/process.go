package daemon

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/events"
	"flamingohall.example/node/intake"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/settings"
	"flamingohall.example/node/transport"
)

// Limits of the internal listener.
const (
	// headerTimeout bounds how long a client may take to send its request headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is several times what the system's own calls send.
	maxHeaderBytes = 4 << 10
	// maxStreams is what net/http's clients assume until they have read the limit.
	maxStreams = 100
	// idleTimeout is longer than clients keep connections that they don't use.
	idleTimeout = 2 * time.Minute
)

// process is a flamingohalld process with its roles and its internal listener.
type process struct {
	file     *settings.File
	logger   logr.Logger
	roles    []namedRole
	server   *http.Server
	listener net.Listener
	clients  *intake.Pool
	stopping atomic.Bool
}

// newProcess opens the internal listener and creates the roles that the file has sections for.
func newProcess(file *settings.File, logger logr.Logger) (*process, error) {
	return newProcessOf(file, logger, func() ([]namedRole, error) { return buildRoles(file, logger) })
}

// newProcessOf opens the internal listener and creates the roles with build, which returns them in the order in which they
// start.
func newProcessOf(file *settings.File, logger logr.Logger, build func() ([]namedRole, error)) (*process, error) {
	// The kernel sizes the receive buffers, so that large messages of distant processes are not slowed down.
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", file.Node.Listen)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "free the port or change node.listen", "listen: %v", err)
	}
	p := &process{file: file, logger: logger, listener: listener}
	if p.roles, err = build(); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	p.server = &http.Server{
		Handler: p.mux(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Protocols: transport.ServerProtocols(), HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
	p.clients = intake.NewPool(file.Node.Intake(), intake.Inside, logger, metrics.NewRole("intake_inside", file.Node.ID))
	return p, nil
}

// mux returns the handler of the internal listener.
func (p *process) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "alive")
	})
	mux.HandleFunc("GET /readyz", p.serveReady)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET /debug/pprof/heap", pprof.Handler("heap"))
	mux.Handle("GET /debug/pprof/goroutine", pprof.Handler("goroutine"))
	for _, r := range p.roles {
		r.Register(mux)
	}
	return mux
}

func (p *process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := p.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

// ready returns nil if every role is ready and no stop was requested.
func (p *process) ready() error {
	if p.stopping.Load() {
		return fault.New(fault.Unavailable, "use another VM", "the process is stopping")
	}
	for _, r := range p.roles {
		if err := r.Ready(); err != nil {
			return errors.Wrap(err, r.name)
		}
	}
	return nil
}

// run serves until ctx ends, then stops every role without interrupting requests in progress.
func (p *process) run(ctx context.Context) error {
	served := make(chan error, 1)
	persistent := transport.Persistent(p.listener, func(err error) {
		events.AcceptFailed.LogError(p.logger, err, "address", p.listener.Addr().String())
	})
	admitted := p.clients.Serve(p.server, persistent)
	go func() { served <- p.server.Serve(admitted) }()
	rolesCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := p.start(rolesCtx); err != nil {
		return errors.Join(err, p.server.Close())
	}
	go p.logWhenReady(ctx)
	select {
	case err := <-served:
		return errors.Wrap(err, "internal listener")
	case <-ctx.Done():
	}
	return p.stop(context.WithoutCancel(ctx))
}

func (p *process) start(ctx context.Context) error {
	for _, r := range p.roles {
		if err := r.Start(ctx); err != nil {
			return errors.Wrap(err, r.name)
		}
	}
	return nil
}

// readyPoll is how often a starting process checks whether its roles are ready.
const readyPoll = 20 * time.Millisecond

func (p *process) logWhenReady(ctx context.Context) {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for p.ready() != nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	events.ProcessReady.Log(p.logger, "listen", p.listener.Addr().String())
}

// stop stops the roles in reverse order of their start: the role that serves callers first, shared state last.
func (p *process) stop(ctx context.Context) error {
	p.stopping.Store(true)
	events.ProcessStopping.Log(p.logger)
	ctx, cancel := context.WithTimeout(ctx, p.file.Node.StopGrace()+p.file.Node.BalancerGrace())
	defer cancel()
	var failed error
	for i := len(p.roles) - 1; i >= 0; i-- {
		if err := p.roles[i].Stop(ctx); err != nil {
			failed = errors.Join(failed, errors.Wrap(err, p.roles[i].name))
		}
	}
	if err := p.server.Shutdown(ctx); err != nil {
		failed = errors.Join(failed, errors.Wrap(err, "internal listener"))
	}
	if failed == nil {
		events.ProcessStopped.Log(p.logger)
	}
	return failed
}
