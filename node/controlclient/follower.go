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

// Times of the follower's loop.
const (
	// DefaultHold is how long a control VM may hold a poll when nothing changes, unless the options say otherwise.
	DefaultHold = 5 * time.Second
	// answerSlack is what an answer may take beyond the hold before the connection counts as silent.
	answerSlack = time.Second
	// firstAnswer is how long the first answer of a control VM may take.
	firstAnswer = 4 * time.Second
	// maxAnswerStaleness is how long a control VM may have been out of touch before another one is tried.
	maxAnswerStaleness = 5 * time.Second
	// minStay and maxStay bound how long a follower stays with one control VM, so that the load evens out after VMs
	// have restarted or joined.
	minStay    = 5 * time.Minute
	maxStay    = 15 * time.Minute
	minBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff bounds the pause after failures, unless the options say otherwise.
	DefaultMaxBackoff = 2 * time.Second
	// ShortMaxBackoff is for nodes that can do nothing without control when they start: after a loss of power control VMs
	// are seldom up first, and a connection that is refused costs little.
	ShortMaxBackoff = 100 * time.Millisecond
	// ShortDialTimeout is many times the way to another data centre. A control VM without power answers nothing.
	ShortDialTimeout = 200 * time.Millisecond
)

// Options configure a Follower.
type Options struct {
	// Addresses are the host:port pairs of the control VMs.
	Addresses []string
	// Self returns the caller's own record, a new one when it changed. It is called before each message and must not
	// block.
	Self func() *rpc.Node
	// WantNodes and WantCatalogue choose what the answers carry.
	WantNodes     bool
	WantCatalogue bool
	Logger        logr.Logger
	// Metrics receives control_messages and control_bytes.
	Metrics *metrics.Role
	// RecoverRecord receives the record that this node announced before it was started anew; nil for none. It must not block.
	RecoverRecord func(record []byte)
	// Hold is how long a control VM may hold a poll when nothing changes; DefaultHold when 0. It bounds how long a
	// connection may be silent before another one is tried.
	Hold time.Duration
	// MaxBackoff bounds the pause between two control VMs that fail; DefaultMaxBackoff when 0.
	MaxBackoff time.Duration
	// DialTimeout bounds opening a connection; DefaultDialTimeout when 0. A control VM without power answers nothing.
	DialTimeout time.Duration
	// HTTP replaces the follower's own client; control_bytes then counts message bodies only.
	HTTP *http.Client
}

// Follower keeps a View of the replicated state up to date.
type Follower struct {
	options Options
	pool    *pool
	caller  *caller

	announced chan struct{}
	view      atomic.Pointer[View]
	// The fields below are touched by the loop only. number stands for the record in sent.
	failing         bool
	addressesDigest uint32
	number          uint64
	sent            *rpc.Node
	// granted is how long control VMs hold a quiet poll, 0 before the first answer.
	granted time.Duration

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
	shared := newPool(options)
	return &Follower{
		options: options, pool: shared, caller: &caller{pool: shared},
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

// Ready returns nil after the first confirmed view, fault.Unavailable before.
func (f *Follower) Ready() error {
	if f.view.Load() != nil {
		return nil
	}
	return fault.New(fault.Unavailable, "check that a majority of the control VMs runs and can be reached",
		"no confirmed state from control yet")
}

// View returns the latest view, nil before the first one.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Changed returns a channel that is closed at the next change of nodes, catalogue or drain.
func (f *Follower) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// SetAddresses replaces the addresses of the control VMs that the settings name.
func (f *Follower) SetAddresses(addresses []string) {
	f.pool.configure(addresses)
}

// Announce sends Self at once instead of with the next poll.
func (f *Follower) Announce() {
	select {
	case f.announced <- struct{}{}:
	default:
	}
}

// Control returns a client over all control VMs. Claim and Finish are retried on another VM until ctx ends.
func (f *Follower) Control() rpc.Control {
	return f.caller
}

// Goodbye ends the loop and tells control that this process stops. It tries each control VM until one has answered.
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
	leaveAt := time.Now().Add(stay())
	for ctx.Err() == nil {
		if time.Now().After(leaveAt) {
			f.pool.pick()
			leaveAt = time.Now().Add(stay())
		}
		server := f.pool.current()
		err := f.poll(ctx, server)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.recovered(server)
			backoff.reset()
			continue
		}
		f.failed(server, err)
		f.pool.rotate(server)
		f.wait(ctx, backoff.next())
	}
}

