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
	// maxFrameBytes bounds a payload: many times a job of the largest size.
	maxFrameBytes = 8 << 20
	headerBytes   = 4 + 8 + 8
	readBuffer    = 4 << 10
	// maxUnacknowledged bounds the frames kept for the other side. Acknowledgements come several times a second.
	maxUnacknowledged = 4096
	// writeTimeout bounds one write; the peer's window is full when it takes longer.
	writeTimeout = time.Second
)

// Errors that end a connection.
var (
	errFrameTooLarge = errors.New("a frame exceeds its bound")
	errOutOfOrder    = errors.New("a frame is missing")
	errReplaced      = errors.New("the session has a newer connection")
	errClosed        = errors.New("the session is closed")
)

// identity names a session.
type identity [16]byte

// outgoing is a frame that the other side has not acknowledged.
type outgoing struct {
	number  uint64
	payload []byte
}

// Peer is one side of a session. Its methods are safe for concurrent use.
type Peer struct {
	id identity
	// receive gets each payload once, in order. It must not keep the slice.
	receive func(payload []byte)

	mutex sync.Mutex
	// sent numbers the last frame given to Send; kept holds those not acknowledged.
	sent     uint64
	kept     []outgoing
	received uint64
	heardAt  time.Time
	conn     net.Conn
	// writing tells the writer of the present connection that there is more; it has room for one signal.
	writing chan struct{}
	closed  bool
}

func newPeer(id identity, receive func([]byte)) *Peer {
	return &Peer{id: id, receive: receive}
}

// Send queues a payload, which the caller must not change any more. It never blocks.
func (p *Peer) Send(payload []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return
	}
	p.sent++
	p.kept = append(p.kept, outgoing{number: p.sent, payload: payload})
	if len(p.kept) > maxUnacknowledged {
		// The other side has been gone for long: its session will not be resumed.
		p.closeLocked()
		return
	}
	p.signal()
}

// signal runs under the lock.
func (p *Peer) signal() {
	if p.writing == nil {
		return
	}
	select {
	case p.writing <- struct{}{}:
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
	p.kept = nil
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

// drop closes a connection that is still the present one.
func (p *Peer) drop(conn net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conn == conn {
		p.conn, p.writing = nil, nil
	}
	_ = conn.Close()
}

// silence returns how long nothing was received.
func (p *Peer) silence(now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Sub(p.heardAt)
}

// attach makes conn the session's connection. The other side has received frames up to the number given.
func (p *Peer) attach(conn net.Conn, acknowledged uint64) (writing chan struct{}, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if p.conn != nil {
		_ = p.conn.Close()
	}
	p.acknowledge(acknowledged)
	p.conn, p.heardAt = conn, time.Now()
	p.writing = make(chan struct{}, 1)
	p.signal()
	return p.writing, nil
}

// acknowledge runs under the lock.
func (p *Peer) acknowledge(number uint64) {
	for len(p.kept) > 0 && p.kept[0].number <= number {
		p.kept = p.kept[1:]
	}
}

// serve reads frames until the connection ends. A writer runs beside it.
func (p *Peer) serve(conn net.Conn, reader *bufio.Reader, writing chan struct{}) error {
	ended := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { p.write(conn, writing, ended) })
	err := p.read(conn, reader)
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
		if size > maxFrameBytes {
			return errFrameTooLarge
		}
		payload := make([]byte, size)
		if _, err := io.ReadFull(reader, payload); err != nil {
			return err
		}
		isNew, err := p.accept(conn, binary.BigEndian.Uint64(header[4:12]), binary.BigEndian.Uint64(header[12:]))
		if err != nil {
			return err
		}
		if isNew {
			p.receive(payload)
		}
	}
}

// accept notes a frame that has come and reports whether it is new.
func (p *Peer) accept(conn net.Conn, number, acknowledged uint64) (isNew bool, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conn != conn {
		return false, errReplaced
	}
	p.heardAt = time.Now()
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

// write sends what is queued, from the first frame that is not acknowledged on.
func (p *Peer) write(conn net.Conn, writing <-chan struct{}, ended <-chan struct{}) {
	var last uint64
	var buffer []byte
	for {
		select {
		case <-ended:
			return
		case <-writing:
		}
		buffer, last = p.gather(conn, buffer[:0], last)
		if len(buffer) == 0 {
			continue
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(buffer); err != nil {
			_ = conn.Close()
			return
		}
		if cap(buffer) > maxFrameBytes/8 {
			buffer = nil
		}
	}
}

// gather encodes the frames behind the last one written on this connection.
func (p *Peer) gather(conn net.Conn, buffer []byte, last uint64) ([]byte, uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conn != conn {
		return buffer, last
	}
	for _, frame := range p.kept {
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
