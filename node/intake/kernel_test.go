package intake

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestListen_KernelHoldsNoMoreUnreadThanIsReckonedWith sends parts of several sizes, as what the kernel takes depends on them.
func TestListen_KernelHoldsNoMoreUnreadThanIsReckonedWith(t *testing.T) {
	inner, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inner.Close() }()
	for _, size := range []int{100, 1000, 1400, 5000, 64 << 10} {
		client := open(t, inner.Addr().String(), "")
		server, err := inner.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = client.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		for err == nil {
			_, err = client.Write(make([]byte, size))
		}
		raw, err := server.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var unread int
		if controlErr := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		t.Logf("%d bytes in parts of %d", unread, size)
		if unread == 0 || unread > receivable {
			t.Errorf("the kernel holds %d unread bytes in parts of %d, want up to %d", unread, size, receivable)
		}
		_ = client.Close()
		_ = server.Close()
	}
}
