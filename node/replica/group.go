package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
	"flamingohall.example/node/events"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
	"flamingohall.example/node/wal"
)

// Durations and limits of the protocol.
const (
	// TickPeriod is the interval at which the raft loop calls Tick. All tick counts are in this unit.
	TickPeriod     = 50 * time.Millisecond
	heartbeatTicks = 3
	electionTicks  = 10
	// electionTimeout is the minimum time without a message from the leader after which a voter starts an election.
	electionTimeout = electionTicks * TickPeriod
	// stallTimeout is the duration of a write after which the VM hands over if it leads and another one is faster. Followers
	// start an election after one to two election timeouts without a leader, so a leader that takes longer for a write
	// delays changes by more than an election.
	stallTimeout = 2 * electionTimeout
	// A failed write is repeated after firstRetry, then after twice as long each time, up to lastRetry.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// silentTicks is how long a voter may go without answering before a learner replaces it; see Options.Voters.
	silentTicks = 30

	maxAppendBytes     = 512 << 10
	maxInflightAppends = 64
	chunkBytes         = 512 << 10
	keepEntries        = 1000
	keepBytes          = 8 << 20
	// maxLogBytes is the size of applied entries at which a snapshot is taken, even if Options.SnapshotEvery is not
	// reached.
	maxLogBytes = 16 << 20
	// maxCommandBytes limits the size of one command.
	maxCommandBytes = 8 << 20
	// inputQueueLength limits the inputs that wait for the raft loop.
	inputQueueLength = 1024
	// maxInputBatch limits the queued inputs that the raft loop handles before it processes their results.
	maxInputBatch = 256
)

// Machine is the application's replicated state machine. Its methods are never called concurrently.
type Machine interface {
	// Apply executes a command and returns its result. It must be deterministic. Commands come in the order of the log.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete state in serialised form.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state by that of a snapshot, which includes all commands up to index.
	Restore(index uint64, snapshot []byte) error
}

// Options describe one member. ID, Address, DataFolder, SnapshotEvery and Machine are required.
type Options struct {
	// ID is the node id of the VM.
	ID string
	// Address is the host:port at which the other members reach this one.
	Address    string
	DataCentre string
	DataFolder string
	// InitialMembers are the members that create a new group together. It is empty on a VM that joins later.
	InitialMembers []settings.Member
	// Seeds are host:port pairs of VMs that this VM asks for the group when it belongs to none or was removed. Without
	// seeds an operator has to add the VM.
	Seeds []string
	// Voters limits the number of voting members; 0 means no limit. Further members stay learners, and one of them
	// replaces a voter that stops answering.
	Voters int
	// SnapshotEvery is the number of applied entries between snapshots, at least 1.
	SnapshotEvery int
	Machine       Machine
	Logger        logr.Logger
	// Metrics may be nil.
	Metrics *metrics.Role

	// Tests replace the disk and the network.
	files     wal.Files
	transport transportFactory
}

// Member is a member of the group in a Status.
type Member struct {
	settings.Member
	Learner bool
	// MatchIndex is the last log index that the leader knows to be synced at the member. It is 0 in the status of other
	// VMs.
	MatchIndex uint64
	// Replica identifies the data folder. A VM that lost its disk keeps its ID but gets a new Replica.
	Replica uint64
}

// Status is this VM's view of the group.
type Status struct {
	// Replica identifies this VM's data folder; see Member.Replica.
	Replica uint64
	// Leader is the node id of the leader, or empty if no leader is known.
	Leader        string
	LeaderAddress string
	Term          uint64
	CommitIndex   uint64
	AppliedIndex  uint64
	IsLeader      bool
	Members       []Member
	// ConfirmedAt is the last time at which this VM's leader is known to have been in contact with a quorum, and this VM to
	// follow it: a follower whose storage takes no writes doesn't apply what is committed. It is zero if there was none
	// yet.
	ConfirmedAt time.Time
	// leaderLostAt is when this VM last knew a leader, or its start; zero while it knows one.
	leaderLostAt time.Time
	// isSoleVoter is set while this VM is the only voter.
	isSoleVoter bool
}

