package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"flamingohall.example/core/fault"
)

const testLimit = 256 << 10

// startServer serves a handler that answers with the length of the body, or the kind of error.
func startServer(t *testing.T, p *Pool) string {
	t.Helper()
	server := &http.Server{MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := ReadBody(r, testLimit)
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, string(fault.Of(err).Kind), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, len(text))
	})}
	inner, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(p.Serve(server, inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

// open opens a connection and sends text.
func open(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Logf("send: %v", err)
	}
	return c
}

// ask sends a request and returns status and body of the answer.
func ask(t *testing.T, address, text string) (status int, answer string) {
	t.Helper()
	c := open(t, address, text)
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	received, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(received))
}

func declared(length, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
}

func chunked(chunk, count int) string {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(one, count)
}

func TestServe_BodiesOfLegalSizeAreRead(t *testing.T) {
	for _, memoryMB := range []int64{96, 152, 284} {
		limits := Limits{Memory: memoryMB << 20, Descriptors: 300}
		address := startServer(t, newTestPool(t, limits.Budget(Outside), limits.Connections(Outside)))
		requests := map[string]string{
			"empty": declared(0, 0), "small": declared(5, 5), "largest": declared(testLimit, testLimit), "largest chunked": chunked(testLimit, 1) + "0\r\n\r\n",
			"small chunks": chunked(1, testLimit) + "0\r\n\r\n", "chunked, none": chunked(1, 0) + "0\r\n\r\n",
		}
		want := map[string]string{"empty": "0", "small": "5", "chunked, none": "0"}
		for name, text := range requests {
			expected := want[name]
			if expected == "" {
				expected = fmt.Sprint(testLimit)
			}
			if status, answer := ask(t, address, text); status != http.StatusOK || answer != expected {
				t.Errorf("%d MB, %s: status %d, %s, want %s bytes", memoryMB, name, status, answer, expected)
			}
		}
	}
}

func TestServe_BodiesThatAreTooLongOrCutShortAreNotTakenForRequests(t *testing.T) {
	address := startServer(t, newTestPool(t, 16<<20, 50))
	requests := map[string]string{
		"declared": declared(testLimit+1, testLimit+1), "one chunk": chunked(testLimit+1, 1), "chunks": chunked(1024, testLimit/1024+1),
	}
	for name, text := range requests {
		if status, answer := ask(t, address, text); status != http.StatusServiceUnavailable || answer != string(fault.TooLarge) {
			t.Errorf("%s: status %d, %s", name, status, answer)
		}
	}
	for name, text := range map[string]string{"declared": declared(100, 99), "chunks": chunked(1, 99), "half a chunk": chunked(1, 3) + "5\r\nxx"} {
		c := open(t, address, text)
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		answer, _ := io.ReadAll(c)
		if !strings.Contains(string(answer), string(fault.Malformed)) {
			t.Errorf("%s, cut short: %q", name, answer)
		}
	}
}

// TestServe_CrowdThatStallsNeitherHoldsMoreThanTheBudgetNorKeepsOthersOut is the fault of issue 45: every stalled request held its body.
func TestServe_CrowdThatStallsNeitherHoldsMoreThanTheBudgetNorKeepsOthersOut(t *testing.T) {
	crowds := map[string]string{
		"declared": declared(testLimit, testLimit-1), "one chunk": fmt.Sprintf("%s%x\r\n%s", chunked(1, 0), testLimit, strings.Repeat("x", testLimit-1)),
		"small chunks": chunked(1, 100_000), "header": "POST / HTTP/1.1\r\nHost: h\r\n", "nothing": "",
	}
	for name, text := range crowds {
		p := newTestPool(t, 4<<20, 40)
		address := startServer(t, p)
		for range 100 {
			open(t, address, text)
			if used, connections := p.usage(); used > p.budget || connections > p.connections {
				t.Fatalf("%s: %d bytes and %d connections are held", name, used, connections)
			}
		}
		if status, answer := ask(t, address, declared(testLimit, testLimit)); status != http.StatusOK {
			t.Errorf("%s: a request beside the crowd got status %d, %s", name, status, answer)
		}
	}
}

// TestServe_AnsweredRequestsAreNotCharged sends several requests over each of a few connections.
func TestServe_AnsweredRequestsAreNotCharged(t *testing.T) {
	p := newTestPool(t, 2<<20, 10)
	address := startServer(t, p)
	client := &http.Client{Timeout: 20 * time.Second}
	for range 50 {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", testLimit)))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	client.CloseIdleConnections()
	for used := int64(1); used > 0; used, _ = p.usage() {
		time.Sleep(time.Millisecond)
	}
}

// TestServe_BodyThatStallsIsClosedWithoutAnyOther guards against connections that are held for as long as their clients like.
func TestServe_BodyThatStallsIsClosedWithoutAnyOther(t *testing.T) {
	p := newTestPool(t, 16<<20, 50)
	p.bodyTimeout = 50 * time.Millisecond
	address := startServer(t, p)
	for name, text := range map[string]string{"declared": declared(100, 99), "undeclared": chunked(1, 99), "no byte": declared(100, 0)} {
		if status, answer := ask(t, address, text); status != http.StatusServiceUnavailable || answer != string(fault.Malformed) {
			t.Errorf("%s: status %d, %s", name, status, answer)
		}
	}
}

// TestServe_SlowBodyLeavesTheConnectionAsItWas sends a body in two parts, and a second request after the time for the first has passed.
func TestServe_SlowBodyLeavesTheConnectionAsItWas(t *testing.T) {
	p := newTestPool(t, 16<<20, 50)
	p.bodyTimeout = 300 * time.Millisecond
	c := open(t, startServer(t, p), declared(100, 99))
	reader := bufio.NewReader(c)
	for _, text := range []string{"x", declared(10, 10)} {
		time.Sleep(p.bodyTimeout / 10)
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("response %v, %v", response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		time.Sleep(2 * p.bodyTimeout)
	}
}

// TestServe_LinesAfterABodyAreNotHeld sends a complete request with a trailer of very many lines, whose answer takes long.
func TestServe_LinesAfterABodyAreNotHeld(t *testing.T) {
	held, finish := make(chan int, 1), make(chan struct{})
	defer close(finish)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if text, err := ReadBody(r, testLimit); err != nil || string(text) != "xx" {
			t.Errorf("body %q, %v", text, err)
		}
		held <- len(r.Trailer)
		<-finish
	})}
	inner, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	admitted := newTestPool(t, 4<<20, 100).Serve(server, inner)
	go func() { _ = server.Serve(admitted) }()
	t.Cleanup(func() { _ = server.Close() })
	var trailer strings.Builder
	for n := range 700 {
		_, _ = fmt.Fprintf(&trailer, "%c%c:\n", 'a'+n%26, "abcdefghijklmnopqrstuvwxyz0123456789"[n/26])
	}
	open(t, inner.Addr().String(), chunked(1, 2)+"0\r\n"+trailer.String()+"x:\r\n\r\n")
	if lines := <-held; lines > 0 {
		t.Errorf("%d lines of a trailer are held, which are not charged", lines)
	}
}
