package stream

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// MaxPayloadBytes bounds a payload. A larger one ends the session.
	MaxPayloadBytes = 8 << 20
	headerBytes     = 4 + 8 + 8
	readBufferBytes = 4 << 10
	// maxUnacknowledged bounds the unacknowledged frames. Acknowledgements arrive several times a second.
	maxUnacknowledged = 4096
	// writeTimeout bounds one write. A longer one means that the TCP window of the other side stays full.
	writeTimeout = time.Second
)

// Errors that end a connection.
var (
	errFrameTooLarge = errors.New("a frame exceeds the maximum size")
	errOutOfOrder    = errors.New("a frame number was skipped")
	errReplaced      = errors.New("the session has a newer connection")
	errClosed        = errors.New("the session is closed")
)

// identity identifies a session.
type identity [16]byte

// outgoing is a frame that has not been acknowledged.
type outgoing struct {
	number  uint64
	payload []byte
}

// Peer is the local side of a session. Its methods are safe for concurrent use.
type Peer struct {
	id identity
	// receive is called with each payload once, in order. It must not keep the slice.
	receive func(payload []byte)
	// delivering has room for the one goroutine that may accept and deliver a frame. A session may have a second connection before
	// the reader of the first one has returned, and its frames must not overtake those accepted earlier.
	delivering chan struct{}

	mutex sync.Mutex
	// sent is the number of the last frame passed to Send; unacked holds the frames not yet acknowledged.
	sent       uint64
	unacked    []outgoing
	received   uint64
	receivedAt time.Time
	// busySince is when the other side got work of this side; zero if it has none.
	busySince time.Time
	conn      net.Conn
	// wakeWriter wakes the writer of the current connection when frames are queued; it has room for one signal.
	wakeWriter chan struct{}
	closed     bool
	isKept     bool
	// becameBusy wakes the watcher of idle connections when busySince is set; it has room for one signal.
	becameBusy chan struct{}
}

func newPeer(id identity, receive func([]byte)) *Peer {
	return &Peer{id: id, receive: receive, delivering: make(chan struct{}, 1), becameBusy: make(chan struct{}, 1)}
}

// Send queues a payload, which the caller must not modify afterwards. It never blocks, and does nothing once the session
// has ended.
func (p *Peer) Send(payload []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return
	}
	p.sent++
	p.unacked = append(p.unacked, outgoing{number: p.sent, payload: payload})
	if len(p.unacked) > maxUnacknowledged || len(payload) > MaxPayloadBytes {
		// The other side has been unreachable for so long that the session will not be resumed, or it never takes this frame, nor the
		// later ones.
		p.closeLocked()
		return
	}
	p.signal()
}

// keeper is a connection that is closed for want of room until Keep is called.
type keeper interface {
	Keep()
}

// Keep says that the other side is known, so that neither this connection of the session nor later ones are closed for want of room.
func (p *Peer) Keep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isKept = true
	p.keepLocked()
}

func (p *Peer) keepLocked() {
	if conn, canKeep := p.conn.(keeper); canKeep && p.isKept {
		conn.Keep()
	}
}

// SetBusy says whether the other side has work of this side. A busy side sends frames all the time, so a connection that
// delivers nothing is replaced sooner.
func (p *Peer) SetBusy(isBusy bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !isBusy {
		p.busySince = time.Time{}
		return
	}
	p.busySince = time.Now()
	select {
	case p.becameBusy <- struct{}{}:
	default:
	}
}

// signal wakes the writer. The caller holds the mutex.
func (p *Peer) signal() {
	if p.wakeWriter == nil {
		return
	}
	select {
	case p.wakeWriter <- struct{}{}:
	default:
	}
}

// Close ends the session.
func (p *Peer) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeLocked()
}

func (p *Peer) closeLocked() {
	p.closed = true
	p.unacked = nil
	if p.conn != nil {
		_ = p.conn.Close()
	}
	p.signal()
}

// IsClosed reports whether the session has ended.
func (p *Peer) IsClosed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.closed
}

// drop closes a connection and detaches it from the session if it is the current one.
func (p *Peer) drop(conn net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conn == conn {
		p.conn, p.wakeWriter = nil, nil
	}
	_ = conn.Close()
}