// Group is this VM's member of the replicated log.
type Group struct {
	options     Options
	log         *wal.Log
	id          raft.ID
	core        *raft.Replica
	peers       *peerTable
	connections *connectionTable
	goroutines  sync.WaitGroup
	stop        context.CancelFunc

	inputs      chan input
	store       chan []raft.Ready
	applyJobs   chan []applyJob
	syncedTo    atomic.Uint64
	synced      chan struct{}
	compactions chan compaction
	// ended is closed when the raft loop stops handling inputs.
	ended chan struct{}

	waiters waiterTable
	applied appliedIndex
	storage storageMonitor
	// prepared is closed when the contents of the data folder are durable. Nothing happens before.
	prepared chan struct{}
	// status is what Status returns, view the status of the raft.Replica that it was made from.
	status   atomic.Pointer[Status]
	view     atomic.Pointer[raft.Status]
	failure  atomic.Pointer[fault.Error]
	stopping atomic.Bool
	seeds    atomic.Pointer[[]string]
	// joinLogged is used by the bootstrap loop only.
	joinLogged bool
	started    atomic.Bool
	// changed fires when the leader, the membership or the group changes.
	changed changeSignal
}

// New opens the data folder and restores the application's state from the latest snapshot. The group does nothing
// before Start. The error is a *fault.Error of kind Storage or Invalid.
func New(options Options) (*Group, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRole("control", options.ID)
	}
	if options.transport == nil {
		options.transport = newTransport
	}
	log, contents, err := wal.Open(wal.Options{Folder: options.DataFolder, Files: options.files})
	if err != nil {
		return nil, err
	}
	group, err := newGroup(options, log, contents)
	if err != nil {
		_ = log.Close()
		return nil, err
	}
	return group, nil
}

func (o *Options) check() error {
	if o.ID == "" || o.Address == "" || o.DataFolder == "" || o.Machine == nil {
		return fault.New(fault.Invalid, "set ID, Address, DataFolder and Machine", "replica options are incomplete")
	}
	if o.SnapshotEvery < 1 {
		return fault.New(fault.Invalid, "give 1 or more", "replica option SnapshotEvery is %d", o.SnapshotEvery)
	}
	return nil
}

func newGroup(options Options, log *wal.Log, contents *wal.Contents) (*Group, error) {
	g := &Group{
		options: options, log: log,
		inputs: make(chan input, inputQueueLength), store: make(chan []raft.Ready),
		applyJobs: make(chan []applyJob), synced: make(chan struct{}, 1), compactions: make(chan compaction, 1),
		ended: make(chan struct{}), prepared: make(chan struct{}),
		connections: &connectionTable{transport: options.transport, byAddress: map[string]*connection{}},
	}
	g.SetSeeds(options.Seeds)
	g.changed.init()
	g.applied.init()
	g.waiters.init()
	g.storage.init(g)
	if err := g.loadIdentity(contents); err != nil {
		return nil, err
	}
	g.logContents(contents)
	restart := contents.Restart
	if restart.HardState.Group == 0 {
		// Without a group in the hard state, a stored snapshot is left from a group creation that did not finish.
		restart = raft.Restart{}
	}
	if err := g.build(restart); err != nil {
		return nil, err
	}
	g.peers = newPeerTable(g)
	g.publishGauges()
	return g, nil
}

// build creates the raft.Replica and restores the application's state from the snapshot, if there is one.
func (g *Group) build(restart raft.Restart) error {
	core, err := raft.New(raft.Config{
		ID: g.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: uint64(g.id),
		MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflightAppends, ChunkBytes: chunkBytes, KeepEntries: keepEntries,
		KeepBytes: keepBytes, Voters: g.options.Voters, SilentTicks: silentTicks,
	}, restart)
	if err != nil {
		return err
	}
	g.core = core
	if snapshot := restart.Snapshot; snapshot != nil {
		if err := g.restore(snapshot); err != nil {
			return err
		}
	}
	g.publish()
	return nil
}

// loadIdentity gives a new data folder an identity, or checks that the folder belongs to this VM.
func (g *Group) loadIdentity(contents *wal.Contents) error {
	if contents.Identity == nil {
		identity := wal.Identity{Name: g.options.ID, ID: randomID()}
		if err := g.log.SetIdentity(identity); err != nil {
			return err
		}
		contents.Identity = &identity
		events.ReplicaCreated.Log(g.options.Logger, "replica", uint64(identity.ID))
	}
	if contents.Identity.Name != g.options.ID {
		return fault.New(fault.Storage, "set the data folder of this VM in its settings",
			"data folder %s belongs to node %q, not to node %q", g.options.DataFolder, contents.Identity.Name, g.options.ID)
	}
	g.id = contents.Identity.ID
	return nil
}

