package transport

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"
)

// scriptedListener returns the errors in turn, and then connections.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func (l *scriptedListener) Close() error {
	return nil
}

// TestPersistent_AcceptsAfterAnyPassingFailure guards against servers that end when the kernel can't create a socket for a moment.
func TestPersistent_AcceptsAfterAnyPassingFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failures := 0
		l := Persistent(&scriptedListener{errs: []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.EPROTO}},
			func(error) { failures++ })
		if conn, err := l.Accept(); conn == nil || err != nil {
			t.Errorf("Accept: %v, %v", conn, err)
		}
		if failures != 1 {
			t.Errorf("%d failures reported, want the first of four", failures)
		}
	})
}

// TestPersistent_EndsWhenClosedDuringFailures checks that a stop need not wait until connections can be accepted again.
func TestPersistent_EndsWhenClosedDuringFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := Persistent(&failingListener{}, func(error) {})
		ended := make(chan error, 1)
		go func() {
			_, err := l.Accept()
			ended <- err
		}()
		synctest.Wait()
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept: %v, want net.ErrClosed", err)
		}
	})
}

// failingListener never accepts.
type failingListener struct{ net.Listener }

func (*failingListener) Accept() (net.Conn, error) { return nil, syscall.ENOBUFS }
func (*failingListener) Close() error              { return nil }
