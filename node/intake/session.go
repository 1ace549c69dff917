package intake

import "net"

// sessionListener admits connections of a protocol other than HTTP.
type sessionListener struct {
	listener
}

// Sessions returns a listener of connections that the clients keep. Each has a method Keep, after whose call it is not closed for want of room.
func (p *Pool) Sessions(inner net.Listener) net.Listener {
	return &sessionListener{listener{Listener: inner, pool: p}}
}

// Accept returns the next connection for which there is room.
func (l *sessionListener) Accept() (net.Conn, error) {
	accepted, err := l.accept()
	if err != nil {
		return nil, err
	}
	return &session{conn: accepted}, nil
}

// session is a connection that is charged to a pool.
type session struct {
	*conn
}

// Read reads from the connection.
func (s *session) Read(into []byte) (int, error) {
	return s.Conn.Read(into)
}

// Keep records that the client is known.
func (s *session) Keep() {
	s.pool.complete(s.conn)
}
