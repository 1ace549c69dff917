package intake

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// conn is a connection that is charged to a pool.
type conn struct {
	net.Conn
	pool   *Pool
	client *client

	// The pool's mutex guards the fields below.
	used         int64
	isClosed     bool
	isWaiting    bool
	older, newer *conn
}

// listener admits connections to a pool.
type listener struct {
	net.Listener
	pool *Pool
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.pool.admit(inner); c != nil {
			return c, nil
		}
		l.pool.report.add(refusedConnection)
		_ = inner.Close()
	}
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
