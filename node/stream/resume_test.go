package stream

import (
	"encoding/binary"
	"io"
	"net"
	"slices"
	"testing"
	"testing/synctest"
)

// rawClient is the dialling side of one connection, without a Peer.
type rawClient struct {
	t    *testing.T
	conn net.Conn
}

// connectRaw opens a connection to the server for a session and returns the state in the reply. The other side has received
// the frames up to acknowledged.
func connectRaw(t *testing.T, s *Server, id identity, acknowledged uint64) (client *rawClient, state byte) {
	t.Helper()
	near, far := net.Pipe()
	go s.serve(far)
	t.Cleanup(func() { _ = near.Close() })
	if _, err := near.Write(binary.BigEndian.AppendUint64(id[:], acknowledged)); err != nil {
		t.Fatal(err)
	}
	var reply [replyBytes]byte
	if _, err := io.ReadFull(near, reply[:]); err != nil {
		t.Fatal(err)
	}
	return &rawClient{t: t, conn: near}, reply[0]
}

// send sends a frame whose payload is its number.
func (c *rawClient) send(number uint64) {
	c.t.Helper()
	frame := binary.BigEndian.AppendUint32(nil, 8)
	frame = binary.BigEndian.AppendUint64(frame, number)
	frame = binary.BigEndian.AppendUint64(frame, 0)
	frame = binary.BigEndian.AppendUint64(frame, number)
	if _, err := c.conn.Write(frame); err != nil {
		c.t.Fatal(err)
	}
}

// TestServer_FramesOfANewConnectionWaitForThoseOfTheFormerOne guards against a frame, such as a withdrawal, that overtakes the one before
// it while a paused process catches up with several connections of a session at the same time.
func TestServer_FramesOfANewConnectionWaitForThoseOfTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		var delivered []uint64
		s := NewServer(Handler{Opened: func(*Peer) {}, Received: func(_ *Peer, payload []byte) {
			number := binary.BigEndian.Uint64(payload)
			if number == 1 {
				<-release
			}
			delivered = append(delivered, number)
		}})
		former, _ := connectRaw(t, s, identity{1}, 0)
		former.send(1)
		synctest.Wait()
		resumed, state := connectRaw(t, s, identity{1}, 0)
		if state != stateResumed {
			t.Fatalf("state %d, want the session resumed", state)
		}
		resumed.send(2)
		synctest.Wait()
		close(release)
		synctest.Wait()
		if !slices.Equal(delivered, []uint64{1, 2}) {
			t.Errorf("frames delivered in the order %v", delivered)
		}
		s.Close()
	})
}

// TestServer_NoFrameIsDeliveredBeforeTheSessionOpened guards against a session whose first frame is dropped, because it arrives over a
// second connection before the session is known.
func TestServer_NoFrameIsDeliveredBeforeTheSessionOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		var calls []string
		s := NewServer(Handler{
			Opened: func(*Peer) {
				<-release
				calls = append(calls, "opened")
			},
			Received: func(*Peer, []byte) { calls = append(calls, "received") },
		})
		connectRaw(t, s, identity{1}, 0)
		synctest.Wait()
		resumed, _ := connectRaw(t, s, identity{1}, 0)
		resumed.send(1)
		synctest.Wait()
		close(release)
		synctest.Wait()
		if !slices.Equal(calls, []string{"opened", "received"}) {
			t.Errorf("calls %v", calls)
		}
		s.Close()
	})
}

// TestServer_SessionEndsWhenAFrameCannotBeTaken guards against sessions that break the next connection, too, since the same frame is
// sent again on each.
func TestServer_SessionEndsWhenAFrameCannotBeTaken(t *testing.T) {
	tooLarge := binary.BigEndian.AppendUint32(nil, MaxPayloadBytes+1)
	tooLarge = append(tooLarge, make([]byte, headerBytes-len(tooLarge))...)
	skipped := binary.BigEndian.AppendUint32(nil, 0)
	skipped = binary.BigEndian.AppendUint64(skipped, 7)
	skipped = binary.BigEndian.AppendUint64(skipped, 0)
	for name, frame := range map[string][]byte{"too large": tooLarge, "number skipped": skipped} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewServer(Handler{Opened: func(*Peer) {}, Received: func(*Peer, []byte) {}})
				former, _ := connectRaw(t, s, identity{1}, 0)
				if _, err := former.conn.Write(frame); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				if _, state := connectRaw(t, s, identity{1}, 0); state != stateUnknown {
					t.Errorf("state %d of the next connection, want the session unknown", state)
				}
				s.Close()
			})
		})
	}
}

// TestPeer_FrameThatNobodyTakesEndsTheSession guards against a session that goes on, with all later frames behind one that the other side
// never takes.
func TestPeer_FrameThatNobodyTakesEndsTheSession(t *testing.T) {
	p := newPeer(identity{1}, func([]byte) {})
	p.Send(make([]byte, MaxPayloadBytes))
	if p.IsClosed() {
		t.Fatal("the session has ended at a frame of the maximum size")
	}
	p.Send(make([]byte, MaxPayloadBytes+1))
	if !p.IsClosed() {
		t.Error("the session goes on with a frame that is too large")
	}
}
