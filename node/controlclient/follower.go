package controlclient

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/events"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
)

// Timing of the follower's loop.
const (
	// DefaultHold is the default of Options.Hold.
	DefaultHold = 5 * time.Second
	// answerSlack is how much longer than the hold an answer may take before the connection counts as silent.
	answerSlack = time.Second
	// firstAnswerTimeout bounds the wait for an answer before any VM has granted a hold.
	firstAnswerTimeout = 4 * time.Second
	// maxAnswerStaleness is how long a control VM may have been without contact with its quorum before the follower
	// switches to another one.
	maxAnswerStaleness = 5 * time.Second
	// minStay and maxStay bound the time between two random choices of a control VM, which rebalance the load after VMs
	// have restarted or joined.
	minStay    = 5 * time.Minute
	maxStay    = 15 * time.Minute
	minBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff is the default of Options.MaxBackoff.
	DefaultMaxBackoff = 2 * time.Second
	// ShortMaxBackoff is for nodes that can do nothing without control when they start. After a power failure the
	// control VMs are seldom up first, and a refused connection costs little.
	ShortMaxBackoff = 100 * time.Millisecond
	// ShortDialTimeout is for the same nodes, since a control VM without power doesn't refuse connections. It is many
	// times the round trip to another data centre.
	ShortDialTimeout = 200 * time.Millisecond
)

// Options configure a Follower.
type Options struct {
	// Addresses are the host:port pairs of the control VMs.
	Addresses []string
	// Self returns this node's record, as a new message whenever it has changed. It is called before each message and
	// must not block.
	Self func() *rpc.Node
	// WantNodes and WantCatalogue select the contents of the view.
	WantNodes     bool
	WantCatalogue bool
	Logger        logr.Logger
	// Metrics receives control_messages and control_bytes.
	Metrics *metrics.Role
	// RecoverRecord, if not nil, receives the record that this node announced before its restart. It must not block.
	RecoverRecord func(record []byte)
	// Busy, if not nil, returns whether tasks run at the target of this drained sidecar; known is false if it is not drained.
	// It must not block.
	Busy func() (busy, known bool)
	// Hold is how long a control VM may hold a poll while nothing changes; DefaultHold if 0. It bounds how long a
	// connection may be silent before another one is tried.
	Hold time.Duration
	// MaxBackoff bounds the delay after a failed poll; DefaultMaxBackoff if 0.
	MaxBackoff time.Duration
	// DialTimeout bounds opening a connection; DefaultDialTimeout if 0. A control VM without power doesn't refuse
	// connections.
	DialTimeout time.Duration
	// HTTP replaces the follower's own HTTP clients for Control if set; control_bytes then counts its message bodies
	// only.
	HTTP *http.Client
}

