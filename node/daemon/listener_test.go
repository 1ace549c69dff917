package daemon

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// receiveBuffer returns the size that the kernel gives the receive buffers of a listener's connections.
func receiveBuffer(t *testing.T, listener net.Listener) (size int) {
	t.Helper()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if controlErr := raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return size
}

// TestProcess_InternalListenerKeepsTheKernelsReceiveBuffer guards against Step calls of replication that time out between regions: with a small
// window, no more than the window arrives in a round trip.
func TestProcess_InternalListenerKeepsTheKernelsReceiveBuffer(t *testing.T) {
	plain, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = plain.Close() }()
	p := newFakeProcess(t)
	defer func() { _ = p.listener.Close() }()
	if size, want := receiveBuffer(t, p.listener), receiveBuffer(t, plain); size != want {
		t.Errorf("the receive buffer has %d bytes, want the %d of any listener", size, want)
	}
}
