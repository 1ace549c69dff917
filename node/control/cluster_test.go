package control

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/registry"
	"flamingohall.example/core/state"
	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
	"flamingohall.example/node/transport"
)

// memoryLog is a replicated log without a network: a proposal is applied at every member that is not cut off.
type memoryLog struct {
	mutex    sync.Mutex
	commands [][]byte
	members  []*memoryGroup
	leader   int
	term     uint64
}

// memoryGroup is one member of a memoryLog.
type memoryGroup struct {
	log     *memoryLog
	number  int
	address string
	machine *machine
	// The log's mutex guards the fields below.
	applied uint64
	cut     bool
	cutAt   time.Time
	// loseAnswers makes proposals commit but return fault.Unknown.
	loseAnswers bool
}

func (g *memoryGroup) Register(*http.ServeMux)                                   {}
func (g *memoryGroup) Start(context.Context) error                               { return nil }
func (g *memoryGroup) Ready() error                                              { return nil }
func (g *memoryGroup) Stop(context.Context) error                                { return nil }
func (g *memoryGroup) ChangeMember(context.Context, settings.Member, bool) error { return nil }

func (g *memoryGroup) Propose(_ context.Context, command []byte) (uint64, []byte, error) {
	g.log.mutex.Lock()
	defer g.log.mutex.Unlock()
	if g.cut {
		return 0, nil, fault.New(fault.Unavailable, "reconnect the member", "member %d is cut off", g.number)
	}
	g.log.commands = append(g.log.commands, command)
	index := uint64(len(g.log.commands))
	var result []byte
	for _, member := range g.log.members {
		if got := member.catchUp(); member == g {
			result = got
		}
	}
	if g.loseAnswers {
		return 0, nil, fault.New(fault.Unknown, "send it again", "the answer was lost")
	}
	return index, result, nil
}

// catchUp applies the missing commands and returns the last result.
func (g *memoryGroup) catchUp() (result []byte) {
	if g.cut {
		return nil
	}
	for g.applied < uint64(len(g.log.commands)) {
		g.applied++
		result = g.machine.Apply(g.applied, g.log.commands[g.applied-1])
	}
	return result
}

func (g *memoryGroup) Confirm(context.Context) (uint64, error) {
	g.log.mutex.Lock()
	defer g.log.mutex.Unlock()
	if g.cut {
		return 0, fault.New(fault.Unavailable, "reconnect the member", "member %d is cut off", g.number)
	}
	return g.applied, nil
}

func (g *memoryGroup) Status() Status {
	g.log.mutex.Lock()
	defer g.log.mutex.Unlock()
	leader := g.log.members[g.log.leader]
	status := Status{
		Leader: fmt.Sprint("control-", leader.number), LeaderAddress: leader.address, IsLeader: leader == g && !g.cut,
		Term: g.log.term, CommitIndex: g.applied, AppliedIndex: g.applied, ConfirmedAt: time.Now(),
	}
	if g.cut {
		status.ConfirmedAt = g.cutAt
	}
	for _, member := range g.log.members {
		status.Members = append(status.Members, Member{
			Member: settings.Member{ID: fmt.Sprint("control-", member.number), Address: member.address},
		})
	}
	return status
}

// cluster is a set of control roles on one memoryLog, each behind its own loopback listener.
type cluster struct {
	t       testing.TB
	log     *memoryLog
	groups  []*memoryGroup
	roles   []*Role
	servers []*httptest.Server
}

