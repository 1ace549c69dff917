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
	// stepTimeout bounds one post of messages. It is below the election timeout, so that a connection that went
	// silent is replaced before the group misses the leader.
	stepTimeout = 250 * time.Millisecond
	dialTimeout = 200 * time.Millisecond
	// maxIdleConnections bounds the open connections to one VM that wait for the next call.
	maxIdleConnections = 64
	// peerQueueLength bounds the messages that wait for one peer.
	peerQueueLength = 256
	// maxStepBytes bounds the entries of one post.
	maxStepBytes = 1 << 20
	// minBytesPerSecond is the slowest link for which a large post gets time.
	minBytesPerSecond = 8 << 20
)

// peerTable holds a sender for each member that was ever written to.
type peerTable struct {
	group *Group

	mutex           sync.Mutex
	peers           map[raft.ID]*peer
	senderAddresses map[raft.ID]string
	closed          bool
}

func newPeerTable(group *Group) *peerTable {
	return &peerTable{group: group, peers: map[raft.ID]*peer{}, senderAddresses: map[raft.ID]string{}}
}

// setSenderAddress notes where a sender can be answered that may not be in this VM's configuration yet.
func (t *peerTable) setSenderAddress(id raft.ID, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.senderAddresses[id] = address
}

// send queues each message at its receiver and drops those that find no room.
func (t *peerTable) send(messages []raft.Message) {
	for i := range messages {
		if receiver := t.peer(messages[i].To); receiver != nil {
			receiver.enqueue(messages[i])
		}
	}
}

// address returns where a member is reached: as configured, else as heard.
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
	made := newPeer(t.group, id, address)
	t.peers[id] = made
	t.group.run(made.loop)
	return made
}

func (t *peerTable) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
	for _, one := range t.peers {
		one.cancel()
	}
}

// peer sends messages to one member, in order, one post at a time.
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

// reportUnreachable lets the state machine fall back to probing. It is only a hint and may be dropped.
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

// collect takes what else waits, up to the size of a post.
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
	// The connection may be silent for good while a new one works.
	p.connection.reset()
	p.setUnreachable(true)
	p.reportUnreachable()
}

// enqueueResponses hands the responses that came with a post to the raft loop, or drops them when it is busy.
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
		events.ReplicaPeerLost.Log(p.group.options.Logger, "address", p.address)
		return
	}
	events.ReplicaPeerFound.Log(p.group.options.Logger, "address", p.address)
}

// connectionTable holds a line for each address that was ever called.
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
	for _, one := range t.byAddress {
		one.close()
	}
}

// transportFactory returns what carries the calls to one address.
type transportFactory func(address string) http.RoundTripper

func newTransport(string) http.RoundTripper {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
		// Calls of many callers share a leader; the default of 2 would close and open connections all the time.
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}
}

// connection is a twirp client whose connections can be given up.
type connection struct {
	address string
	factory transportFactory

	mutex   sync.Mutex
	http    *http.Client
	current rpc.Replica
}

func newConnection(address string, maker transportFactory) *connection {
	l := &connection{address: address, factory: maker}
	l.reset()
	return l
}

// reset gives the open connections up: calls from now on use new ones.
func (l *connection) reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.http != nil {
		l.http.CloseIdleConnections()
	}
	l.http = &http.Client{Transport: l.factory(l.address)}
	l.current = rpc.NewReplicaProtobufClient("http://"+l.address, l.http, twirp.WithClientHooks(trimHeaders))
}

// trimHeaders leaves out headers that nobody reads: at idle they are most of the traffic.
var trimHeaders = &twirp.ClientHooks{
	RequestPrepared: func(ctx context.Context, request *http.Request) (context.Context, error) {
		request.Header.Del("Accept")
		request.Header.Del("Twirp-Version")
		request.Header.Set("User-Agent", "")
		return ctx, nil
	},
}

func (l *connection) client() rpc.Replica {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

func (l *connection) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.http.CloseIdleConnections()
}
