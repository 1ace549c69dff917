package relaytest

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

func startEcho(t *testing.T) *Relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(connection, connection) }()
		}
	}()
	relay, err := Start(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return relay
}

func dial(t *testing.T, relay *Relay) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// echo sends a line and reports whether it was returned within the wait.
func echo(t *testing.T, connection net.Conn, wait time.Duration) bool {
	t.Helper()
	if _, err := connection.Write([]byte("line\n")); err != nil {
		return false
	}
	if err := connection.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	_, err := bufio.NewReader(connection).ReadString('\n')
	return err == nil
}

const (
	long  = 10 * time.Second
	short = 20 * time.Millisecond
)

func TestRelay_OpenConnectionsGoSilentWhileNewOnesWork(t *testing.T) {
	relay := startEcho(t)
	old := dial(t, relay)
	if !echo(t, old, long) {
		t.Fatal("the connection does not work before the fault")
	}
	relay.Silence()
	if echo(t, old, short) {
		t.Error("the old connection still works")
	}
	if !echo(t, dial(t, relay), long) || relay.Opened() != 2 {
		t.Error("a new connection does not work")
	}
}

func TestRelay_CutBreaksOpenConnections(t *testing.T) {
	relay := startEcho(t)
	old := dial(t, relay)
	if !echo(t, old, long) {
		t.Fatal("the connection does not work before the fault")
	}
	relay.Cut()
	if echo(t, old, long) {
		t.Error("the connection still works")
	}
}