// Follower keeps a View of the replicated state up to date.
type Follower struct {
	options Options
	pool    *pool
	caller  *caller

	announced chan struct{}
	view      atomic.Pointer[View]
	// The fields below are used by the loop only. number identifies, at control, the record in lastSent; 0 if none.
	failing         bool
	addressesDigest uint32
	number          uint64
	lastSent        *rpc.Node
	// granted is how long control VMs hold a poll while nothing changes, 0 before the first answer.
	granted time.Duration
	// silentSince is when the first poll was sent that the control VM in use has not answered; zero if there is none.
	silentSince time.Time

	// mutex guards the fields below.
	mutex   sync.Mutex
	changed chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewFollower returns a follower that does nothing before Start.
func NewFollower(options Options) *Follower {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRole("follower", options.Self().GetId())
	}
	if options.Hold == 0 {
		options.Hold = DefaultHold
	}
	if options.MaxBackoff == 0 {
		options.MaxBackoff = DefaultMaxBackoff
	}
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	p := newPool(options)
	return &Follower{
		options: options, pool: p, caller: &caller{pool: p},
		announced: make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

// Start runs the loop until ctx ends or Goodbye is called.
func (f *Follower) Start(ctx context.Context) {
	loopContext, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	f.mutex.Lock()
	f.cancel, f.done = cancel, done
	f.mutex.Unlock()
	go func() {
		defer close(done)
		f.loop(loopContext)
	}()
}

// Ready returns nil once there is a confirmed view, and fault.Unavailable before.
func (f *Follower) Ready() error {
	if f.view.Load() != nil {
		return nil
	}
	return fault.New(fault.Unavailable, "check that a majority of the control VMs runs and can be reached",
		"no confirmed state received from control yet")
}

// View returns the latest view, or nil before the first one.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Changed returns a channel that is closed at the next change of nodes, catalogue or drain.
func (f *Follower) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// SetAddresses replaces the configured addresses of the control VMs.
func (f *Follower) SetAddresses(addresses []string) {
	f.pool.configure(addresses)
}

// Announce makes the loop send Self at once instead of with the next poll.
func (f *Follower) Announce() {
	select {
	case f.announced <- struct{}{}:
	default:
	}
}

// Control returns a client for all control VMs. Claim and Finish are retried on another VM until ctx ends.
func (f *Follower) Control() rpc.Control {
	return f.caller
}

// Goodbye ends the loop and deregisters this process. It tries the control VMs in turn until one has answered.
func (f *Follower) Goodbye(ctx context.Context) error {
	f.mutex.Lock()
	cancel, done := f.cancel, f.done
	f.mutex.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
	request := &rpc.SyncRequest{Node: f.options.Self(), Goodbye: true}
	_, err := f.caller.retry(ctx, func(ctx context.Context, client rpc.Control) (any, error) {
		return client.Sync(ctx, request)
	})
	return err
}

// loop polls until ctx ends.
func (f *Follower) loop(ctx context.Context) {
	backoff := newBackoff(f.options.MaxBackoff)
	leaveAt := time.Now().Add(randomStay())
	for ctx.Err() == nil {
		if time.Now().After(leaveAt) {
			f.pool.pickRandom()
			leaveAt = time.Now().Add(randomStay())
			f.silentSince = time.Time{}
		}
		server := f.pool.current()
		isAnswered, err := f.poll(ctx, server)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !isAnswered {
			// The next poll carries the new record without delay.
			continue
		}
		f.silentSince = time.Time{}
		if err == nil {
			f.logRecovery(server)
			backoff.reset()
			continue
		}
		f.logFailure(server, err)
		f.pool.rotate(server)
		f.wait(ctx, backoff.next())
	}
}

// randomStay returns a random duration between minStay and maxStay.
func randomStay() time.Duration {
	return minStay + rand.N(maxStay-minStay) //nolint:gosec // Not a secret.
}

// poll sends one Sync and applies its answer. An announcement interrupts it; then it is neither answered nor an error.
func (f *Follower) poll(ctx context.Context, server *server) (isAnswered bool, err error) {
	request := f.request()
	sentAt := time.Now()
	if f.silentSince.IsZero() {
		f.silentSince = sentAt
	}
	// The wait includes that of interrupted polls: a silent VM must not be kept by announcements.
	ctx, cancel := context.WithDeadline(ctx, f.silentSince.Add(f.answerTimeout()))
	defer cancel()
	interrupted := f.interruptOnAnnounce(ctx, cancel)
	answer, err := server.control().Sync(ctx, request)
	cancel()
	if <-interrupted {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if answer.GetNeedRecord() {
		f.number = 0
		return true, nil
	}
	if answer.GetNumber() != 0 {
		f.number, f.lastSent = answer.GetNumber(), proto.CloneOf(request.GetNode())
		f.granted = time.Duration(answer.GetGrantedHoldMs()) * time.Millisecond
	}
	if record := answer.GetOwnRecord(); len(record) > 0 && f.options.RecoverRecord != nil {
		f.options.RecoverRecord(record)
	}
	return true, f.apply(answer, sentAt)
}

// answerTimeout returns how long an answer may take before the connection counts as silent.
func (f *Follower) answerTimeout() time.Duration {
	if f.granted == 0 {
		return firstAnswerTimeout
	}
	return f.granted + answerSlack
}

// interruptOnAnnounce calls cancel on an announcement. The returned channel delivers once whether it did.
func (f *Follower) interruptOnAnnounce(ctx context.Context, cancel context.CancelFunc) <-chan bool {
	interrupted := make(chan bool, 1)
	go func() {
		select {
		case <-f.announced:
			cancel()
			interrupted <- true
		case <-ctx.Done():
			interrupted <- false
		}
	}()
	return interrupted
}

// request returns the next poll. It carries the record's number instead of the record if control has that version.
func (f *Follower) request() *rpc.SyncRequest {
	request := &rpc.SyncRequest{
		HoldMs:    f.options.Hold.Milliseconds(),
		WantNodes: f.options.WantNodes, WantCatalogue: f.options.WantCatalogue, AddressesDigest: f.addressesDigest,
		WantPacked: true,
	}
	self := f.options.Self()
	if f.number != 0 && proto.Equal(self, f.lastSent) {
		request.Number = f.number
	} else {
		request.Node = self
	}
	if f.options.Busy != nil {
		if busy, known := f.options.Busy(); known {
			request.Busy = &busy
		}
	}
	if view := f.view.Load(); view != nil {
		request.KnownIndex = view.Index
		request.RevisionInForce = view.Revision
	}
	return request
}

// apply publishes the view that results from an answer. After an error the loop tries another control VM.
func (f *Follower) apply(answer *rpc.SyncResponse, sentAt time.Time) error {
	held := time.Duration(answer.GetHeldMs()) * time.Millisecond
	staleness := time.Duration(answer.GetStalenessMs()) * time.Millisecond
	before := f.view.Load()
	after, err := before.next(answer, sentAt.Add(held-staleness))
	if err != nil {
		return err
	}
	if after == nil {
		return fault.New(fault.Unavailable, "none: the client tries another control VM",
			"control VM is at index %d, behind the known index %d", answer.GetIndex(), before.Index)
	}
	f.publish(before, after, answer)
	if len(answer.GetControlAddresses()) > 0 {
		f.addressesDigest = answer.GetAddressesDigest()
		f.pool.setServers(answer.GetControlAddresses())
	}
	if staleness > maxAnswerStaleness {
		return fault.New(fault.Unavailable, "check the network between the control VMs",
			"control VM has had no contact with its quorum for %v", staleness)
	}
	return nil
}

func (f *Follower) publish(before, after *View, answer *rpc.SyncResponse) {
	f.view.Store(after)
	if !before.changes(after, answer) {
		return
	}
	if before == nil || before.Revision != after.Revision {
		events.RevisionInForce.Log(f.options.Logger, "revision", after.Revision, "index", after.Index)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// wait sleeps for the backoff. An announcement ends it early.
func (f *Follower) wait(ctx context.Context, backoff time.Duration) {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.announced:
	case <-ctx.Done():
	}
}

// logFailure logs the first of consecutive failures.
func (f *Follower) logFailure(server *server, err error) {
	if f.failing {
		return
	}
	f.failing = true
	events.SyncFailed.LogError(f.options.Logger, err, "address", server.address)
}

func (f *Follower) logRecovery(server *server) {
	if !f.failing {
		return
	}
	f.failing = false
	events.SyncRecovered.Log(f.options.Logger, "address", server.address)
}
