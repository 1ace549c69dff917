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
	// handshakeTimeout bounds the wait for the handshake on a new connection.
	handshakeTimeout = time.Second
	// acceptPause is the time between two attempts to accept after a failure, such as a lack of file descriptors.
	acceptPause = 50 * time.Millisecond
)

// Handler has the callbacks for sessions that the other side opens. All are required.
type Handler struct {
	Opened   func(peer *Peer)
	Received func(peer *Peer, payload []byte)
	// AcceptFailed is called when a connection could not be accepted. The server tries again.
	AcceptFailed func(err error)
}

// Server accepts sessions. The handler ends a session with Peer.Close.
type Server struct {
	handler Handler

	mutex sync.Mutex
	peers map[identity]*Peer
	conns sync.WaitGroup
}

// NewServer returns a server without sessions.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, peers: map[identity]*Peer{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.handler.AcceptFailed(err)
			time.Sleep(acceptPause)
			continue
		}
		s.conns.Go(func() { s.serve(conn) })
	}
}

// Close ends all sessions and waits until their connections are closed.
func (s *Server) Close() {
	s.mutex.Lock()
	for _, peer := range s.peers {
		peer.Close()
	}
	s.mutex.Unlock()
	s.conns.Wait()
}

func (s *Server) serve(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	// This fails only on a closed connection, where the read fails too.
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	var request [HandshakeBytes]byte
	if _, err := io.ReadFull(reader, request[:]); err != nil {
		_ = conn.Close()
		return
	}
	acknowledged := binary.BigEndian.Uint64(request[16:])
	peer, isNew := s.find(identity(request[:16]), acknowledged)
	if peer == nil {
		// If the reply is lost, the other side connects again and gets it then.
		_, _ = conn.Write(make([]byte, replyBytes))
		_ = conn.Close()
		return
	}
	peer.mutex.Lock()
	state := byte(stateResumed)
	if isNew {
		state = stateNew
	}
	reply := binary.BigEndian.AppendUint64([]byte{state}, peer.received)
	peer.mutex.Unlock()
	_, err := conn.Write(reply)
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	wakeWriter, attachErr := peer.attach(conn, acknowledged)
	if err != nil || attachErr != nil {
		if isNew {
			// The other side never learns of this session: it opens another one.
			s.forget(peer)
			<-peer.delivering
		}
		_ = conn.Close()
		return
	}
	if isNew {
		s.handler.Opened(peer)
		<-peer.delivering
	}
	// Whatever ended the connection, the other side connects again unless it has ended the session.
	_ = peer.serve(conn, reader, wakeWriter)
}

// forget ends a session and drops it.
func (s *Server) forget(peer *Peer) {
	peer.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.peers, peer.id)
}

// find returns the session of that identity, or a new one if the other side has received no frame of it yet. It returns
// nil for a session that has ended or is unknown. A new session delivers no frames before its caller has released delivering.
func (s *Server) find(id identity, acknowledged uint64) (peer *Peer, isNew bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for known, p := range s.peers {
		if known != id && p.IsClosed() {
			delete(s.peers, known)
		}
	}
	if known := s.peers[id]; known != nil {
		if known.IsClosed() {
			return nil, false
		}
		return known, false
	}
	if acknowledged > 0 {
		return nil, false
	}
	created := newPeer(id, nil)
	created.delivering <- struct{}{}
	created.receive = func(payload []byte) { s.handler.Received(created, payload) }
	s.peers[id] = created
	return created, true
}
