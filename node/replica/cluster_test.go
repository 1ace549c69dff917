package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/testr"

	"flamingohall.example/core/raft"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/settings"
)

// listMachine is a Machine whose state is the list of all commands.
type listMachine struct {
	mutex    sync.Mutex
	Commands []string
}

func (m *listMachine) Apply(index uint64, command []byte) []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.Commands = append(m.Commands, string(command))
	return fmt.Appendf(nil, "%d:%s", index, command)
}

func (m *listMachine) Snapshot() ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return json.Marshal(m.Commands)
}

func (m *listMachine) Restore(_ uint64, snapshot []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.Commands = nil
	return json.Unmarshal(snapshot, &m.Commands)
}

func (m *listMachine) list() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]string(nil), m.Commands...)
}

// node is one VM of a cluster. It can be stopped, and started again with or without its data folder.
type node struct {
	cluster *cluster
	id      string
	address string
	folder  string
	files   *faultyFiles
	machine *listMachine
	group   *Group
	server  *http.Server
}

type cluster struct {
	t testing.TB
	// network is nil when the nodes use TCP.
	network *network
	// counter, if not nil, counts the bytes on TCP connections.
	counter       *byteCounter
	logger        logr.Logger
	members       []settings.Member
	nodes         []*node
	snapshotEvery int
}

// newCluster returns a cluster that uses a network in memory, for tests under synctest.
func newCluster(t testing.TB, size int) *cluster {
	t.Helper()
	return makeCluster(t, size, &network{muxes: map[string]*http.ServeMux{}, cuts: map[string]bool{}})
}

func makeCluster(t testing.TB, size int, network *network) *cluster {
	t.Helper()
	c := &cluster{t: t, network: network, logger: logr.Discard(), snapshotEvery: 1000}
	if plain, isTest := t.(*testing.T); isTest && testing.Verbose() {
		c.logger = testr.New(plain)
	}
	for i := range size {
		c.addNode(i)
	}
	for _, n := range c.nodes {
		c.members = append(c.members, settings.Member{ID: n.id, Address: n.address, DataCentre: "test"})
	}
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) addNode(number int) *node {
	c.t.Helper()
	n := &node{
		cluster: c, id: fmt.Sprintf("control-%d", number+1), address: c.freeAddress(number),
		folder: filepath.Join(c.t.TempDir(), "data"), files: &faultyFiles{},
	}
	c.nodes = append(c.nodes, n)
	return n
}

func (c *cluster) freeAddress(number int) string {
	c.t.Helper()
	if c.network != nil {
		return fmt.Sprintf("127.0.0.1:%d", number+1)
	}
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = reserved.Close() }()
	return reserved.Addr().String()
}

func (c *cluster) start() {
	c.t.Helper()
	for _, n := range c.nodes {
		n.start()
	}
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.group != nil {
			n.kill()
		}
	}
}

func (n *node) open() error {
	n.machine = &listMachine{}
	group, err := New(Options{
		ID: n.id, Address: n.address, DataCentre: "test", DataFolder: n.folder,
		InitialMembers: n.cluster.members, SnapshotEvery: n.cluster.snapshotEvery, Machine: n.machine,
		Logger: n.cluster.logger.WithName(n.id), Metrics: metrics.NewRole("test", n.address), files: n.files,
		transport: n.transport(),
	})
	n.group = group
	return err
}

func (n *node) transport() transportFactory {
	if n.cluster.counter != nil {
		return n.cluster.counter.transport(n.address)
	}
	if n.cluster.network == nil {
		return nil
	}
	return func(string) http.RoundTripper { return &networkTransport{n.cluster.network, n.address} }
}

func (n *node) start() {
	n.cluster.t.Helper()
	if err := n.open(); err != nil {
		n.cluster.t.Fatal(err)
	}
	n.run()
}

// run starts the loops of an opened VM.
func (n *node) run() {
	n.cluster.t.Helper()
	mux := http.NewServeMux()
	n.group.Register(mux)
	n.listen(mux)
	if err := n.group.Start(context.Background()); err != nil {
		n.cluster.t.Fatal(err)
	}
}

func (n *node) listen(mux *http.ServeMux) {
	n.cluster.t.Helper()
	if n.cluster.network != nil {
		n.cluster.network.serve(n.address, mux)
		return
	}
	listener, err := net.Listen("tcp", n.address)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	n.server = &http.Server{Handler: mux}
	go func() { _ = n.server.Serve(listener) }()
}

func (n *node) stopListening() {
	if n.cluster.network != nil {
		n.cluster.network.serve(n.address, nil)
		return
	}
	_ = n.server.Close()
}

