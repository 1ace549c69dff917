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
	greetingBytes = 16 + 8
	replyBytes    = 1 + 8
	// dialTimeout bounds opening a connection, and the greeting on it.
	dialTimeout = 300 * time.Millisecond
	// redialPause is the wait between two tries to connect.
	redialPause = 100 * time.Millisecond
	// silenceLimit is how long nothing may come before a connection is replaced. The other side sends several frames in
	// that time even if it has nothing to say.
	silenceLimit = 450 * time.Millisecond
	silenceCheck = 50 * time.Millisecond
)

// States in the answer to a greeting.
const (
	stateUnknown = iota
	stateResumed
	stateNew
)

// errUnknownSession means that the other side has ended the session, or is another process.
var errUnknownSession = errors.New("the other side does not know the session")

// Events are told to the dialling side, from one goroutine a session.
type Events struct {
	// Opened tells that a session has begun.
	Opened func(peer *Peer)
	// Attached tells whether the session has a connection at present.
	Attached func(peer *Peer, isAttached bool)
	// Received gets each payload of a session.
	Received func(peer *Peer, payload []byte)
	// Closed tells that a session has ended. Another one follows.
	Closed func(peer *Peer)
}

// Maintain holds sessions with an address, one after the other, until ctx ends.
func Maintain(ctx context.Context, address string, events Events) {
	for ctx.Err() == nil {
		var peer *Peer
		var id identity
		_, _ = rand.Read(id[:])
		peer = newPeer(id, func(payload []byte) { events.Received(peer, payload) })
		keepSession(ctx, address, peer, events)
		pause(ctx, redialPause)
	}
}

// keepSession connects until the session has ended.
func keepSession(ctx context.Context, address string, peer *Peer, events Events) {
	hasOpened := false
	for ctx.Err() == nil && !peer.IsClosed() {
		conn, reader, acknowledged, err := greet(ctx, address, peer, hasOpened)
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
	writing, err := peer.attach(conn, acknowledged)
	if err != nil {
		_ = conn.Close()
		return
	}
	events.Attached(peer, true)
	watched, stop := context.WithCancel(ctx)
	go watchSilence(watched, peer, conn)
	_ = peer.serve(conn, reader, writing)
	stop()
	events.Attached(peer, false)
}

// watchSilence closes a connection on which nothing comes, or when ctx ends.
func watchSilence(ctx context.Context, peer *Peer, conn net.Conn) {
	ticker := time.NewTicker(silenceCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = conn.Close()
			return
		case now := <-ticker.C:
			if peer.silence(now) > silenceLimit {
				_ = conn.Close()
				return
			}
		}
	}
}

// greet opens a connection for the session.
func greet(ctx context.Context, address string, peer *Peer, isResumed bool) (net.Conn, *bufio.Reader, uint64, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, 0, err
	}
	reader := bufio.NewReaderSize(conn, readBuffer)
	acknowledged, err := exchangeGreeting(conn, reader, peer, isResumed)
	if err != nil {
		_ = conn.Close()
		return nil, nil, 0, err
	}
	return conn, reader, acknowledged, nil
}

func exchangeGreeting(conn net.Conn, reader *bufio.Reader, peer *Peer, isResumed bool) (uint64, error) {
	if err := conn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return 0, err
	}
	peer.mutex.Lock()
	greeting := binary.BigEndian.AppendUint64(peer.id[:], peer.received)
	peer.mutex.Unlock()
	if _, err := conn.Write(greeting); err != nil {
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
