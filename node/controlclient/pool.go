package controlclient

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	clients []rpc.Control
	names   []string
	http    *http.Client
	// preferred indexes clients; only its value modulo len(clients) matters.
	preferred atomic.Uint64
	// bodiesOnly is true when the HTTP client is not ours, so that its connections can't be counted.
	bodiesOnly bool
}

func newPool(options Options) *pool {
	made := &pool{metrics: options.Metrics, names: options.Addresses, http: options.HTTP}
	made.bodiesOnly = options.HTTP != nil
	if made.http == nil {
		made.http = made.ownClient()
	}
	for _, address := range options.Addresses {
		client := rpc.NewControlProtobufClient("http://"+address, made.http)
		made.clients = append(made.clients, client)
	}
	// A random start spreads the followers over the control VMs.
	made.preferred.Store(rand.Uint64N(uint64(len(made.clients)))) //nolint:gosec // Not a secret.
	return made
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

func (p *pool) position() int {
	return int(p.preferred.Load() % uint64(len(p.clients)))
}

func (p *pool) current() rpc.Control {
	return &counted{Control: p.clients[p.position()], pool: p}
}

func (p *pool) address() string {
	return p.names[p.position()]
}

// rotate prefers the next control VM and drops idle connections, one of which may have gone silent.
func (p *pool) rotate() {
	p.rotateFrom(p.preferred.Load())
}

// rotateFrom moves on unless another caller already did.
func (p *pool) rotateFrom(seen uint64) {
	p.preferred.CompareAndSwap(seen, seen+1)
	if !p.bodiesOnly {
		p.http.CloseIdleConnections()
	}
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