// idleLeft returns how much longer the connection may deliver nothing. The time counts from the last frame received, the
// attachment of the connection, or the time when the other side became busy, whichever is the latest.
func (p *Peer) idleLeft(now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.busySince.IsZero() {
		return p.receivedAt.Add(idleLimit).Sub(now)
	}
	since := p.receivedAt
	if p.busySince.After(since) {
		since = p.busySince
	}
	return since.Add(busyIdleLimit).Sub(now)
}

// attach makes conn the session's connection. acknowledged is the number of the last frame that the other side received.
func (p *Peer) attach(conn net.Conn, acknowledged uint64) (wakeWriter chan struct{}, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if p.conn != nil {
		_ = p.conn.Close()
	}
	p.acknowledge(acknowledged)
	p.conn, p.receivedAt = conn, time.Now()
	p.keepLocked()
	p.wakeWriter = make(chan struct{}, 1)
	p.signal()
	return p.wakeWriter, nil
}

// acknowledge drops the frames up to number. The caller holds the mutex.
func (p *Peer) acknowledge(number uint64) {
	for len(p.unacked) > 0 && p.unacked[0].number <= number {
		p.unacked = p.unacked[1:]
	}
}

// serve reads frames until the connection ends, while a second goroutine writes.
func (p *Peer) serve(conn net.Conn, reader *bufio.Reader, wakeWriter chan struct{}) error {
	ended := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { p.write(conn, wakeWriter, ended) })
	err := p.read(conn, reader)
	if errors.Is(err, errFrameTooLarge) || errors.Is(err, errOutOfOrder) {
		// The other side would send the same frame again over each connection of the session.
		p.Close()
	}
	close(ended)
	p.drop(conn)
	writer.Wait()
	return err
}

func (p *Peer) read(conn net.Conn, reader *bufio.Reader) error {
	var header [headerBytes]byte
	for {
		if _, err := io.ReadFull(reader, header[:]); err != nil {
			return err
		}
		size := binary.BigEndian.Uint32(header[:4])
		if size > MaxPayloadBytes {
			return errFrameTooLarge
		}
		payload := make([]byte, size)
		if _, err := io.ReadFull(reader, payload); err != nil {
			return err
		}
		if err := p.deliver(conn, binary.BigEndian.Uint64(header[4:12]), binary.BigEndian.Uint64(header[12:]), payload); err != nil {
			return err
		}
	}
}

// deliver passes a frame to receive if it is new.
func (p *Peer) deliver(conn net.Conn, number, acknowledged uint64, payload []byte) error {
	p.delivering <- struct{}{}
	defer func() { <-p.delivering }()
	isNew, err := p.accept(conn, number, acknowledged)
	if isNew {
		p.receive(payload)
	}
	return err
}

// accept registers a received frame and reports whether it is new.
func (p *Peer) accept(conn net.Conn, number, acknowledged uint64) (isNew bool, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conn != conn {
		return false, errReplaced
	}
	p.receivedAt = time.Now()
	p.acknowledge(acknowledged)
	switch {
	case number <= p.received:
		return false, nil
	case number > p.received+1:
		return false, errOutOfOrder
	}
	p.received = number
	return true, nil
}

// write sends the queued frames, starting with the first unacknowledged one.
func (p *Peer) write(conn net.Conn, wakeWriter <-chan struct{}, ended <-chan struct{}) {
	var last uint64
	var buffer []byte
	for {
		select {
		case <-ended:
			return
		case <-wakeWriter:
		}
		buffer, last = p.gather(conn, buffer[:0], last)
		if len(buffer) == 0 {
			continue
		}
		// This fails only on a closed connection, where the write fails too.
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(buffer); err != nil {
			_ = conn.Close()
			return
		}
		if cap(buffer) > MaxPayloadBytes/8 {
			buffer = nil
		}
	}
}

// gather encodes the frames that follow the last one written on this connection.
func (p *Peer) gather(conn net.Conn, buffer []byte, last uint64) ([]byte, uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conn != conn {
		return buffer, last
	}
	for _, frame := range p.unacked {
		if frame.number <= last {
			continue
		}
		buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(frame.payload)))
		buffer = binary.BigEndian.AppendUint64(buffer, frame.number)
		buffer = binary.BigEndian.AppendUint64(buffer, p.received)
		buffer = append(buffer, frame.payload...)
		last = frame.number
	}
	return buffer, last
}
