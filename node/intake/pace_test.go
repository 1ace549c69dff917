package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// oneListener accepts one connection.
type oneListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l *oneListener) Accept() (net.Conn, error) {
	if c := <-l.accepted; c != nil {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l *oneListener) Close() error   { close(l.accepted); return nil }
func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestServe_SlowBodiesHaveAsLongAsTheWholeRequest sends bodies whose last byte comes just before the 10 s that the platform allows.
func TestServe_SlowBodiesHaveAsLongAsTheWholeRequest(t *testing.T) {
	for name, text := range map[string]string{"declared": declared(3, 2), "undeclared": chunked(1, 2) + "1\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			server := &http.Server{ReadTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := ReadBody(r, testLimit); err != nil {
					w.WriteHeader(http.StatusBadRequest)
				}
			})}
			theirs, ours := net.Pipe()
			inner := &oneListener{accepted: make(chan net.Conn, 1)}
			inner.accepted <- ours
			admitted := newTestPool(t, 16<<20, 10).Serve(server, inner)
			go func() { _ = server.Serve(admitted) }()
			if _, err := io.WriteString(theirs, text); err != nil {
				t.Fatal(err)
			}
			rest := "x"
			if name == "undeclared" {
				rest = "x\r\n0\r\n\r\n"
			}
			go func() {
				time.Sleep(9900 * time.Millisecond)
				_, _ = io.WriteString(theirs, rest)
			}()
			response, err := http.ReadResponse(bufio.NewReader(theirs), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("%s: response %v, %v", name, response, err)
			}
			_ = theirs.Close()
			_ = server.Close()
		})
	}
}
