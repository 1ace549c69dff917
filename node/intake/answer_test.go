package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// openDeaf opens a connection with a small receive buffer, and sends requests until the server takes no more.
func openDeaf(t *testing.T, address, request string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
	}}
	c, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	for err == nil {
		_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		_, err = io.WriteString(c, strings.Repeat(request, 1000))
	}
	return c
}

func TestServe_ClientsThatDoNotReadAnswersKeepNobodyOut(t *testing.T) {
	p := newTestPool(t, 16<<20, 3)
	p.answerGrace = 50 * time.Millisecond
	address := startServer(t, p)
	for range p.connections {
		openDeaf(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	time.Sleep(2 * p.answerGrace)
	if status, answer := ask(t, address, declared(5, 5)); status != http.StatusOK {
		used, connections := p.usage()
		t.Errorf("a request beside clients that don't read: status %d, %s (%d bytes, %d connections held)", status, answer, used, connections)
	}
}

// TestServe_AnswersThatAreNotReadEndTheConnection needs no other client.
func TestServe_AnswersThatAreNotReadEndTheConnection(t *testing.T) {
	p := newTestPool(t, 16<<20, 3)
	p.answerGrace, p.answerTimeout = 50*time.Millisecond, 200*time.Millisecond
	openDeaf(t, startServer(t, p), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, connections := p.usage(); connections == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the connection is still open")
		}
	}
}

// TestServe_AnswerThatIsReadLateIsWhole has a handler that takes longer than the time for reading, and a client that reads after the grace.
func TestServe_AnswerThatIsReadLateIsWhole(t *testing.T) {
	p := newTestPool(t, 16<<20, 3)
	p.answerGrace, p.answerTimeout = 50*time.Millisecond, 500*time.Millisecond
	const size = 1 << 20
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * p.answerTimeout)
		_, _ = w.Write(make([]byte, size))
	})}
	inner, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(p.Serve(server, inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	c := open(t, inner.Addr().String(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(2*p.answerTimeout + 5*p.answerGrace)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if count, err := io.Copy(io.Discard, response.Body); count != size || err != nil {
		t.Errorf("%d bytes of the answer, %v", count, err)
	}
}
