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
)

// Limits of the pool's own connections.
const (
	dialTimeout      = time.Second
	idleTimeout      = 90 * time.Second
	maxIdlePerServer = 4
)

// pool holds one client for each control VM and the one preferred now.
type pool struct {
	metrics *metrics.Role
	http    *http.Client
	// bodiesOnly is true when the HTTP client is not ours, so that its connections can't be counted.
	bodiesOnly bool
	// configured are the addresses from the settings, which stay in the list.
	configured []string

	// mutex guards the fields below.
	mutex   sync.Mutex
	servers []server
	// preferred indexes servers.
	preferred int
}

// server is one control VM.
type server struct {
	address string
	client  rpc.Control
}

func newPool(options Options) *pool {
	made := &pool{metrics: options.Metrics, http: options.HTTP, configured: options.Addresses}
	made.bodiesOnly = options.HTTP != nil
	if made.http == nil {
		made.http = made.ownClient()
	}
	for _, address := range options.Addresses {
		made.servers = append(made.servers, made.server(address))
	}
	// A random start spreads the followers over the control VMs.
	made.preferred = rand.IntN(len(made.servers)) //nolint:gosec // Not a secret.
	return made
}

func (p *pool) server(address string) server {
	client := rpc.NewControlProtobufClient("http://"+address, p.http)
	return server{address: address, client: &counted{Control: client, pool: p}}
}

// ownClient returns an HTTP client whose connections count their bytes.
func (p *pool) ownClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: connection, metrics: p.metrics}, nil
	}
	transport := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdlePerServer, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}
	return &http.Client{Transport: transport}
}

// current returns the preferred control VM.
func (p *pool) current() server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.servers[p.preferred]
}

// rotate prefers the VM after one that failed, unless another caller already moved on, and drops idle connections, one
// of which may have gone silent.
func (p *pool) rotate(failed server) {
	p.mutex.Lock()
	if p.servers[p.preferred].address == failed.address {
		p.preferred = (p.preferred + 1) % len(p.servers)
	}
	p.mutex.Unlock()
	if !p.bodiesOnly {
		p.http.CloseIdleConnections()
	}
}

// adopt replaces the list by what control says, followed by the configured addresses that it lacks.
func (p *pool) adopt(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.servers[p.preferred].address
	var servers []server
	preferred := 0
	known := map[string]bool{}
	for _, address := range slices.Concat(addresses, p.configured) {
		if known[address] {
			continue
		}
		known[address] = true
		if address == before {
			preferred = len(servers)
		}
		servers = append(servers, p.server(address))
	}
	p.servers, p.preferred = servers, preferred
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
}

func newBackoff() *backoff {
	return &backoff{limit: minBackoff}
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
	b.limit = min(2*b.limit, maxBackoff)
	return drawn
}
