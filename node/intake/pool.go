package intake

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/node/metrics"
)

// Pool holds the connections of one class of clients and what is charged for them.
type Pool struct {
	budget      int64
	connections int
	// connectionCost is charged for each connection; 0 if connections are bounded by their number only.
	connectionCost int64
	// largestMessage is 0 if the handlers read bodies with ReadBody.
	largestMessage int64
	bodyTimeout    time.Duration
	// answerTimeout and answerGrace are 0 if the users of connections limit the time of writes themselves.
	answerTimeout, answerGrace time.Duration
	report                     *report

	mutex sync.Mutex
	used  int64
	// waiting is the part of used that is charged for connections that wait for their clients.
	waiting int64
	open    int
	clients map[netip.Addr]*client
	// closed is how many connections makeRoom has closed since the mutex was locked.
	closed int
}

// client is what is held for one IP address.
type client struct {
	address netip.Addr
	used    int64
	open    int
	// oldest and newest are the ends of the list of connections that wait for the client, in the order in which they began to.
	oldest, newest *conn
}

// NewPool returns a pool without connections. The metrics get its gauges and counters.
func NewPool(limits Limits, class Class, logger logr.Logger, published *metrics.Role) *Pool {
	p := &Pool{
		budget: limits.Budget(class), connections: limits.Connections(class), clients: map[netip.Addr]*client{},
		connectionCost: connectionBytes, bodyTimeout: bodyTimeout, report: &report{logger: logger, metrics: published},
	}
	if class != Sessions {
		p.answerTimeout, p.answerGrace = answerTimeout, answerGrace
	}
	if class == Inside {
		p.largestMessage, p.connectionCost = limits.largestMessage(), 0
	}
	published.Gauge("budget_bytes", func() any { return p.budget })
	published.Gauge("connection_limit", func() any { return p.connections })
	published.Gauge("held_bytes", func() any { used, _ := p.usage(); return used })
	published.Gauge("open_connections", func() any { _, open := p.usage(); return open })
	return p
}

func (p *Pool) usage() (used int64, open int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.used, p.open
}

// unlock unlocks the mutex and then counts what makeRoom has closed: a reader of the metrics, which counting may have to wait for, may be
// waiting for the mutex in a gauge.
func (p *Pool) unlock() {
	closed := p.closed
	p.closed = 0
	p.mutex.Unlock()
	for range closed {
		p.report.add(closedConnection)
	}
}

// admit returns the pool's connection for an accepted one, or nil if there is no room for it.
func (p *Pool) admit(inner net.Conn) *conn {
	address := addressOf(inner)
	p.mutex.Lock()
	defer p.unlock()
	if !p.makeRoom(p.connectionCost, 1, nil) {
		return nil
	}
	owner := p.clients[address]
	if owner == nil {
		owner = &client{address: address}
		p.clients[address] = owner
	}
	c := &conn{Conn: inner, pool: p, client: owner}
	owner.open++
	p.open++
	p.charge(c, p.connectionCost)
	p.push(c)
	return c
}

