// Package callerconn reports what the kernel knows about a caller's connection. A process that was suspended, or short of processor
// time, finds requests that have waited in their sockets, and whose callers may have left since.
package callerconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"flamingohall.example/node/boottime"
)

// resolution is the age below which a request counts as just received: the kernel measures it in ticks.
const resolution = 20 * time.Millisecond

// processStarted bounds the age of what a socket of this process received, in case the kernel reports no valid time.
var processStarted = boottime.Now()

type key struct{}

// Context adds a connection to the context of its requests. It is used as http.Server.ConnContext.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, key{}, conn)
}

// State is the state of a connection.
type State struct {
	// SinceReceived is how long ago the machine received the last data; 0 if that was just now, or if it is unknown.
	SinceReceived time.Duration
	// HasLeft means that the caller has closed or reset the connection.
	HasLeft bool
}

// Of returns the state of the connection in a request's context, and the zero value if there is none or it is not a TCP connection.
func Of(ctx context.Context) State {
	var state State
	conn, isSocket := ctx.Value(key{}).(syscall.Conn)
	if !isSocket {
		return state
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return state
	}
	// Control returns an error only for a connection that this process has closed.
	_ = raw.Control(func(fd uintptr) {
		state = State{SinceReceived: sinceReceived(int(fd)), HasLeft: hasLeft(int(fd))}
	})
	return state
}

func sinceReceived(fd int) time.Duration {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	since := time.Duration(info.Last_data_recv) * time.Millisecond
	if since < resolution || since > boottime.Now()-processStarted {
		return 0
	}
	return since
}

// hasLeft looks for the end of the connection without taking data from it.
func hasLeft(fd int) bool {
	var next [1]byte
	count, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil {
		return err == unix.ECONNRESET || err == unix.EPIPE || err == unix.ETIMEDOUT
	}
	return count == 0
}
