package intake

import "net"

// sessionListener admits connections of a protocol other than HTTP.
type sessionListener struct {
	listener
	greeting int
}

// Sessions returns a listener of connections that the clients keep. One that has received the bytes of a greeting is not closed for want of room.
func (p *Pool) Sessions(inner net.Listener, greeting int) net.Listener {
	return &sessionListener{listener: listener{Listener: inner, pool: p}, greeting: greeting}
}

// Accept returns the next connection for which there is room.
func (l *sessionListener) Accept() (net.Conn, error) {
	accepted, err := l.accept()
	if err != nil {
		return nil, err
	}
	return &session{conn: accepted, awaited: l.greeting}, nil
}

// session is a connection that is charged to a pool.
type session struct {
	*conn
	// awaited is the number of bytes that the greeting still lacks.
	awaited int
}

// Read reads from the connection.
func (s *session) Read(into []byte) (int, error) {
	count, err := s.Conn.Read(into)
	if s.awaited > 0 {
		if s.awaited -= count; s.awaited <= 0 {
			s.pool.complete(s.conn)
		}
	}
	return count, err
}
