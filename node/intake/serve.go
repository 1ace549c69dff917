package intake

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Listen opens a listener for clients outside on a host:port, each of whose connections has small buffers.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Connections inherit the sizes. Where one can't be set, the kernel's own limit remains.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
		})
	}}
	return config.Listen(ctx, "tcp", address)
}

// Serve makes a server charge its connections and requests to the pool, and returns the listener that it must serve. The handler and
// ConnContext of the server must have been set.
func (p *Pool) Serve(server *http.Server, inner net.Listener) net.Listener {
	handler, connContext := server.Handler, server.ConnContext
	server.ConnContext = func(ctx context.Context, inner net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, inner)
		}
		return context.WithValue(ctx, connKey{}, inner)
	}
	server.ConnState = func(inner net.Conn, state http.ConnState) {
		c, isCharged := inner.(*conn)
		switch {
		case !isCharged:
		case state == http.StateActive:
			c.begin()
		case state == http.StateIdle:
			p.wait(c)
			c.next()
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, isCharged := r.Context().Value(connKey{}).(*conn)
		if isCharged && r.ProtoMajor == 1 {
			// StateActive is not reported for a request that net/http had in its buffer.
			c.begin()
		}
		if isCharged && r.ProtoMajor > 1 {
			charged, hasRoom := c.openStream(r)
			defer c.closeStream(charged)
			if !hasRoom {
				refuseMessage(w)
				return
			}
		}
		switch {
		case !isCharged:
			handler.ServeHTTP(w, r)
		case r.Body == http.NoBody:
			p.complete(c)
			handler.ServeHTTP(w, r)
		default:
			charged := &body{ReadCloser: r.Body, conn: c, request: r}
			defer func() { charged.give(charged.charged) }()
			r.Body = charged
			if p.largestMessage == 0 || charged.expect(w, r) {
				handler.ServeHTTP(w, r)
			}
		}
	})
	return &listener{Listener: inner, pool: p, servesStreams: server.Protocols != nil && server.Protocols.UnencryptedHTTP2()}
}
