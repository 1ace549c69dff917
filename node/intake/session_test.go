package intake

import (
	"io"
	"net"
	"testing"
)

func TestSessions_ThatHaveGreetedAreKeptWhenOthersStall(t *testing.T) {
	p := newTestPool(t, 16<<20, 4)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sessions := p.Sessions(inner, 3)
	t.Cleanup(func() { _ = sessions.Close() })
	greeted := open(t, inner.Addr().String(), "abc")
	server, err := sessions.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		open(t, inner.Addr().String(), "ab")
		if _, err := sessions.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	if _, connections := p.usage(); connections > p.connections {
		t.Errorf("%d connections are open", connections)
	}
	if _, err := greeted.Write([]byte("d")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
		t.Errorf("the session that has greeted: %v", err)
	}
}
