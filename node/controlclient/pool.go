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
	// DefaultDialTimeout bounds opening a connection, unless the options say otherwise.
	DefaultDialTimeout = time.Second
	idleTimeout        = 90 * time.Second
)

// pool holds one client for each control VM and the one preferred now.
type pool struct {
	metrics *metrics.Role
	// shared is the caller's HTTP client; nil gives each server its own, whose connections are counted.
	shared      *http.Client
	dialTimeout time.Duration
	// configured are the addresses from the settings, which stay in the list.
	configured []string

	// mutex guards the fields below.
	mutex   sync.Mutex
	servers []*server
	// preferred indexes servers.
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
	made := &pool{
		metrics: options.Metrics, shared: options.HTTP, configured: options.Addresses,
		dialTimeout: options.DialTimeout,
	}
	for _, address := range options.Addresses {
		made.servers = append(made.servers, made.server(address))
	}
	// A random start spreads the followers over the control VMs.
	made.pick()
	return made
}

func (p *pool) server(address string) *server {
	made := &server{address: address, pool: p}
	made.renew()
	return made
}

// control returns the current client.
func (s *server) control() rpc.Control {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.client
}

// renew opens new connections from now on: one that is open may have gone silent. Calls under way keep theirs.
func (s *server) renew() {
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
	s.client = &counted{Control: client, pool: s.pool}
}

// ownClient returns an HTTP client whose connections count their bytes.
func (p *pool) ownClient() *http.Client {
	dialer := &net.Dialer{Timeout: p.dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: connection, metrics: p.metrics}, nil
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

// rotate prefers the VM after one that failed, unless another caller already moved on, and drops its
// connections.
func (p *pool) rotate(failed *server) {
	p.mutex.Lock()
	if p.servers[p.preferred].address == failed.address {
		p.preferred = (p.preferred + 1) % len(p.servers)
	}
	p.mutex.Unlock()
	failed.renew()
}

// pick prefers any of the control VMs, each as likely as the others.
func (p *pool) pick() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.preferred = rand.IntN(len(p.servers)) //nolint:gosec // Not a secret.
}

// adopt replaces the list by what control says, followed by the configured addresses that it lacks.
func (p *pool) adopt(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.servers[p.preferred].address
	var servers []*server
	preferred := 0
	known := map[string]*server{}
	for _, one := range p.servers {
		known[one.address] = one
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
		one := known[address]
		if one == nil {
			one = p.server(address)
		}
		servers = append(servers, one)
	}
	p.servers, p.preferred = servers, preferred
}

// configure replaces the addresses from the settings. Those that are not known yet are tried after the others.
func (p *pool) configure(addresses []string) {
	p.mutex.Lock()
	p.configured = addresses
	var known []string
	for _, one := range p.servers {
		known = append(known, one.address)
	}
	p.mutex.Unlock()
	p.adopt(known)
}

// countedConn counts the bytes of a connection, both ways.
type countedConn struct {
	net.Conn
	metrics *metrics.Role
}

// Read counts the bytes read.
func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.metrics.Add("control_bytes", int64(count))
	return count, err
}

// Write counts the bytes written.
func (c *countedConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.metrics.Add("control_bytes", int64(count))
	return count, err
}

// backoff grows from minBackoff to maxBackoff, with full jitter. It is used by one goroutine.
type backoff struct {
	mutex sync.Mutex
	limit time.Duration
	most  time.Duration
}

func newBackoff(most time.Duration) *backoff {
	return &backoff{limit: minBackoff, most: most}
}

func (b *backoff) reset() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = minBackoff
}

func (b *backoff) next() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	drawn := minBackoff/2 + time.Duration(rand.Int64N(int64(b.limit))) //nolint:gosec // Not a secret.
	b.limit = min(2*b.limit, b.most)
	return drawn
}
