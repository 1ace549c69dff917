package transport

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// acceptPause is the time between two attempts to accept after a failure.
const acceptPause = 50 * time.Millisecond

// persistentListener accepts again after a failure.
type persistentListener struct {
	net.Listener
	failed  func(err error)
	closed  chan struct{}
	closing sync.Once
}

// Persistent returns a listener whose Accept tries again after each failure until the listener is closed. net/http ends a server on
// all failures but a lack of file descriptors, so that a process would go on without the server when the kernel lacks memory for a
// moment. failed is called with the first of consecutive failures.
func Persistent(listener net.Listener, failed func(err error)) net.Listener {
	return &persistentListener{Listener: listener, failed: failed, closed: make(chan struct{})}
}

// Accept returns the next connection. The error is that of a closed listener.
func (l *persistentListener) Accept() (net.Conn, error) {
	for isFirst := true; ; isFirst = false {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if isFirst {
			l.failed(err)
		}
		select {
		case <-time.After(acceptPause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener.
func (l *persistentListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
