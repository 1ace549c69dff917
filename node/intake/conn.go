package intake

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// refusal is the answer to a request whose header has not been read in full.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

const (
	// refusalTimeout is how long a client that is refused has for reading the answer.
	refusalTimeout = 500 * time.Millisecond
	// maxDrained bounds what such a client may still send.
	maxDrained = 64 << 10
)

var errNoRoom = errors.New("no room for the header")

// conn is a connection that is charged to a pool.
type conn struct {
	net.Conn
	pool   *Pool
	client *client
	// header is used by the goroutine that reads the connection.
	header header
	// inProgress is true from when net/http has read the header of a request until the request has been answered.
	inProgress atomic.Bool
	// servesStreams is true if the server of the connection serves HTTP/2.
	servesStreams bool
	// isShared is true once the connection is one of HTTP/2, whose requests share it. Their headers are not measured as they are read: the
	// goroutine that reads goes on while others report that requests have ended.
	isShared atomic.Bool
	// streams is the number of requests in progress on a connection of several streams.
	streams atomic.Int64
	// deadline is the read deadline that net/http has set. It is used by the goroutine of the request.
	deadline time.Time

	// The pool's mutex guards the fields below.
	used         int64
	inHeader     int64 // part of used
	isClosed     bool
	isWaiting    bool
	isIdle       bool // the last request has been answered, and none has begun since
	older, newer *conn
}

// listener admits connections to a pool.
type listener struct {
	net.Listener
	pool          *Pool
	servesStreams bool
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.accept()
	if err != nil {
		return nil, err
	}
	return accepted, nil
}

func (l *listener) accept() (*conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.pool.admit(inner); c != nil {
			c.servesStreams = l.servesStreams
			return c, nil
		}
		l.pool.report.add(refusedConnection)
		_ = inner.Close()
	}
}

// Read reads from the connection. A header for which there is no room is answered here, before net/http makes a map of it.
func (c *conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if c.isShared.Load() {
		return count, err
	}
	if c.inProgress.Load() {
		// net/http may have had the whole header in its buffer.
		c.header.hasEnded = true
	}
	wasRead := c.header.hasEnded
	c.header.add(into[:count], len(into))
	if c.servesStreams && c.header.isStream() {
		c.isShared.Store(true)
	}
	// net/http reads single bytes while it waits for a handler, also for one that is about to begin.
	if wasRead || len(into) == 1 || c.pool.takeHeader(c, c.header.excess(), c.header.lines-c.header.early) {
		return count, err
	}
	c.refuse(into)
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoRoom}
}

// begin records that the header of a request has been read.
func (c *conn) begin() {
	if !c.inProgress.Swap(true) {
		c.pool.begin(c)
	}
}

// next prepares for the next request, whose header may have been read in part.
func (c *conn) next() {
	c.inProgress.Store(false)
	if c.isShared.Load() {
		return
	}
	c.header.next()
	if !c.header.hasEnded && !c.pool.takeHeader(c, c.header.excess(), 0) {
		c.pool.report.add(refusedHeader)
		_ = c.Close()
	}
}

// refuse answers that the request may be sent again later.
func (c *conn) refuse(buffer []byte) {
	c.pool.report.add(refusedHeader)
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, refusal); err != nil || c.CloseWrite() != nil {
		return
	}
	// A client that is still sending when its connection is closed may not see the answer.
	for drained := 0; drained < maxDrained; {
		count, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		drained += count
	}
}

// SetReadDeadline sets the deadline that holds while the connection is not paced.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.deadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// Close closes the connection and returns what is charged for it.
func (c *conn) Close() error {
	c.pool.leave(c)
	if err := c.Conn.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	// The pool closed it before.
	return nil
}

// CloseWrite is used by net/http to end an answer before it closes the connection.
func (c *conn) CloseWrite() error {
	if socket, canClose := c.Conn.(*net.TCPConn); canClose {
		return socket.CloseWrite()
	}
	return nil
}

// SyscallConn returns the socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if socket, isSocket := c.Conn.(syscall.Conn); isSocket {
		return socket.SyscallConn()
	}
	return nil, errors.New("the connection is not a socket")
}