// kill stops the VM without a leadership transfer.
func (n *node) kill() {
	n.group.stop()
	n.stopListening()
	_ = n.group.Stop(context.Background())
	n.group = nil
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// leader waits until all running nodes agree on a running leader.
func (c *cluster) leader() *node {
	c.t.Helper()
	for ctx := testContext(c.t); ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if found := c.agreedLeader(); found != nil {
			return found
		}
	}
	c.t.Fatal("no leader")
	return nil
}

func (c *cluster) agreedLeader() *node {
	var leader *node
	for _, n := range c.nodes {
		if n.group == nil {
			continue
		}
		if n.group.Status().IsLeader {
			leader = n
		}
	}
	for _, n := range c.nodes {
		if leader == nil || (n.group != nil && n.group.Status().Leader != leader.id) {
			return nil
		}
	}
	return leader
}

// otherLeader waits for a leader other than the node that is cut off.
func (c *cluster) otherLeader(cutOff *node) *node {
	c.t.Helper()
	for ctx := testContext(c.t); ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		for _, n := range c.nodes {
			if n != cutOff && n.group.Status().IsLeader {
				return n
			}
		}
	}
	c.t.Fatal("no leader other than the node that is cut off")
	return nil
}

func (c *cluster) follower() *node {
	c.t.Helper()
	leader := c.leader()
	for _, n := range c.nodes {
		if n != leader && n.group != nil {
			return n
		}
	}
	c.t.Fatal("no follower")
	return nil
}

// followerBut returns the follower other than n.
func (c *cluster) followerBut(n *node) *node {
	c.t.Helper()
	leader := c.leader()
	for _, other := range c.nodes {
		if other != leader && other != n {
			return other
		}
	}
	c.t.Fatal("no other follower")
	return nil
}

// otherLeaderAfterProposal proposes the command, through the other VMs, until it is applied while the victim's disk takes
// no writes. A proposal without a known outcome is made again unless the state holds it.
func (c *cluster) otherLeaderAfterProposal(victim *node, command string) {
	c.t.Helper()
	// This write makes the victim notice its full disk, if it leads.
	_, _, _ = victim.group.Propose(testContext(c.t), []byte(command))
	for ctx := testContext(c.t); ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		for _, n := range c.nodes {
			if n == victim {
				continue
			}
			if _, err := n.group.Confirm(ctx); err == nil && slices.Contains(n.machine.list(), command) {
				return
			}
			_, _, _ = n.group.Propose(ctx, []byte(command))
			break
		}
	}
	c.t.Fatalf("%q is not applied while the disk of %s is full", command, victim.id)
}

// propose proposes the command and fails the test unless it is applied.
func (n *node) propose(command string) {
	n.cluster.t.Helper()
	index, result, err := n.group.Propose(testContext(n.cluster.t), []byte(command))
	if err != nil {
		n.cluster.t.Fatalf("propose %q at %s: %v", command, n.id, err)
	}
	if want := fmt.Appendf(nil, "%d:%s", index, command); !bytes.Equal(result, want) {
		n.cluster.t.Fatalf("result %q, want %q", result, want)
	}
}

// wantList checks the commands that a confirmed read returns.
func (n *node) wantList(want ...string) {
	n.cluster.t.Helper()
	if _, err := n.group.Confirm(testContext(n.cluster.t)); err != nil {
		n.cluster.t.Fatalf("confirm at %s: %v", n.id, err)
	}
	if got := n.machine.list(); fmt.Sprint(got) != fmt.Sprint(want) {
		n.cluster.t.Fatalf("%s holds %v, want %v", n.id, got, want)
	}
}

// wantCommands is like wantList, but accepts that a command whose outcome was unknown is applied more than once.
func (n *node) wantCommands(want ...string) {
	n.cluster.t.Helper()
	if _, err := n.group.Confirm(testContext(n.cluster.t)); err != nil {
		n.cluster.t.Fatalf("confirm at %s: %v", n.id, err)
	}
	var got []string
	for _, command := range n.machine.list() {
		if !slices.Contains(got, command) {
			got = append(got, command)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		n.cluster.t.Fatalf("%s holds %v, want %v", n.id, got, want)
	}
}

// waitVoters waits until the group has that many members and all of them are voters.
func waitVoters(t *testing.T, c *cluster, count int) {
	t.Helper()
	for ctx := testContext(t); ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		voters := 0
		members := c.leader().group.Status().Members
		for _, member := range members {
			if !member.Learner {
				voters++
			}
		}
		if voters == count && len(members) == count {
			return
		}
	}
	t.Fatalf("members are %v, want %d voters", c.leader().group.Status().Members, count)
}

func findMember(c *cluster, id raft.ID) (raft.MemberStatus, bool) {
	for _, member := range c.leader().group.view.Load().Members {
		if member.ID == id {
			return member, true
		}
	}
	return raft.MemberStatus{}, false
}
