package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/events"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
	"flamingohall.example/node/transport"
)

// Timing of the contact watch and of idle connections.
const (
	contactPeriod = 200 * time.Millisecond
	// reconnectPeriod replaces contactPeriod while this VM has no contact with a majority, since nodes are waiting for it.
	reconnectPeriod = 10 * time.Millisecond
	// maxSilence is how long this VM may be without contact with a majority before it stops answering.
	maxSilence = 2 * time.Second
	// idleTimeout closes connections to a former leader.
	idleTimeout = 30 * time.Second
	// silentAfter is how long a connection to the leader may deliver nothing before it is probed, and probeTimeout how long the answer may
	// take. Their sum is below the job lease (dispatch.Limits.JobLease), whose renewals are forwarded.
	silentAfter  = 500 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// Role is the control role of a process.
type Role struct {
	id      string
	lease   time.Duration
	logger  logr.Logger
	metrics *metrics.Role
	http    *http.Client

	group    Group
	machine  *machine
	proposer *proposer
	presence *presence
	gate     *gate
	holders  *holders
	packed   packedCatalogue
	// dataCentres are those that may be evacuated besides the ones of registered nodes.
	dataCentres []string
	// ackTimeout bounds the acknowledgement of an order to evacuate a data centre.
	ackTimeout time.Duration

	cancel context.CancelFunc
	// duties tracks the duty goroutines, background the proposals for which no caller waits.
	duties     sync.WaitGroup
	background sync.WaitGroup
}

// New opens the data folder and returns a role that does nothing before Start. The error is a *fault.Error of kind
// Storage or Invalid.
func New(file *settings.File, logger logr.Logger) (*Role, error) {
	return newRole(file, logger, func(m *machine) (Group, error) {
		return openReplica(file, logger, m)
	})
}

// newRole returns the role on the group that open returns for the machine.
func newRole(
	file *settings.File, logger logr.Logger, open func(*machine) (Group, error),
) (*Role, error) {
	role := &Role{
		id: file.Node.ID, lease: time.Duration(file.Control.TargetLeaseMS) * time.Millisecond, logger: logger,
		metrics: metrics.NewRole("control", file.Node.ID), http: compactClient(),
		machine: newMachine(), presence: newPresence(), gate: newGate(noMajorityError()),
		dataCentres: file.Control.DataCentres, ackTimeout: ackTimeoutOf(file.Control),
	}
	group, err := open(role.machine)
	if err != nil {
		return nil, err
	}
	role.group = group
	role.holders = newHolders(role)
	role.proposer = newProposer(group, role.metrics)
	role.publishGauges()
	return role, nil
}

// compactClient returns the client for digests and for requests forwarded to the leader. It replaces a connection that doesn't answer
// probes: one that calls in progress share is never idle, so that closing idle connections after a failed call does not replace it.
func compactClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Protocols: transport.CompactProtocols(), DisableCompression: true, IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{SendPingTimeout: silentAfter, PingTimeout: probeTimeout},
	}}
}

func noMajorityError() *fault.Error {
	return fault.New(fault.Unavailable, "ask another control VM; check that a majority of them runs",
		"this control VM has no contact with a majority").WithRetryAfter(contactPeriod)
}

// contactError says why this VM can't follow a majority.
func (r *Role) contactError() *fault.Error {
	failure := r.group.Ready()
	if !fault.Is(failure, fault.Storage) {
		return noMajorityError()
	}
	return fault.New(fault.Unavailable, "ask another control VM; free space on the disk of this one",
		"this control VM can't store changes: %s", fault.Of(failure).Message).WithRetryAfter(contactPeriod)
}

func stoppingError() *fault.Error {
	return fault.New(fault.Unavailable, "ask another control VM", "this control VM is stopping")
}

// Register adds the twirp services to the process's listener.
func (r *Role) Register(mux *http.ServeMux) {
	r.group.Register(mux)
	mux.Handle(rpc.ControlPathPrefix, withoutDate(rpc.NewControlServer(r)))
	mux.Handle(rpc.OperatorPathPrefix, rpc.NewOperatorServer(&operator{role: r}))
	mux.Handle(rpc.JobsPathPrefix, withoutDate(rpc.NewJobsServer(&jobs{role: r})))
}

// withoutDate omits the Date header, to save its bytes: net/http doesn't add it if the value is nil.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, request)
	})
}

// Start starts the group and the duties.
func (r *Role) Start(ctx context.Context) error {
	if err := r.group.Start(ctx); err != nil {
		return err
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.duties.Go(func() { r.proposer.run(ctx) })
	r.duties.Go(func() { (&digester{role: r}).run(ctx) })
	r.duties.Go(func() { (&leaseWatch{role: r}).run(ctx) })
	r.duties.Go(func() { r.holders.run(ctx) })
	r.duties.Go(func() { r.watchContact(ctx) })
	return nil
}

// Ready returns nil while this VM has contact with a majority and Stop has not been called.
func (r *Role) Ready() error {
	if err := r.group.Ready(); err != nil {
		return err
	}
	_, err := r.gate.check()
	return err
}

// Stop releases the held polls, waits for the commands in progress, and stops the group, which transfers leadership.
func (r *Role) Stop(ctx context.Context) error {
	r.gate.closeFor(stoppingError(), true)
	if r.cancel != nil {
		r.cancel()
	}
	r.duties.Wait()
	r.background.Wait()
	return r.group.Stop(ctx)
}

// watchContact keeps the gate open while this VM has contact with a majority.
func (r *Role) watchContact(ctx context.Context) {
	timer := time.NewTimer(reconnectPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(r.checkContact())
	}
}

// checkContact opens or closes the gate, and returns the time until the next check.
func (r *Role) checkContact() time.Duration {
	silence := time.Since(r.group.Status().ConfirmedAt)
	if silence <= maxSilence {
		if r.gate.open() {
			events.QuorumRegained.Log(r.logger)
		}
		return contactPeriod
	}
	if r.gate.closeFor(r.contactError(), false) {
		events.QuorumLost.Log(r.logger, "silence", silence.String())
	}
	return reconnectPeriod
}
