package replica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"flamingohall.example/core/raft"
	"flamingohall.example/node/events"
	"flamingohall.example/node/raftwire"
	"flamingohall.example/node/rpc"
)

const (
	// stepTimeout limits a Step call, apart from the time for its size. It is shorter than the election timeout, so
	// that a connection that stopped responding is replaced before the followers start an election.
	stepTimeout = 250 * time.Millisecond
	dialTimeout = 200 * time.Millisecond
	// maxIdleConnections limits the idle connections to one VM that are kept open for further calls.
	maxIdleConnections = 64
	// peerQueueLength limits the messages queued for one peer.
	peerQueueLength = 256
	// maxStepBytes is the size of entries and snapshot data from which no more messages are added to a Step call.
	maxStepBytes = 1 << 20
	// minBytesPerSecond is the slowest transfer rate that the timeout of a large Step call allows for.
	minBytesPerSecond = 8 << 20
)

// peerTable holds a sender for each replica that messages were sent to.
type peerTable struct {
	group *Group

	mutex sync.Mutex
	peers map[raft.ID]*peer
	// senderAddresses holds the addresses that replicas sent with their messages.
	senderAddresses map[raft.ID]string
	closed          bool
}

func newPeerTable(group *Group) *peerTable {
	return &peerTable{group: group, peers: map[raft.ID]*peer{}, senderAddresses: map[raft.ID]string{}}
}

// setSenderAddress records the address of a replica that has sent messages, for the responses to it. The replica may be
// missing from this VM's configuration.
func (t *peerTable) setSenderAddress(id raft.ID, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.senderAddresses[id] = address
}

// send queues each message for its receiver. It drops a message if that queue is full or the address is unknown.
func (t *peerTable) send(messages []raft.Message) {
	for i := range messages {
		if receiver := t.peer(messages[i].To); receiver != nil {
			receiver.enqueue(messages[i])
		}
	}
}

// address returns the address of a replica: that in the configuration, else the one that it sent itself. It is empty if
// there is neither.
func (t *peerTable) address(id raft.ID) string {
	for _, member := range t.group.view.Load().Members {
		if member.ID == id {
			return member.Address
		}
	}
	return t.senderAddresses[id]
}

func (t *peerTable) peer(id raft.ID) *peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	address := t.address(id)
	known := t.peers[id]
	if t.closed || address == "" {
		return nil
	}
	if known != nil && known.address == address {
		return known
	}
	if known != nil {
		known.cancel()
	}
	created := newPeer(t.group, id, address)
	t.peers[id] = created
	t.group.run(created.loop)
	return created
}

func (t *peerTable) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
	for _, p := range t.peers {
		p.cancel()
	}
}

// peer sends messages to one replica, in order, with one Step call at a time.
type peer struct {
	group       *Group
	id          raft.ID
	address     string
	queue       chan raft.Message
	context     context.Context
	cancel      context.CancelFunc
	connection  *connection
	unreachable bool
}

func newPeer(group *Group, id raft.ID, address string) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	return &peer{
		group: group, id: id, address: address, queue: make(chan raft.Message, peerQueueLength),
		context: ctx, cancel: cancel, connection: newConnection(address, group.options.transport),
	}
}

func (p *peer) enqueue(message raft.Message) {
	select {
	case p.queue <- message:
	default:
		p.group.options.Metrics.Add("replica_messages_dropped", 1)
		p.reportUnreachable()
	}
}

// reportUnreachable makes the raft.Replica probe the peer. It is a hint and may be dropped.
func (p *peer) reportUnreachable() {
	select {
	case p.group.inputs <- input{unreachable: p.id}:
	default:
	}
}

func (p *peer) loop() {
	defer p.connection.close()
	for {
		select {
		case <-p.context.Done():
			return
		case first := <-p.queue:
			p.sendStep(p.collect(first))
		}
	}
}

