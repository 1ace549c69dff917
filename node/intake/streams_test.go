package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/node/metrics"
	"flamingohall.example/node/transport"
)

// TestMessages_HeadersOfStreamsAreCharged opens many requests with very many header lines on one connection.
func TestMessages_HeadersOfStreamsAreCharged(t *testing.T) {
	const requests, lines = 100, 300
	p := NewPool(Limits{Memory: 24 << 20, Descriptors: 456}, Inside, logr.Discard(), metrics.NewRole("intake", t.Name()))
	var held atomic.Int64
	finish := make(chan struct{})
	server := &http.Server{Protocols: transport.ServerProtocols(), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		held.Add(int64(len(r.Header)) * lineBytes)
		<-finish
	})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	admitted := p.Serve(server, inner)
	go func() { _ = server.Serve(admitted) }()
	t.Cleanup(func() { _ = server.Close() })
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{Protocols: transport.CompactProtocols()}}
	var refused atomic.Int64
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+inner.Addr().String()+"/", http.NoBody)
			for n := range lines {
				request.Header[fmt.Sprintf("X%d", n)] = []string{"1"}
			}
			response, err := client.Do(request)
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "1" {
				refused.Add(1)
			}
		})
	}
	for deadline := time.Now().Add(10 * time.Second); held.Load()/(lines*lineBytes)+refused.Load() < requests; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Error("not all requests have arrived")
			break
		}
	}
	if used, _ := p.usage(); held.Load() > used || used > p.budget || refused.Load() == 0 {
		t.Errorf("headers of %d bytes are charged with %d, budget %d, %d requests refused", held.Load(), used, p.budget, refused.Load())
	}
	close(finish)
	all.Wait()
	if used, _ := p.usage(); used > 0 {
		t.Errorf("%d bytes are charged after the answers", used)
	}
}

// TestMessages_StreamsEndWhileOthersAreRead guards against a data race: one goroutine reported that a request had ended while another one
// measured what it read of the next. It fails only under the race detector.
func TestMessages_StreamsEndWhileOthersAreRead(t *testing.T) {
	for _, class := range []Class{Inside, Outside} {
		readStreams(t, NewPool(Limits{Memory: 96 << 20, Descriptors: 456}, class, logr.Discard(), metrics.NewRole("intake", t.Name())))
	}
}

// readStreams sends requests with large answers in turn over one connection of HTTP/2.
func readStreams(t *testing.T, p *Pool) {
	t.Helper()
	answer := make([]byte, 256<<10)
	server := &http.Server{Protocols: transport.ServerProtocols(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(answer)
	})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	admitted := p.Serve(server, inner)
	go func() { _ = server.Serve(admitted) }()
	t.Cleanup(func() { _ = server.Close() })
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{Protocols: transport.CompactProtocols()}}
	for range 300 {
		// The client's frames about the space for an answer arrive while the request ends.
		response, err := client.Get("http://" + inner.Addr().String() + "/")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// TestServe_PrefaceOfStreamsEndsNoMeasuring guards against a caller that sends the preface of HTTP/2 to a listener without it, and headers
// that are not charged after it.
func TestServe_PrefaceOfStreamsEndsNoMeasuring(t *testing.T) {
	for _, preface := range []string{"PRI * HTTP/2.0\r\n\r\n", "PRI / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		server, client := net.Pipe()
		p := newTestPool(t, 4<<20, 100)
		c := p.admit(server)
		go func() { _, _ = io.WriteString(client, preface+shortLines(15000)) }()
		buffer := make([]byte, len(preface))
		if _, err := io.ReadFull(c, buffer); err != nil {
			t.Fatal(err)
		}
		c.begin()
		p.wait(c)
		c.next()
		if _, err := io.ReadFull(c, make([]byte, bufferSize)); err != nil {
			t.Fatal(err)
		}
		if used, _ := p.usage(); used < 1000*lineBytes {
			t.Errorf("%d bytes are charged after %q and 1,000 lines", used, preface)
		}
	}
}
