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
)

// Paths of a target's and a stand-in's HTTP interface.
const (
	// TaskPath is followed by the task's id.
	TaskPath = "/v1/tasks/"
	// BehaviourPath takes a JSON object with fields of settings.StandIn.
	BehaviourPath = "/admin/behaviour"
	// CountsPath answers with Counts as JSON.
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

	knobs  atomic.Pointer[settings.StandIn]
	counts counters
	// begun counts every request that got a slot; the "every" knobs count by it.
	begun atomic.Int64

	ledgerMutex sync.Mutex
	ledger      *os.File
}

// New returns a stand-in that doesn't listen yet.
func New(knobs settings.StandIn, logger logr.Logger) (*Target, error) {
	target := &Target{logger: logger, served: make(chan struct{})}
	target.knobs.Store(&knobs)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+TaskPath+"{task}", target.serveTask)
	mux.HandleFunc("POST "+BehaviourPath, target.serveBehaviour)
	mux.HandleFunc("GET "+CountsPath, target.serveCounts)
	target.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return target, nil
}

// Register adds nothing: a stand-in has a listener of its own.
func (t *Target) Register(*http.ServeMux) {}

// Start opens the ledger and listens. A port that is taken or a ledger that can't be written is a *fault.Error.
func (t *Target) Start(context.Context) error {
	knobs := t.knobs.Load()
	if err := t.openLedger(knobs.Ledger); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", knobs.Listen)
	if err != nil {
		return fault.New(fault.Unavailable, "choose a free port in /stand_in/listen", "stand-in: %v", err)
	}
	t.listener = listener
	go t.serve()
	events.StandInListening.Log(t.logger, "address", t.Addr(), "slots", knobs.Slots)
	return nil
}

// Addr returns the host:port on which it listens; it is valid after Start.
func (t *Target) Addr() string {
	return t.listener.Addr().String()
}

// Ready returns nil: a stand-in serves from Start on.
func (t *Target) Ready() error {
	return nil
}

// Stop refuses new connections, lets requests in progress end until ctx is over and then closes them.
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
		_ = t.ledger.Close()
		t.ledger = nil
	}
	return err
}

func (t *Target) serve() {
	defer close(t.served)
	if err := t.server.Serve(t.listener); !errors.Is(err, http.ErrServerClosed) {
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
