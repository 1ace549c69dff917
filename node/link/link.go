// Package link calls sidecars and other entries through twirp over pooled HTTP/1.1 connections.
//
// Each peer has its own pool, and each connection carries one request at a time, so that an unresponsive connection
// delays one request only. A call that gets no answer in time does not show whether the peer or the connection failed:
// calls through Fresh open a new connection, and Retire closes the idle connections, which may be unresponsive too.
package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// Limits of connections.
const (
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdlePerPeer bounds the idle connections to each peer.
	maxIdlePerPeer = 32
)

// Links holds the clients and connection pools of all peers.
type Links struct {
	mutex sync.Mutex
	peers map[string]*peer
}

// peer has the clients of the process at one address.
type peer struct {
	transport *http.Transport
	sidecar   rpc.Sidecar
	entry     rpc.Peer
	fresh     rpc.Sidecar
}

// New returns links without connections.
func New() *Links {
	return &Links{peers: map[string]*peer{}}
}

// Sidecar returns the client of the sidecar at a host:port over pooled connections.
func (l *Links) Sidecar(address string) rpc.Sidecar {
	return l.peer(address).sidecar
}

// Fresh returns a client of the same sidecar that opens a new connection for each call.
func (l *Links) Fresh(address string) rpc.Sidecar {
	return l.peer(address).fresh
}

// Peer returns the client of the entry at a host:port.
func (l *Links) Peer(address string) rpc.Peer {
	return l.peer(address).entry
}

// Retire closes the idle connections to an address. Requests in progress continue.
func (l *Links) Retire(address string) {
	l.mutex.Lock()
	known := l.peers[address]
	l.mutex.Unlock()
	if known != nil {
		known.transport.CloseIdleConnections()
	}
}

// RetainOnly removes the peers whose addresses are not in the set and closes their idle connections.
func (l *Links) RetainOnly(addresses map[string]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address, known := range l.peers {
		if !addresses[address] {
			known.transport.CloseIdleConnections()
			delete(l.peers, address)
		}
	}
}

func (l *Links) peer(address string) *peer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.peers[address]
	if known == nil {
		known = newPeer(address)
		l.peers[address] = known
	}
	return known
}

func newPeer(address string) *peer {
	base := "http://" + address
	pooled := newTransport(false)
	client := &http.Client{Transport: pooled}
	single := &http.Client{Transport: newTransport(true)}
	return &peer{
		transport: pooled,
		sidecar:   rpc.NewSidecarProtobufClient(base, client),
		entry:     rpc.NewPeerProtobufClient(base, client),
		fresh:     rpc.NewSidecarProtobufClient(base, single),
	}
}

func newTransport(single bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdlePerPeer,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   single,
		DisableCompression:  true,
	}
}

// Call makes one call with a timeout. IsNotSent reports true for the error of a call that did not reach the peer. A call
// without an answer fails with fault.Unknown. An error sent by the peer keeps its kind.
func Call[Request, Response any](
	ctx context.Context, timeout time.Duration, call func(context.Context, Request) (Response, error), request Request,
) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := call(ctx, request)
	var opErr *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) {
		return response, errors.Join(errNotSent, errRefused, faultrpc.From(err))
	}
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return response, errors.Join(errNotSent, faultrpc.From(err))
	}
	if err != nil {
		return response, faultrpc.From(err)
	}
	return response, nil
}

// errNotSent marks the error of a call for which no connection could be opened.
var errNotSent = errors.New("not sent")

// errRefused marks the error of a call whose connection was refused by the peer's machine.
var errRefused = errors.New("connection refused")

// IsRefused reports whether the peer's machine refused the connection because no process listens at the address.
func IsRefused(err error) bool {
	return errors.Is(err, errRefused)
}

// IsNotSent reports whether it is certain that the call did not reach the peer.
func IsNotSent(err error) bool {
	return errors.Is(err, errNotSent)
}