func newCluster(t *testing.T, size int, lease time.Duration) *cluster {
	t.Helper()
	c := &cluster{t: t, log: &memoryLog{term: 1}}
	for number := range size {
		mux := http.NewServeMux()
		server := httptest.NewUnstartedServer(mux)
		server.Config.Protocols = transport.ServerProtocols()
		server.Start()
		group := &memoryGroup{log: c.log, number: number, address: server.Listener.Addr().String()}
		c.log.members = append(c.log.members, group)
		c.groups = append(c.groups, group)
		c.servers = append(c.servers, server)
		role, err := newRole(controlSettings(number, lease), logr.Discard(), func(m *machine) (Group, error) {
			group.machine = m
			return group, nil
		})
		if err != nil {
			t.Fatal(err)
		}
		role.Register(mux)
		c.roles = append(c.roles, role)
	}
	for _, role := range c.roles {
		if err := role.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(c.close)
	for _, role := range c.roles {
		eventually(t, "a role becomes ready", func() bool { return role.Ready() == nil })
	}
	return c
}

func controlSettings(number int, lease time.Duration) *settings.File {
	return &settings.File{
		Node:    settings.Node{ID: fmt.Sprint("control-", number)},
		Control: &settings.Control{TargetLeaseMS: int(lease.Milliseconds())},
	}
}

func (c *cluster) close() {
	for number, role := range c.roles {
		if err := role.Stop(context.Background()); err != nil {
			c.t.Error(err)
		}
		c.servers[number].Close()
	}
}

func (c *cluster) addresses() []string {
	var addresses []string
	for _, group := range c.groups {
		addresses = append(addresses, group.address)
	}
	return addresses
}

// cutOff cuts a member off, with its last contact the given duration ago, or reconnects it.
func (c *cluster) cutOff(number int, cut bool, since time.Duration) {
	c.log.mutex.Lock()
	defer c.log.mutex.Unlock()
	group := c.groups[number]
	group.cut = cut
	group.cutAt = time.Now().Add(-since)
	group.catchUp()
}

func (c *cluster) loseAnswers(number int, lose bool) {
	c.log.mutex.Lock()
	defer c.log.mutex.Unlock()
	c.groups[number].loseAnswers = lose
}

func (c *cluster) control(number int) rpc.Control {
	return rpc.NewControlProtobufClient("http://"+c.groups[number].address, http.DefaultClient)
}

func (c *cluster) operator(number int) rpc.Operator {
	return rpc.NewOperatorProtobufClient("http://"+c.servers[number].Listener.Addr().String(), http.DefaultClient)
}

// follow starts a follower of the cluster that stops at the end of the test.
func (c *cluster) follow(self func() *rpc.Node, addresses []string) *controlclient.Follower {
	c.t.Helper()
	entry := self().GetRole() == rpc.Role_ROLE_ENTRY
	follower := controlclient.NewFollower(controlclient.Options{
		Addresses: addresses, Self: self, WantNodes: entry, WantCatalogue: entry, Logger: logr.Discard(),
		Metrics: metrics.NewRole("follower", c.t.Name()+self().GetId()),
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	follower.Start(ctx)
	return follower
}

func entryNode(id, incarnation string) *rpc.Node {
	return &rpc.Node{
		Id: id, Role: rpc.Role_ROLE_ENTRY, Incarnation: incarnation, DataCentre: "celje-a", Address: id + ":1",
	}
}

func sidecarNode(id, incarnation string) *rpc.Node {
	return &rpc.Node{
		Id: id, Role: rpc.Role_ROLE_SIDECAR, Incarnation: incarnation, DataCentre: "celje-a", Address: id + ":1",
		Target: &rpc.TargetInfo{Worker: id, Rack: "r1", Pool: "levy", Slots: 8},
	}
}

func constant(node *rpc.Node) func() *rpc.Node {
	return func() *rpc.Node { return node }
}

// eventuallyTimeout bounds how long a test waits for an expected condition. It is not a performance limit.
const eventuallyTimeout = 10 * time.Second

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

const testDocument = `{"owners":[{"name":"savinja","weight":1}],
	"entries":[{"name":"levy/%s","owner":"savinja","class":"repeatable","pool":"levy",
	"expected_run_ms":50,"deadline_ms":1000,"objective":{"latency_ms":200,"ratio":0.99}}]}`

func document(name string) []byte {
	return fmt.Appendf(nil, testDocument, name)
}

// restartFromSnapshot replaces a member's state by one restored from its snapshot.
func (c *cluster) restartFromSnapshot(number int) {
	c.t.Helper()
	c.log.mutex.Lock()
	defer c.log.mutex.Unlock()
	group := c.groups[number]
	snapshot, err := group.machine.Snapshot()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := group.machine.Restore(group.applied, snapshot); err != nil {
		c.t.Fatal(err)
	}
}

// step commits one step through the first member.
func (c *cluster) step(t *testing.T, step state.Step) state.Result {
	t.Helper()
	_, result, err := c.roles[0].proposer.propose(t.Context(), step)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func entryStep(id, incarnation string) state.Step {
	return state.Step{Announce: &registry.Node{ID: id, Role: registry.Entry, Incarnation: incarnation}}
}

func sidecarStep(id, incarnation string) state.Step {
	return state.Step{Announce: &registry.Node{ID: id, Role: registry.Sidecar, Incarnation: incarnation}}
}

func goodbyeStep(id, incarnation string) state.Step {
	return state.Step{Goodbye: &state.Process{ID: id, Incarnation: incarnation}}
}

// lead makes a member the leader.
func (c *cluster) lead(number int) {
	c.log.mutex.Lock()
	defer c.log.mutex.Unlock()
	c.log.leader = number
	c.log.term++
}

// SetSeeds does nothing: the members of these groups are fixed.
func (g *memoryGroup) SetSeeds([]string) {}
