package intake

import (
	"io"
	"net"
	"testing"
)

func TestSessions_ThatAreKnownAreKeptBesideStrangers(t *testing.T) {
	p := newTestPool(t, 16<<20, 4)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sessions := p.Sessions(inner)
	t.Cleanup(func() { _ = sessions.Close() })
	known := open(t, inner.Addr().String(), "abc")
	server, err := sessions.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	server.(interface{ Keep() }).Keep()
	for range 20 {
		// Strangers send as much as the known client.
		open(t, inner.Addr().String(), "abc")
		stranger, err := sessions.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(stranger, make([]byte, 3)); err != nil {
			t.Fatalf("the newest connection: %v", err)
		}
	}
	if _, connections := p.usage(); connections > p.connections {
		t.Errorf("%d connections are open", connections)
	}
	if _, err := known.Write([]byte("d")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
		t.Errorf("the session that is known: %v", err)
	}
}
