package controlclient

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/transport"
)

// Limits of the pool's own connections.
const (
	// DefaultDialTimeout is the default of Options.DialTimeout.
	DefaultDialTimeout = time.Second
	idleTimeout        = 90 * time.Second
)

// pool holds a client for each control VM and tracks the preferred VM.
type pool struct {
	metrics *metrics.Role
	// shared is Options.HTTP; if nil, each server has its own client, whose connections are counted.
	shared      *http.Client
	dialTimeout time.Duration
	// configured holds the configured addresses, which always stay in the list.
	configured []string

	// mutex guards configured and the fields below.
	mutex   sync.Mutex
	servers []*server
	// preferred is an index into servers.
	preferred int
}

// server is one control VM.
type server struct {
	address string
	pool    *pool

	mutex  sync.Mutex
	http   *http.Client
	client rpc.Control
}

func newPool(options Options) *pool {
	p := &pool{
		metrics: options.Metrics, shared: options.HTTP, configured: options.Addresses,
		dialTimeout: options.DialTimeout,
	}
	for _, address := range options.Addresses {
		p.servers = append(p.servers, p.server(address))
	}
	// A random choice spreads the followers over the control VMs.
	p.pickRandom()
	return p
}

func (p *pool) server(address string) *server {
	s := &server{address: address, pool: p}
	s.reset()
	return s
}

// control returns the current client.
func (s *server) control() rpc.Control {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.client
}

// reset replaces the client, so that later calls open new connections: an open one may be half-open. Calls in progress
// keep theirs.
func (s *server) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.http != nil && s.pool.shared == nil {
		s.http.CloseIdleConnections()
	}
	s.http = s.pool.shared
	if s.http == nil {
		s.http = s.pool.ownClient()
	}
	client := rpc.NewControlProtobufClient("http://"+s.address, s.http)
	s.client = &countingControl{Control: client, pool: s.pool}
}

// ownClient returns an HTTP client whose connections count their bytes.
func (p *pool) ownClient() *http.Client {
	dialer := &net.Dialer{Timeout: p.dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: connection, metrics: p.metrics}, nil
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, IdleConnTimeout: idleTimeout, DisableCompression: true,
		Protocols: transport.CompactProtocols(),
	}}
}

// current returns the preferred control VM.
func (p *pool) current() *server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.servers[p.preferred]
}

// rotate drops the connections to a VM that failed, and prefers the next one unless another caller has already
// switched.
func (p *pool) rotate(failed *server) {
	p.mutex.Lock()
	if p.servers[p.preferred].address == failed.address {
		p.preferred = (p.preferred + 1) % len(p.servers)
	}
	p.mutex.Unlock()
	failed.reset()
}

// pickRandom prefers a control VM chosen uniformly at random.
func (p *pool) pickRandom() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.preferred = rand.IntN(len(p.servers)) //nolint:gosec // Not a secret.
}

// setServers replaces the list of servers by the given addresses, followed by the configured ones that they lack. The
// preferred VM stays preferred if it is in the new list.
func (p *pool) setServers(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.servers[p.preferred].address
	var servers []*server
	preferred := 0
	known := map[string]*server{}
	for _, s := range p.servers {
		known[s.address] = s
	}
	listed := map[string]bool{}
	for _, address := range slices.Concat(addresses, p.configured) {
		if listed[address] {
			continue
		}
		listed[address] = true
		if address == before {
			preferred = len(servers)
		}
		s := known[address]
		if s == nil {
			s = p.server(address)
		}
		servers = append(servers, s)
	}
	p.servers, p.preferred = servers, preferred
}

// configure replaces the configured addresses. New ones are appended to the list.
func (p *pool) configure(addresses []string) {
	p.mutex.Lock()
	p.configured = addresses
	var known []string
	for _, s := range p.servers {
		known = append(known, s.address)
	}
	p.mutex.Unlock()
	p.setServers(known)
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	metrics *metrics.Role
}

// Read counts the bytes read.
func (c *countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.metrics.Add("control_bytes", int64(count))
	return count, err
}

// Write counts the bytes written.
func (c *countingConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.metrics.Add("control_bytes", int64(count))
	return count, err
}

// backoff computes delays of half of minBackoff plus full jitter, whose limit doubles from minBackoff to maxLimit. It is
// safe for concurrent use.
type backoff struct {
	mutex    sync.Mutex
	limit    time.Duration
	maxLimit time.Duration
}

func newBackoff(maxLimit time.Duration) *backoff {
	return &backoff{limit: minBackoff, maxLimit: maxLimit}
}

func (b *backoff) reset() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = minBackoff
}

func (b *backoff) next() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delay := minBackoff/2 + time.Duration(rand.Int64N(int64(b.limit))) //nolint:gosec // Not a secret.
	b.limit = min(2*b.limit, b.maxLimit)
	return delay
}
