// Package relaytest is a TCP relay for tests. It forwards connections between two processes and simulates network faults:
// open connections that silently drop data while new ones work, delayed data, and broken connections.
package relaytest

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// chunkBytes is the size of one read.
const chunkBytes = 32 << 10

// Relay forwards connections to one address.
type Relay struct {
	listener net.Listener
	to       string
	// delay is added in each direction, in nanoseconds.
	delay atomic.Int64
	work  sync.WaitGroup

	// mutex guards the fields below.
	mutex  sync.Mutex
	pairs  map[*pair]struct{}
	opened int
	closed bool
}

// pair is one connection through the relay.
type pair struct {
	near, far net.Conn
	// Data sent in a silent direction is dropped without an error at either end.
	silentToFar, silentToNear atomic.Bool
}

// Start listens on a loopback port and forwards connections to the host:port to.
func Start(to string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	relay := &Relay{listener: listener, to: to, pairs: map[*pair]struct{}{}}
	relay.work.Go(relay.accept)
	return relay, nil
}

// Addr returns the host:port on which the relay listens.
func (r *Relay) Addr() string {
	return r.listener.Addr().String()
}

// Opened returns how many connections have been opened through the relay.
func (r *Relay) Opened() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.opened
}

// Silence drops all further data in both directions of the connections that are open now. New connections work.
func (r *Relay) Silence() {
	r.each(func(p *pair) {
		p.silentToFar.Store(true)
		p.silentToNear.Store(true)
	})
}

// SilenceAnswers drops only the data that the far end sends; requests still arrive.
func (r *Relay) SilenceAnswers() {
	r.each(func(p *pair) { p.silentToNear.Store(true) })
}

// Cut closes the connections that are open now.
func (r *Relay) Cut() {
	r.each((*pair).close)
}

// SetDelay delays each chunk of data by that much, in each direction.
func (r *Relay) SetDelay(delay time.Duration) {
	r.delay.Store(int64(delay))
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.Cut()
	r.work.Wait()
}

func (r *Relay) each(do func(*pair)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for p := range r.pairs {
		do(p)
	}
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.work.Go(func() { r.join(near) })
	}
}

// join dials the far end for an accepted connection and forwards data until the connection ends.
func (r *Relay) join(near net.Conn) {
	far, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far}
	if !r.add(p) {
		p.close()
		return
	}
	r.work.Go(func() { r.forward(p, far, near, &p.silentToNear) })
	r.forward(p, near, far, &p.silentToFar)
}

func (r *Relay) add(p *pair) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return false
	}
	r.opened++
	r.pairs[p] = struct{}{}
	return true
}

// forward copies data in one direction. When one side ends, it closes the other, unless the direction is silent.
func (r *Relay) forward(p *pair, from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		time.Sleep(time.Duration(r.delay.Load()))
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	if !silent.Load() {
		r.remove(p)
	}
}

func (r *Relay) remove(p *pair) {
	p.close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.pairs, p)
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
