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
	// idleConnections bounds the open connections to one VM that wait for the next call.
	idleConnections = 64
	// peerQueue bounds the messages that wait for one peer.
	peerQueue = 256
	// postBytes bounds the entries of one post.
	postBytes = 1 << 20
	// postBytesPerSecond is the slowest link for which a large post gets time.
	postBytesPerSecond = 8 << 20
)

// peerTable holds a sender for each member that was ever written to.
type peerTable struct {
	group *Group

	mutex  sync.Mutex
	peers  map[raft.ID]*peer
	heard  map[raft.ID]string
	closed bool
}

func newPeerTable(group *Group) *peerTable {
	return &peerTable{group: group, peers: map[raft.ID]*peer{}, heard: map[raft.ID]string{}}
}

// hear notes where a sender can be answered that may not be in this VM's configuration yet.
func (t *peerTable) hear(id raft.ID, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.heard[id] = address
}

// send queues each message at its receiver and drops those that find no room.
func (t *peerTable) send(messages []raft.Message) {
	for i := range messages {
		if receiver := t.peer(messages[i].To); receiver != nil {
			receiver.put(messages[i])
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
	return t.heard[id]
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
	group   *Group
	id      raft.ID
	address string
	queue   chan raft.Message
	context context.Context
	cancel  context.CancelFunc
	line    *line
	isLost  bool
}

func newPeer(group *Group, id raft.ID, address string) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	return &peer{
		group: group, id: id, address: address, queue: make(chan raft.Message, peerQueue),
		context: ctx, cancel: cancel, line: newLine(address, group.options.transport),
	}
}

func (p *peer) put(message raft.Message) {
	select {
	case p.queue <- message:
	default:
		p.group.options.Metrics.Add("replica_messages_dropped", 1)
		p.tellUnreachable()
	}
}

// tellUnreachable lets the state machine fall back to probing. It is only a hint and may be dropped.
func (p *peer) tellUnreachable() {
	select {
	case p.group.inputs <- input{unreachable: p.id}:
	default:
	}
}

func (p *peer) loop() {
	defer p.line.close()
	for {
		select {
		case <-p.context.Done():
			return
		case first := <-p.queue:
			p.post(p.gather(first))
		}
	}
}

// gather takes what else waits, up to the size of a post.
func (p *peer) gather(first raft.Message) *rpc.StepRequest {
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
		if size >= postBytes {
			return request
		}
		select {
		case next = <-p.queue:
		default:
			return request
		}
	}
}

func (p *peer) post(request *rpc.StepRequest) {
	size := proto.Size(request)
	timeout := stepTimeout + time.Duration(size)*time.Second/postBytesPerSecond
	ctx, cancel := context.WithTimeout(p.context, timeout)
	defer cancel()
	response, err := p.line.client().Step(ctx, request)
	metrics := p.group.options.Metrics
	metrics.Add("control_messages", 1)
	metrics.Add("control_bytes", int64(size))
	if err == nil {
		p.note(false)
		p.takeAnswers(toMessages(response.GetMessages()))
		return
	}
	// The connection may be silent for good while a new one works.
	p.line.renew()
	p.note(true)
	p.tellUnreachable()
}

// takeAnswers hands the answers that came with a post to the raft loop, or drops them when it is busy.
func (p *peer) takeAnswers(answers []raft.Message) {
	if len(answers) == 0 {
		return
	}
	select {
	case p.group.inputs <- input{answers: answers}:
	default:
		p.group.options.Metrics.Add("replica_messages_dropped", int64(len(answers)))
	}
}

// note logs when a member becomes unreachable or reachable.
func (p *peer) note(isLost bool) {
	if p.isLost == isLost || p.context.Err() != nil {
		return
	}
	p.isLost = isLost
	if isLost {
		events.ReplicaPeerUnreachable.Log(p.group.options.Logger, "address", p.address)
		return
	}
	events.ReplicaPeerReachable.Log(p.group.options.Logger, "address", p.address)
}

// lineTable holds a line for each address that was ever called.
type lineTable struct {
	transport transportMaker

	mutex sync.Mutex
	lines map[string]*line
}

func (t *lineTable) line(address string) *line {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.lines[address] == nil {
		t.lines[address] = newLine(address, t.transport)
	}
	return t.lines[address]
}

func (t *lineTable) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range t.lines {
		one.close()
	}
}

// transportMaker returns what carries the calls to one address.
type transportMaker func(address string) http.RoundTripper

func newTransport(string) http.RoundTripper {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
		// Calls of many callers share a leader; the default of 2 would close and open connections all the time.
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
}

// line is a twirp client whose connections can be given up.
type line struct {
	address string
	make    transportMaker

	mutex   sync.Mutex
	http    *http.Client
	current rpc.Replica
}

func newLine(address string, maker transportMaker) *line {
	l := &line{address: address, make: maker}
	l.renew()
	return l
}

// renew gives the open connections up: calls from now on use new ones.
func (l *line) renew() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.http != nil {
		l.http.CloseIdleConnections()
	}
	l.http = &http.Client{Transport: l.make(l.address)}
	l.current = rpc.NewReplicaProtobufClient("http://"+l.address, l.http, twirp.WithClientHooks(shortHeaders))
}

// shortHeaders leaves out headers that nobody reads: at idle they are most of the traffic.
var shortHeaders = &twirp.ClientHooks{
	RequestPrepared: func(ctx context.Context, request *http.Request) (context.Context, error) {
		request.Header.Del("Accept")
		request.Header.Del("Twirp-Version")
		request.Header.Set("User-Agent", "")
		return ctx, nil
	},
}

func (l *line) client() rpc.Replica {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

func (l *line) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.http.CloseIdleConnections()
}