// collect returns a Step request with the first message and further queued ones, up to maxStepBytes.
func (p *peer) collect(first raft.Message) *rpc.StepRequest {
	request := &rpc.StepRequest{Address: p.group.options.Address}
	size := 0
	next := first
	for {
		request.Messages = append(request.Messages, raftwire.Message(&next))
		for _, entry := range next.Entries {
			size += len(entry.Data)
		}
		if next.Chunk != nil {
			size += len(next.Chunk.Data)
		}
		if size >= maxStepBytes {
			return request
		}
		select {
		case next = <-p.queue:
		default:
			return request
		}
	}
}

func (p *peer) sendStep(request *rpc.StepRequest) {
	size := proto.Size(request)
	timeout := stepTimeout + time.Duration(size)*time.Second/minBytesPerSecond
	ctx, cancel := context.WithTimeout(p.context, timeout)
	defer cancel()
	response, err := p.connection.client().Step(ctx, request)
	metrics := p.group.options.Metrics
	metrics.Add("control_messages", 1)
	metrics.Add("control_bytes", int64(size))
	if err == nil {
		p.setUnreachable(false)
		p.enqueueResponses(toMessages(response.GetMessages()))
		return
	}
	// The connection may never respond again, while a new one would work.
	p.connection.reset()
	p.setUnreachable(true)
	p.reportUnreachable()
}

// enqueueResponses queues the responses to a Step call for the raft loop, or drops them if its queue is full.
func (p *peer) enqueueResponses(responses []raft.Message) {
	if len(responses) == 0 {
		return
	}
	select {
	case p.group.inputs <- input{responses: responses}:
	default:
		p.group.options.Metrics.Add("replica_messages_dropped", int64(len(responses)))
	}
}

// setUnreachable logs when a member becomes unreachable or reachable.
func (p *peer) setUnreachable(unreachable bool) {
	if p.unreachable == unreachable || p.context.Err() != nil {
		return
	}
	p.unreachable = unreachable
	if unreachable {
		events.ReplicaPeerUnreachable.Log(p.group.options.Logger, "address", p.address)
		return
	}
	events.ReplicaPeerReachable.Log(p.group.options.Logger, "address", p.address)
}

// connectionTable holds a connection for each address that was called.
type connectionTable struct {
	transport transportFactory

	mutex     sync.Mutex
	byAddress map[string]*connection
}

func (t *connectionTable) connection(address string) *connection {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.byAddress[address] == nil {
		t.byAddress[address] = newConnection(address, t.transport)
	}
	return t.byAddress[address]
}

func (t *connectionTable) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, c := range t.byAddress {
		c.close()
	}
}

// transportFactory returns the HTTP transport for the calls to one address.
type transportFactory func(address string) http.RoundTripper

func newTransport(string) http.RoundTripper {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
		// Many concurrent calls go to one leader. The default of 2 would close and open connections all the time.
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}
}

// connection is a twirp client for one address. Its TCP connections can be replaced.
type connection struct {
	address string
	factory transportFactory

	mutex   sync.Mutex
	http    *http.Client
	current rpc.Replica
}

func newConnection(address string, transport transportFactory) *connection {
	c := &connection{address: address, factory: transport}
	c.reset()
	return c
}

// reset abandons the open TCP connections. Later calls use new ones.
func (c *connection) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.http = &http.Client{Transport: c.factory(c.address)}
	c.current = rpc.NewReplicaProtobufClient("http://"+c.address, c.http, twirp.WithClientHooks(trimHeaders))
}

// trimHeaders removes headers that are not needed. On an idle group headers are most of the traffic.
var trimHeaders = &twirp.ClientHooks{
	RequestPrepared: func(ctx context.Context, request *http.Request) (context.Context, error) {
		request.Header.Del("Accept")
		request.Header.Del("Twirp-Version")
		request.Header.Set("User-Agent", "")
		return ctx, nil
	},
}

func (c *connection) client() rpc.Replica {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.current
}

func (c *connection) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.http.CloseIdleConnections()
}
