package callerconn

import (
	"context"
	"net"
	"testing"
	"time"
)

// accept returns a caller's connection, and the context of its requests, once the data has arrived.
func accept(t *testing.T, data string) (caller net.Conn, ctx context.Context) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if caller, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.Write([]byte(data)); err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = accepted.Close()
	})
	if _, err := accepted.Read(make([]byte, len(data))); err != nil {
		t.Fatal(err)
	}
	return caller, Context(t.Context(), accepted)
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

func TestState_TellsHowLongAgoTheLastDataArrived(t *testing.T) {
	caller, ctx := accept(t, "x")
	if state := Of(ctx); state.HasLeft {
		t.Errorf("state %+v, want a caller that is there", state)
	}
	eventually(t, "age of a second request", func() bool { return Of(ctx).SinceReceived >= 2*resolution })
	if _, err := caller.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "new data", func() bool { return Of(ctx).SinceReceived == 0 })
	if state := Of(ctx); state.HasLeft {
		t.Errorf("state %+v, want a caller whose next request waits to be there", state)
	}
}

func TestState_TellsThatTheCallerHasLeft(t *testing.T) {
	caller, ctx := accept(t, "x")
	if err := caller.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "closed connection", func() bool { return Of(ctx).HasLeft })

	reset, ctx := accept(t, "x")
	if err := reset.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := reset.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "reset connection", func() bool { return Of(ctx).HasLeft })
	eventually(t, "reset connection again", func() bool { return Of(ctx).HasLeft })
}

func TestState_IsZeroWithoutASocket(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _, _ = local.Close(), remote.Close() }()
	for _, ctx := range []context.Context{t.Context(), Context(t.Context(), local)} {
		if state := Of(ctx); state != (State{}) {
			t.Errorf("state %+v, want the zero value", state)
		}
	}
}
