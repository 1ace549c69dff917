package intake

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestConn_NothingIsWrittenWhileAPipelinedRequestIsInProgress guards against a 503 to a job that exists: bytes that follow a pipelined
// request were taken for its header.
func TestConn_NothingIsWrittenWhileAPipelinedRequestIsInProgress(t *testing.T) {
	p := newTestPool(t, 2<<20, 100)
	accepted, finish := make(chan struct{}), make(chan struct{})
	server := &http.Server{MaxHeaderBytes: 16 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			if _, err := ReadBody(r, testLimit); err != nil {
				t.Errorf("body: %v", err)
			}
			close(accepted)
			<-finish
		}
		_, _ = fmt.Fprint(w, "done")
	})}
	inner, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(p.Serve(server, inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	body := strings.Repeat(" \n", 1200)
	c := open(t, inner.Addr().String(), "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+fmt.Sprint(len(body))+"\r\n\r\n"+body)
	reader := bufio.NewReader(c)
	first, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, first.Body)
	<-accepted
	// Others fill the pool with complete requests.
	holder, _ := admit(t, p, "10.0.0.1")
	p.complete(holder)
	used, _ := p.usage()
	if !p.take(holder, p.budget*3/4-used) {
		t.Fatal("no room")
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	close(finish)
	if second, err := http.ReadResponse(reader, nil); err != nil || second.StatusCode != http.StatusOK {
		t.Errorf("answer to a request in progress: %+v, %v", second, err)
	}
}
