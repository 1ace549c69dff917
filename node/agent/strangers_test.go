package agent

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/work"
	"flamingohall.example/node/intake"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/stream"
	"flamingohall.example/node/workwire"
)

// openStrangers opens sessions of clients that send no more than the handshake.
func openStrangers(t *testing.T, address string, count int) {
	t.Helper()
	for n := range count {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(time.Second))
		handshake := make([]byte, stream.HandshakeBytes)
		binary.BigEndian.PutUint64(handshake, uint64(time.Now().UnixNano())+uint64(n))
		_, _ = c.Write(handshake)
		_, _ = io.ReadFull(c, make([]byte, 1))
	}
}

// TestAgent_StrangersThatSendAHandshakeKeepNoEntryOut guards against sessions that any 24 bytes open and that are never closed for want of room.
func TestAgent_StrangersThatSendAHandshakeKeepNoEntryOut(t *testing.T) {
	limits := intake.Limits{Memory: 1 << 30}
	a := New(Options{
		ID: "s", DataCentre: "a", Listen: "127.0.0.1:0", Control: []string{"127.0.0.1:1"}, Worker: silentWorker{},
		Logger: logr.Discard(), Metrics: metrics.NewRole("sidecar", t.Name()),
		Sessions: intake.NewPool(limits, intake.Sessions, logr.Discard(), metrics.NewRole("intake_sessions", t.Name())),
	})
	if err := a.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	address := a.listener.Addr().String()
	most := limits.Connections(intake.Sessions)
	openStrangers(t, address, most)
	answered := make(chan bool, 100)
	var lost atomic.Int64
	hello := workwire.EncodeToSidecar(&work.ToSidecar{Hello: &work.Hello{Entry: "e"}})
	go stream.Maintain(t.Context(), address, stream.Events{
		Opened: func(peer *stream.Peer) { peer.Send(hello) },
		Attached: func(_ *stream.Peer, isAttached bool) {
			if !isAttached {
				lost.Add(1)
			}
		},
		Received: func(*stream.Peer, []byte) {
			select {
			case answered <- true:
			default:
			}
		},
		Closed: func(*stream.Peer) {},
	})
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		t.Fatal("an entry has no session beside those of strangers")
	}
	before := lost.Load()
	openStrangers(t, address, 2*most)
	if lost.Load() > before && t.Context().Err() == nil {
		t.Error("the entry lost its connection to strangers")
	}
}
