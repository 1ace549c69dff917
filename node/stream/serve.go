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

// greetingTimeout bounds the wait for a greeting on a new connection.
const greetingTimeout = time.Second

// Handler is told of the sessions that others open.
type Handler struct {
	Opened   func(peer *Peer)
	Received func(peer *Peer, payload []byte)
}

// Server takes sessions in. The handler ends them, with Peer.Close.
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

// Serve takes connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.conns.Go(func() { s.serve(conn) })
	}
}

// Close ends all sessions and waits for their connections.
func (s *Server) Close() {
	s.mutex.Lock()
	for _, peer := range s.peers {
		peer.Close()
	}
	s.mutex.Unlock()
	s.conns.Wait()
}

func (s *Server) serve(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, readBuffer)
	_ = conn.SetDeadline(time.Now().Add(greetingTimeout))
	var greeting [greetingBytes]byte
	if _, err := io.ReadFull(reader, greeting[:]); err != nil {
		_ = conn.Close()
		return
	}
	acknowledged := binary.BigEndian.Uint64(greeting[16:])
	peer, isNew := s.find(identity(greeting[:16]), acknowledged)
	if peer == nil {
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
	writing, attachErr := peer.attach(conn, acknowledged)
	if err != nil || attachErr != nil {
		_ = conn.Close()
		return
	}
	if isNew {
		s.handler.Opened(peer)
	}
	_ = peer.serve(conn, reader, writing)
}

// find returns the session, a new one when the other side has received nothing of it yet, or nil.
func (s *Server) find(id identity, acknowledged uint64) (peer *Peer, isNew bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for known, one := range s.peers {
		if known != id && one.IsClosed() {
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
	made := newPeer(id, nil)
	made.receive = func(payload []byte) { s.handler.Received(made, payload) }
	s.peers[id] = made
	return made, true
}