// randomID returns the identity of a new data folder. It is never raft.None, and random so that none is used twice.
func randomID() raft.ID {
	var data [8]byte
	// rand.Read never returns an error: it crashes the process if the system has no randomness.
	_, _ = rand.Read(data[:])
	return raft.ID(binary.LittleEndian.Uint64(data[:]) | 1)
}

func (g *Group) logContents(contents *wal.Contents) {
	if contents.TornBytes > 0 {
		events.ReplicaTornTail.Log(g.options.Logger, "bytes", contents.TornBytes)
	}
	for _, name := range contents.IgnoredSnapshots {
		events.ReplicaSnapshotSkipped.Log(g.options.Logger, "file", name)
	}
}

// Register adds the twirp service Replica to the mux.
func (g *Group) Register(mux *http.ServeMux) {
	server := rpc.NewReplicaServer(&service{group: g})
	mux.HandleFunc(rpc.ReplicaPathPrefix, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		server.ServeHTTP(w, r)
	})
}

// Start starts the loops and returns. The loops end on Stop or when ctx ends. A second call is an error.
func (g *Group) Start(ctx context.Context) error {
	if g.started.Swap(true) {
		return fault.New(fault.Internal, "call Start once", "the group has already been started")
	}
	running, cancel := context.WithCancel(ctx)
	g.stop = cancel
	g.run(func() { g.raftLoop(running) })
	g.run(func() { g.storageLoop(running) })
	g.run(func() { g.applyLoop(running) })
	g.run(func() { g.bootstrapLoop(running) })
	return nil
}

func (g *Group) run(loop func()) {
	g.goroutines.Add(1)
	go func() {
		defer g.goroutines.Done()
		loop()
	}()
}

// SetSeeds replaces Options.Seeds.
func (g *Group) SetSeeds(addresses []string) {
	g.seeds.Store(&addresses)
}

// Ready returns nil while this VM knows a leader and its storage takes writes. The error is the failure that ended the
// loops, if there was one, the fault.Storage of a write that is repeated, or fault.Unavailable.
func (g *Group) Ready() error {
	if failure := g.failure.Load(); failure != nil {
		return failure
	}
	if failure := g.storage.failure(); failure != nil {
		return failure
	}
	if g.stopping.Load() {
		return fault.New(fault.Unavailable, "use another control VM", "control VM %s is stopping", g.options.ID)
	}
	if g.Status().Leader == "" {
		return errNoLeader()
	}
	return nil
}

// Status returns the latest status. It is cheap: it takes no lock.
func (g *Group) Status() Status {
	status := *g.status.Load()
	if status.isSoleVoter && status.IsLeader && g.failure.Load() == nil {
		// A sole voter is a quorum by itself. Its contact doesn't become old while its raft loop waits for a processor.
		status.ConfirmedAt = time.Now()
	}
	return status
}

// Stop transfers leadership to another member, ends the loops and closes the data folder. Proposals in progress fail
// with fault.Unknown.
func (g *Group) Stop(ctx context.Context) error {
	g.stopping.Store(true)
	if !g.started.Load() {
		return g.log.Close()
	}
	g.transferLeadership(ctx)
	g.stop()
	g.peers.close()
	g.goroutines.Wait()
	g.connections.close()
	return g.log.Close()
}

// transferLeadership asks another member to lead and waits until this VM no longer leads, at most an election timeout.
func (g *Group) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, electionTicks*TickPeriod)
	defer cancel()
	for g.Status().IsLeader && len(g.Status().Members) > 1 {
		changed := g.changed.wait()
		g.put(ctx, input{transfer: true})
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// failWith ends the loops after an error of the application's state, or one after which the data folder can't be used.
// The first error is kept.
func (g *Group) failWith(err error) {
	failure := fault.Of(err)
	if g.failure.CompareAndSwap(nil, failure) {
		events.ReplicaStopped.LogError(g.options.Logger, failure)
	}
	g.stop()
	g.applied.fail()
	g.changed.fire()
}