// addressOf returns the client's IP address, the zero value if it is unknown.
func addressOf(conn net.Conn) netip.Addr {
	if address, isTCP := conn.RemoteAddr().(*net.TCPAddr); isTCP {
		return address.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// take charges bytes for a connection. It returns false if there is no room for them or the connection is closed.
func (p *Pool) take(c *conn, bytes int64) bool {
	p.mutex.Lock()
	defer p.unlock()
	if c.isClosed || !p.makeRoom(bytes, 0, c) {
		return false
	}
	p.charge(c, bytes)
	return true
}

// takeHeader charges the bytes that a header takes so far beyond a short one. It returns false if there is no room for them.
func (p *Pool) takeHeader(c *conn, excess int64, lines int) bool {
	if excess == 0 {
		return true
	}
	p.mutex.Lock()
	defer p.unlock()
	if c.inHeader == 0 {
		p.renewIdle(c)
	}
	more := min(excess, p.budget/2) - c.inHeader
	if c.isClosed || lines > manyLines && p.used > p.budget/2 || !p.makeRoom(more, 0, c) {
		return false
	}
	p.charge(c, more)
	c.inHeader += more
	return true
}

// give returns bytes that take has charged.
func (p *Pool) give(c *conn, bytes int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !c.isClosed {
		p.charge(c, -bytes)
	}
}

func (p *Pool) charge(c *conn, bytes int64) {
	c.used += bytes
	c.client.used += bytes
	p.used += bytes
	if c.isWaiting {
		p.waiting += bytes
	}
}

// makeRoom closes waiting connections until there is room. It returns false if closing all of them would not do, or if it is the turn of
// asking. A quarter of a budget that connections are charged to is left for them, so that requests that find no room get an answer.
func (p *Pool) makeRoom(bytes int64, connections int, asking *conn) bool {
	budget := p.budget
	if connections == 0 && p.connectionCost > 0 {
		budget -= budget / 4
	}
	if p.used+bytes-p.waiting > budget {
		return false
	}
	for p.used+bytes > budget || p.open+connections > p.connections {
		victim := p.victim(p.open+connections <= p.connections)
		if victim == nil || victim == asking {
			return false
		}
		p.remove(victim)
		_ = victim.Conn.Close()
		p.closed++
	}
	return true
}

// victim returns the connection that has waited longest for the client for which most is held. If bytes are needed, it is one that is charged.
func (p *Pool) victim(needsBytes bool) (found *conn) {
	for _, candidate := range p.clients {
		if found != nil && p.held(candidate) <= p.held(found.client) {
			continue
		}
		oldest := candidate.oldest
		for needsBytes && oldest != nil && oldest.used == 0 {
			oldest = oldest.newer
		}
		if oldest != nil {
			found = oldest
		}
	}
	return found
}

// held returns the bytes that are held for a client, with those of connections that are not charged.
func (p *Pool) held(c *client) int64 {
	return c.used + int64(c.open)*(connectionBytes-p.connectionCost)
}

// leave returns all that is charged for a connection that is being closed.
func (p *Pool) leave(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.remove(c)
}

func (p *Pool) remove(c *conn) {
	if c.isClosed {
		return
	}
	c.isClosed = true
	p.charge(c, -c.used)
	p.open--
	p.pull(c)
	c.client.open--
	if c.client.open == 0 {
		delete(p.clients, c.client.address)
	}
}

// begin records that a request of the connection has begun. The connection waits since then, not since its last answer.
func (p *Pool) begin(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.renewIdle(c)
	c.isIdle = false
}

// renewIdle makes a connection that has waited for its next request the last of its client. A new connection keeps its place: if its
// first request renewed it, one that was accepted last could be closed before those of a crowd that was accepted earlier.
func (p *Pool) renewIdle(c *conn) {
	if c.isWaiting && c.isIdle {
		p.pull(c)
		p.push(c)
	}
}

// complete records that a request of the connection has arrived in full. From then on the connection does not wait for its client. A stream
// of HTTP/2 may have been reset before its handler begins: then the connection is idle.
func (p *Pool) complete(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !c.isIdle {
		p.pull(c)
	}
}

// wait records that the connection's last request has been answered.
func (p *Pool) wait(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.isClosed {
		return
	}
	p.charge(c, -c.inHeader)
	c.inHeader = 0
	c.isIdle = true
	p.pull(c)
	p.push(c)
}

// push appends a connection to the list of its client.
func (p *Pool) push(c *conn) {
	l := c.client
	p.waiting += c.used
	c.isWaiting, c.older, c.newer = true, l.newest, nil
	if l.newest != nil {
		l.newest.newer = c
	} else {
		l.oldest = c
	}
	l.newest = c
}

// pull removes a connection from the list of its client if it is there.
func (p *Pool) pull(c *conn) {
	if !c.isWaiting {
		return
	}
	l := c.client
	p.waiting -= c.used
	c.isWaiting = false
	if c.older != nil {
		c.older.newer = c.newer
	} else {
		l.oldest = c.newer
	}
	if c.newer != nil {
		c.newer.older = c.older
	} else {
		l.newest = c.older
	}
	c.older, c.newer = nil, nil
}
