package stream

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"flamingohall.example/node/relaytest"
)

// sessionPair is both sides of a session through a relay. Each side sends numbers and records what it receives.
type sessionPair struct {
	mutex    sync.Mutex
	toServer []uint64
	toClient []uint64
	server   *Peer
	client   *Peer
	opened   int
	closed   int
	relay    *relaytest.Relay
	listener *Server
}

func startPair(t *testing.T) *sessionPair {
	t.Helper()
	e := &sessionPair{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.listener = NewServer(Handler{
		Opened: func(peer *Peer) { e.withLock(func() { e.server = peer }) },
		Received: func(_ *Peer, payload []byte) {
			e.withLock(func() { e.toServer = append(e.toServer, binary.BigEndian.Uint64(payload)) })
		},
		AcceptFailed: func(err error) { t.Errorf("a connection was not accepted: %v", err) },
	})
	go e.listener.Serve(listener)
	if e.relay, err = relaytest.Start(listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Maintain(ctx, e.relay.Addr(), Events{
			Opened:   func(peer *Peer) { e.withLock(func() { e.client = peer; e.opened++ }) },
			Attached: func(*Peer, bool) {},
			Received: func(_ *Peer, payload []byte) {
				e.withLock(func() { e.toClient = append(e.toClient, binary.BigEndian.Uint64(payload)) })
			},
			Closed: func(*Peer) { e.withLock(func() { e.closed++ }) },
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = listener.Close()
		e.listener.Close()
		e.relay.Close()
	})
	e.eventually(t, "session", func() bool { return e.server != nil && e.client != nil })
	return e
}

func (e *sessionPair) withLock(do func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	do()
}

func (e *sessionPair) eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		met := false
		e.withLock(func() { met = holds() })
		if met {
			return
		}
	}
	t.Fatalf("%s: not within 10 s", what)
}

func number(n uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, n)
}

// exchange sends numbers both ways and calls injectFault every 50 numbers. It checks that each number arrives once and in
// order.
func (e *sessionPair) exchange(t *testing.T, count uint64, injectFault func()) {
	t.Helper()
	for n := range count {
		if n%50 == 25 {
			injectFault()
		}
		e.client.Send(number(n))
		e.server.Send(number(n))
		time.Sleep(2 * time.Millisecond)
	}
	e.eventually(t, "all frames", func() bool {
		return len(e.toServer) == int(count) && len(e.toClient) == int(count)
	})
	for i := range count {
		if e.toServer[i] != i || e.toClient[i] != i {
			t.Fatalf("frame %d: %d at the server, %d at the client", i, e.toServer[i], e.toClient[i])
		}
	}
	if e.opened != 1 || e.closed != 0 {
		t.Errorf("%d sessions opened, %d closed", e.opened, e.closed)
	}
}

func TestStream_FramesArriveOnceAndInOrderOverBrokenConnections(t *testing.T) {
	e := startPair(t)
	e.exchange(t, 400, e.relay.Cut)
	if e.relay.Opened() < 2 {
		t.Error("no connection was replaced")
	}
}

func TestStream_UnresponsiveConnectionIsReplaced(t *testing.T) {
	e := startPair(t)
	e.exchange(t, 100, e.relay.Silence)
}

func TestStream_NewSessionFollowsOneThatTheServerEnded(t *testing.T) {
	e := startPair(t)
	first := e.server
	first.Send(number(1))
	e.eventually(t, "frame", func() bool { return len(e.toClient) == 1 })
	first.Close()
	e.eventually(t, "second session", func() bool { return e.opened == 2 && e.closed == 1 && e.server != first })
}

// failingListener fails to accept twice, then accepts.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

func TestServer_AcceptsAgainAfterAFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failed, opened := make(chan error, 2), make(chan *Peer, 1)
	server := NewServer(Handler{
		Opened: func(peer *Peer) { opened <- peer }, Received: func(*Peer, []byte) {},
		AcceptFailed: func(err error) { failed <- err },
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(&failingListener{Listener: listener, failures: 2})
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(make([]byte, HandshakeBytes)); err != nil {
		t.Fatal(err)
	}
	<-opened
	if len(failed) != 2 {
		t.Errorf("%d failures were reported, want 2", len(failed))
	}
	_ = listener.Close()
	server.Close()
	<-done
}

// brokenConn delivers a handshake and fails to write the reply.
type brokenConn struct {
	net.Conn
	request []byte
}

func (c *brokenConn) Read(buffer []byte) (int, error) {
	count := copy(buffer, c.request)
	c.request = c.request[count:]
	return count, nil
}
func (c *brokenConn) Write([]byte) (int, error)        { return 0, errors.New("broken pipe") }
func (c *brokenConn) SetDeadline(time.Time) error      { return nil }
func (c *brokenConn) SetWriteDeadline(time.Time) error { return nil }
func (c *brokenConn) Close() error                     { return nil }

func TestServer_ForgetsASessionWhoseFirstReplyIsLost(t *testing.T) {
	server := NewServer(Handler{
		Opened:   func(*Peer) { t.Error("a session was opened that its other side does not know") },
		Received: func(*Peer, []byte) {}, AcceptFailed: func(error) {},
	})
	server.serve(&brokenConn{request: make([]byte, HandshakeBytes)})
	if len(server.peers) > 0 {
		t.Errorf("%d sessions are kept, want none", len(server.peers))
	}
}

// TestStream_FrameOfANewConnectionWaitsForThatOfTheOldOne guards against a stop that overtakes its offer: a reader of a replaced
// connection may have a frame that it has registered and not yet delivered.
func TestStream_FrameOfANewConnectionWaitsForThatOfTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mutex sync.Mutex
		var received []uint64
		proceed := make(chan struct{})
		peer := newPeer(identity{}, func(payload []byte) {
			n := binary.BigEndian.Uint64(payload)
			if n == 1 {
				<-proceed
			}
			mutex.Lock()
			defer mutex.Unlock()
			received = append(received, n)
		})
		var readers sync.WaitGroup
		for n := range uint64(2) {
			local, remote := net.Pipe()
			wakeWriter, err := peer.attach(local, 0)
			if err != nil {
				t.Fatal(err)
			}
			readers.Go(func() { _ = peer.serve(local, bufio.NewReader(local), wakeWriter) })
			frame := binary.BigEndian.AppendUint32(nil, 8)
			frame = binary.BigEndian.AppendUint64(frame, n+1)
			frame = binary.BigEndian.AppendUint64(frame, 0)
			go func() { _, _ = remote.Write(append(frame, number(n+1)...)) }()
			synctest.Wait()
		}
		close(proceed)
		synctest.Wait()
		peer.Close()
		readers.Wait()
		if !slices.Equal(received, []uint64{1, 2}) {
			t.Errorf("frames received: %d, want 1 before 2", received)
		}
	})
}
