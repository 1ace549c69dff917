package stream

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
)

const (
	// HandshakeBytes is what the side that opens a session sends first on each connection.
	HandshakeBytes = 16 + 8
	replyBytes     = 1 + 8
	// dialTimeout bounds opening a connection, and separately the handshake on it.
	dialTimeout = 300 * time.Millisecond
	// redialPause is the time between two attempts to connect.
	redialPause = 100 * time.Millisecond
	// busyIdleLimit is how long a connection may deliver nothing while the other side has work of this side, before it is
	// replaced. The other side sends at least two frames in that time.
	busyIdleLimit = 450 * time.Millisecond
	// idleLimit is the same without work. The other side sends at least two frames in that time.
	idleLimit = 900 * time.Millisecond
)

// Session states in the answer to a handshake.
const (
	stateUnknown = iota
	stateResumed
	stateNew
)

// errUnknownSession means that the other side has ended the session or was restarted.
var errUnknownSession = errors.New("the other side does not know the session")

// Events are the callbacks of the dialling side. Those of one session are called from one goroutine.
type Events struct {
	// Opened is called when a session has started.
	Opened func(peer *Peer)
	// Attached is called when the session gets or loses its connection.
	Attached func(peer *Peer, isAttached bool)
	// Received is called with each payload of a session, in order.
	Received func(peer *Peer, payload []byte)
	// Closed is called when a session has ended. A new one is opened after it.
	Closed func(peer *Peer)
}

// Maintain keeps a session open with an address until ctx ends. When a session ends, it opens a new one.
func Maintain(ctx context.Context, address string, events Events) {
	for ctx.Err() == nil {
		var peer *Peer
		var id identity
		// rand.Read never returns an error: it crashes the process if the system has no randomness.
		_, _ = rand.Read(id[:])
		peer = newPeer(id, func(payload []byte) { events.Received(peer, payload) })
		maintainSession(ctx, address, peer, events)
		pause(ctx, redialPause)
	}
}

// maintainSession connects, and reconnects when a connection breaks, until the session has ended.
func maintainSession(ctx context.Context, address string, peer *Peer, events Events) {
	hasOpened := false
	for ctx.Err() == nil && !peer.IsClosed() {
		conn, reader, acknowledged, err := connect(ctx, address, peer, hasOpened)
		if errors.Is(err, errUnknownSession) {
			break
		}
		if err != nil {
			pause(ctx, redialPause)
			continue
		}
		if !hasOpened {
			hasOpened = true
			events.Opened(peer)
		}
		runConnection(ctx, peer, conn, reader, acknowledged, events)
	}
	peer.Close()
	if hasOpened {
		events.Closed(peer)
	}
}

func runConnection(
	ctx context.Context, peer *Peer, conn net.Conn, reader *bufio.Reader, acknowledged uint64, events Events,
) {
	wakeWriter, err := peer.attach(conn, acknowledged)
	if err != nil {
		_ = conn.Close()
		return
	}
	events.Attached(peer, true)
	watched, stop := context.WithCancel(ctx)
	go watchIdle(watched, peer, conn)
	// Whatever ended the connection, maintainSession connects again unless the session has ended.
	_ = peer.serve(conn, reader, wakeWriter)
	stop()
	events.Attached(peer, false)
}

// watchIdle closes the connection when it has delivered nothing for too long, or when ctx ends. It wakes up only when the
// limit may have been reached, since a process may watch hundreds of connections.
func watchIdle(ctx context.Context, peer *Peer, conn net.Conn) {
	timer := time.NewTimer(busyIdleLimit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = conn.Close()
			return
		case <-timer.C:
		case <-peer.becameBusy:
		}
		left := peer.idleLeft(time.Now())
		if left <= 0 {
			_ = conn.Close()
			return
		}
		timer.Reset(left)
	}
}

// connect opens a connection for the session and performs the handshake.
func connect(ctx context.Context, address string, peer *Peer, isResumed bool) (net.Conn, *bufio.Reader, uint64, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, 0, err
	}
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	acknowledged, err := handshake(conn, reader, peer, isResumed)
	if err != nil {
		_ = conn.Close()
		return nil, nil, 0, err
	}
	return conn, reader, acknowledged, nil
}

func handshake(conn net.Conn, reader *bufio.Reader, peer *Peer, isResumed bool) (uint64, error) {
	if err := conn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return 0, err
	}
	peer.mutex.Lock()
	request := binary.BigEndian.AppendUint64(peer.id[:], peer.received)
	peer.mutex.Unlock()
	if _, err := conn.Write(request); err != nil {
		return 0, err
	}
	var reply [replyBytes]byte
	if _, err := io.ReadFull(reader, reply[:]); err != nil {
		return 0, err
	}
	if reply[0] == stateUnknown || isResumed != (reply[0] == stateResumed) {
		return 0, errUnknownSession
	}
	return binary.BigEndian.Uint64(reply[1:]), conn.SetDeadline(time.Time{})
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
