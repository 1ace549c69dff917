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

// Durations and bounds of the protocol.
const (
	// TickPeriod is the unit of time of the raft loop.
	TickPeriod     = 50 * time.Millisecond
	heartbeatTicks = 3
	electionTicks  = 10
	// silentTicks is how long a member may be silent before one that stands by takes its place.
	silentTicks = 30

	maxAppendBytes = 512 << 10
	maxInflight    = 64
	chunkBytes     = 512 << 10
	keepEntries    = 1000
	keepBytes      = 8 << 20
	// maxLogBytes is the size of applied entries that makes a snapshot due before Options.SnapshotEvery does.
	maxLogBytes = 16 << 20
	// maxCommandBytes bounds one command.
	maxCommandBytes = 8 << 20
	// inputQueueLength bounds what waits for the raft loop.
	inputQueueLength = 1024
	// maxInputBatch bounds what the raft loop takes before it hands work out.
	maxInputBatch = 256
)

// Machine is the application's state. Its methods are called from one goroutine.
type Machine interface {
	// Apply carries out a command. It is deterministic, and called in the order of the log.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(index uint64, snapshot []byte) error
}

// Options describe one member. ID, Address, DataFolder and Machine are required.
type Options struct {
	// ID is the node id of the VM.
	ID string
	// Address is the host:port at which the other members reach this one.
	Address    string
	DataCentre string
	DataFolder string
	// InitialMembers found a new group together. It is empty on a VM that joins later.
	InitialMembers []settings.Member
	// Seeds are host:port pairs at which this VM looks for the group when it belongs to none or was removed. Without
	// them an operator adds VMs.
	Seeds []string
	// Voters is how many members are to count; 0 lets all count. Further ones stand by and take the place of a member
	// that is silent.
	Voters int
	// SnapshotEvery is the number of applied entries between snapshots.
	SnapshotEvery int
	Machine       Machine
	Logger        logr.Logger
	// Metrics may be nil.
	Metrics *metrics.Role

	// files and transport replace the disk and the network in tests.
	files     wal.Files
	transport transportFactory
}

// Member is one member as Status tells it.
type Member struct {
	settings.Member
	Learner bool
	// MatchIndex is the last position that the leader knows to be synced there; 0 on other VMs.
	MatchIndex uint64
	// Replica identifies the data folder: a VM that lost its disk has the same ID and another Replica.
	Replica uint64
}

// Status is this VM's view of the group.
type Status struct {
	// Replica identifies this VM's data folder, as in Member.
	Replica uint64
	// Leader is the node id of the leader, empty when none is known.
	Leader        string
	LeaderAddress string
	Term          uint64
	CommitIndex   uint64
	AppliedIndex  uint64
	IsLeader      bool
	Members       []Member
	// ConfirmedAt is when this VM last knew itself in touch with a quorum's leader; zero when it never was.
	ConfirmedAt time.Time
}

// Group is this VM's part in the replicated log.
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
	// ended is closed when the raft loop takes nothing more.
	ended chan struct{}

	waiters  waiterTable
	applied  appliedIndex
	status   atomic.Pointer[Status]
	view     atomic.Pointer[raft.Status]
	failure  atomic.Pointer[fault.Error]
	stopping atomic.Bool
	seeds    atomic.Pointer[[]string]
	// joinLogged belongs to the bootstrap loop.
	joinLogged bool
	started    atomic.Bool
	// changed is closed and replaced when the leader, the membership or the group changes.
	changed changeSignal
}

// New opens the data folder. The error is a *fault.Error of kind Storage or Invalid.
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
	log, found, err := wal.Open(wal.Options{Folder: options.DataFolder, Files: options.files})
	if err != nil {
		return nil, err
	}
	group, err := newGroup(options, log, found)
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

