package standin

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/events"
	"flamingohall.example/node/settings"
	"flamingohall.example/node/transport"
)

// Paths of the HTTP interface of a target (TaskPath) and of a stand-in.
const (
	// TaskPath is followed by the task's id.
	TaskPath = "/v1/tasks/"
	// BehaviourPath accepts a JSON object with fields of settings.StandIn.
	BehaviourPath = "/admin/behaviour"
	// CountsPath returns Counts as JSON.
	CountsPath = "/admin/counts"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxPayloadBytes   = 64 << 20
	ledgerMode        = 0o600
)

// Target is one stand-in target.
type Target struct {
	logger   logr.Logger
	server   *http.Server
	listener net.Listener
	served   chan struct{}

	options atomic.Pointer[settings.StandIn]
	counts  counters
	// started counts the requests that got a slot. FailEvery, SlowEvery and HangEvery refer to this count.
	started atomic.Int64

	ledgerMutex sync.Mutex
	ledger      *os.File
}

// New returns a stand-in, which listens after Start.
func New(options settings.StandIn, logger logr.Logger) (*Target, error) {
	target := &Target{logger: logger, served: make(chan struct{})}
	target.options.Store(&options)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+TaskPath+"{task}", target.serveTask)
	mux.HandleFunc("POST "+BehaviourPath, target.serveBehaviour)
	mux.HandleFunc("GET "+CountsPath, target.serveCounts)
	target.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return target, nil
}

// Register adds nothing: a stand-in has a listener of its own.
func (t *Target) Register(*http.ServeMux) {}

// Start opens the ledger and listens. If the port is in use or the ledger can't be opened, it returns a *fault.Error.
func (t *Target) Start(context.Context) error {
	options := t.options.Load()
	if err := t.openLedger(options.Ledger); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return fault.New(fault.Unavailable, "choose a free port in /stand_in/listen", "stand-in: %v", err)
	}
	t.listener = listener
	go t.serve()
	events.StandInListening.Log(t.logger, "address", t.Addr(), "slots", options.Slots)
	return nil
}

// Addr returns the host:port on which the stand-in listens. It is valid after Start.
func (t *Target) Addr() string {
	return t.listener.Addr().String()
}

// Ready returns nil: a stand-in is ready after Start.
func (t *Target) Ready() error {
	return nil
}

// Stop refuses new connections and waits for requests in progress. When ctx ends, it closes those that remain.
func (t *Target) Stop(ctx context.Context) error {
	if t.listener == nil {
		return nil
	}
	err := t.server.Shutdown(ctx)
	if err != nil {
		_ = t.server.Close()
	}
	<-t.served
	t.ledgerMutex.Lock()
	defer t.ledgerMutex.Unlock()
	if t.ledger != nil {
		// Each line was written to the file at once, and its request failed if the write did.
		_ = t.ledger.Close()
		t.ledger = nil
	}
	return err
}

func (t *Target) serve() {
	defer close(t.served)
	persistent := transport.Persistent(t.listener, func(err error) {
		events.AcceptFailed.LogError(t.logger, err, "address", t.Addr())
	})
	if err := t.server.Serve(persistent); !errors.Is(err, http.ErrServerClosed) {
		events.StandInFailed.LogError(t.logger, err)
	}
}

func (t *Target) openLedger(path string) error {
	if path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, ledgerMode) //nolint:gosec // From the settings.
	if err != nil {
		return fault.New(fault.Storage, "name a file that this user can write in /stand_in/ledger", "ledger: %v", err)
	}
	t.ledger = file
	return nil
}