// stay draws how long to stay with one control VM.
func stay() time.Duration {
	return minStay + rand.N(maxStay-minStay) //nolint:gosec // Not a secret.
}

// poll sends one message and applies its answer. An announcement cuts the wait short.
func (f *Follower) poll(ctx context.Context, server *server) error {
	request := f.request()
	ctx, cancel := context.WithTimeout(ctx, f.patience())
	defer cancel()
	interrupted := f.interruptOnAnnounce(ctx, cancel)
	sentAt := time.Now()
	answer, err := server.control().Sync(ctx, request)
	cancel()
	if <-interrupted {
		// The next poll carries the new record at once.
		return nil
	}
	if err != nil {
		return err
	}
	if answer.GetNeedRecord() {
		f.number = 0
		return nil
	}
	if answer.GetNumber() != 0 {
		f.number, f.sent = answer.GetNumber(), proto.CloneOf(request.GetNode())
		f.granted = time.Duration(answer.GetGrantedHoldMs()) * time.Millisecond
	}
	if record := answer.GetOwnRecord(); len(record) > 0 && f.options.RecoverRecord != nil {
		f.options.RecoverRecord(record)
	}
	return f.apply(answer, sentAt)
}

// patience returns how long an answer may take before the connection counts as silent.
func (f *Follower) patience() time.Duration {
	if f.granted == 0 {
		return firstAnswer
	}
	return f.granted + answerSlack
}

// interruptOnAnnounce cancels the poll at an announcement; the channel tells once whether it did.
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

// request returns the next poll. The record is left out while its number stands for it.
func (f *Follower) request() *rpc.SyncRequest {
	request := &rpc.SyncRequest{
		HoldMs:    f.options.Hold.Milliseconds(),
		WantNodes: f.options.WantNodes, WantCatalogue: f.options.WantCatalogue, AddressesDigest: f.addressesDigest,
		WantPacked: true,
	}
	self := f.options.Self()
	if f.number != 0 && proto.Equal(self, f.sent) {
		request.Number = f.number
	} else {
		request.Node = self
	}
	if view := f.view.Load(); view != nil {
		request.KnownIndex = view.Index
		request.RevisionInForce = view.Revision
	}
	return request
}

// apply publishes the view after an answer. Its errors make the loop try another control VM.
func (f *Follower) apply(answer *rpc.SyncResponse, sentAt time.Time) error {
	held := time.Duration(answer.GetHeldMs()) * time.Millisecond
	staleness := time.Duration(answer.GetStalenessMs()) * time.Millisecond
	before := f.view.Load()
	after, err := before.next(answer, sentAt.Add(held-staleness))
	if err != nil {
		return err
	}
	if after == nil {
		return fault.New(fault.Unavailable, "none: another control VM is tried",
			"control VM is at index %d, behind %d", answer.GetIndex(), before.Index)
	}
	f.publish(before, after, answer)
	if len(answer.GetControlAddresses()) > 0 {
		f.addressesDigest = answer.GetAddressesDigest()
		f.pool.adopt(answer.GetControlAddresses())
	}
	if staleness > maxAnswerStaleness {
		return fault.New(fault.Unavailable, "check the network between the control VMs",
			"control VM has been out of touch with its quorum for %v", staleness)
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

// wait sleeps for the backoff; an announcement ends it early.
func (f *Follower) wait(ctx context.Context, backoff time.Duration) {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.announced:
	case <-ctx.Done():
	}
}

// failed logs the first failure of a row.
func (f *Follower) failed(server *server, err error) {
	if f.failing {
		return
	}
	f.failing = true
	events.SyncFailed.LogError(f.options.Logger, err, "address", server.address)
}

func (f *Follower) recovered(server *server) {
	if !f.failing {
		return
	}
	f.failing = false
	events.SyncRecovered.Log(f.options.Logger, "address", server.address)
}