func newGroup(options Options, log *wal.Log, found *wal.Contents) (*Group, error) {
	g := &Group{
		options: options, log: log,
		inputs: make(chan input, inputQueueLength), store: make(chan []raft.Ready),
		applyJobs: make(chan []applyJob), synced: make(chan struct{}, 1), compactions: make(chan compaction, 1),
		ended: make(chan struct{}), connections: &connectionTable{transport: options.transport, byAddress: map[string]*connection{}},
	}
	g.SetSeeds(options.Seeds)
	g.changed.init()
	g.applied.init()
	g.waiters.init()
	if err := g.loadIdentity(found); err != nil {
		return nil, err
	}
	g.logContents(found)
	restart := found.Restart
	if restart.HardState.Group == 0 {
		// A createRequest that was not finished counts for nothing.
		restart = raft.Restart{}
	}
	if err := g.build(restart); err != nil {
		return nil, err
	}
	g.peers = newPeerTable(g)
	g.publishGauges()
	return g, nil
}

// build makes the state machine and restores the application's state.
func (g *Group) build(restart raft.Restart) error {
	core, err := raft.New(raft.Config{
		ID: g.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: uint64(g.id),
		MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflight, ChunkBytes: chunkBytes, KeepEntries: keepEntries,
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

// loadIdentity draws the identity of a new data folder, or checks that the folder is this VM's.
func (g *Group) loadIdentity(found *wal.Contents) error {
	if found.Identity == nil {
		identity := wal.Identity{Name: g.options.ID, ID: randomID()}
		if err := g.log.SetIdentity(identity); err != nil {
			return err
		}
		found.Identity = &identity
		events.ReplicaCreated.Log(g.options.Logger, "replica", uint64(identity.ID))
	}
	if found.Identity.Name != g.options.ID {
		return fault.New(fault.Storage, "name the data folder of this VM in the settings",
			"data folder %s belongs to %q, not to %q", g.options.DataFolder, found.Identity.Name, g.options.ID)
	}
	g.id = found.Identity.ID
	return nil
}

// randomID returns a number that no data folder ever had.
func randomID() raft.ID {
	var data [8]byte
	_, _ = rand.Read(data[:])
	return raft.ID(binary.LittleEndian.Uint64(data[:]) | 1)
}

func (g *Group) logContents(found *wal.Contents) {
	if found.TornBytes > 0 {
		events.ReplicaTornTail.Log(g.options.Logger, "bytes", found.TornBytes)
	}
	for _, name := range found.IgnoredSnapshots {
		events.ReplicaOldSnapshot.Log(g.options.Logger, "file", name)
	}
}

// Register adds the twirp service Replica.
func (g *Group) Register(mux *http.ServeMux) {
	server := rpc.NewReplicaServer(&service{group: g})
	mux.HandleFunc(rpc.ReplicaPathPrefix, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		server.ServeHTTP(w, r)
	})
}

// Start starts the loops and returns. The loops end with Stop, or with ctx.
func (g *Group) Start(ctx context.Context) error {
	if g.started.Swap(true) {
		return fault.New(fault.Internal, "start a group once", "the group is started already")
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

// SetSeeds replaces the addresses at which this VM looks for the group.
func (g *Group) SetSeeds(addresses []string) {
	g.seeds.Store(&addresses)
}

// Ready returns nil while this VM is in touch with a leader.
func (g *Group) Ready() error {
	if failure := g.failure.Load(); failure != nil {
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

// Status returns the latest view. It is cheap.
func (g *Group) Status() Status {
	return *g.status.Load()
}

// Stop hands leadership over and ends the loops. Proposals in progress end as fault.Unknown.
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

// transferLeadership asks another member to lead and waits until it does.
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

// failWith ends this VM's part after a failure of the storage.
func (g *Group) failWith(err error) {
	failure := fault.Of(err)
	if g.failure.CompareAndSwap(nil, failure) {
		events.ReplicaStorageFailed.LogError(g.options.Logger, failure)
	}
	g.stop()
	g.applied.fail()
	g.changed.fire()
}
