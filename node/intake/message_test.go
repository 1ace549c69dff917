package intake

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"flamingohall.example/node/metrics"
)

// startMessages serves a handler that reads whole bodies, as the generated ones do.
func startMessages(t *testing.T, memoryMB int64) (p *Pool, address string) {
	t.Helper()
	p = NewPool(Limits{Memory: memoryMB << 20, Descriptors: 456}, Inside, logr.Discard(), metrics.NewRole("intake", t.Name()))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
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
	return p, inner.Addr().String()
}

func TestMessages_OfAnyAllowedSizeAreRead(t *testing.T) {
	_, address := startMessages(t, 96)
	const largest = 24 << 20
	for name, text := range map[string]string{
		"declared": declared(largest, largest), "chunked": chunked(largest/4, 4) + "0\r\n\r\n",
	} {
		if status, answer := ask(t, address, text); status != http.StatusOK || answer != fmt.Sprint(largest) {
			t.Errorf("%s: status %d, %s", name, status, answer)
		}
	}
	if status, answer := ask(t, address, declared(largest+1, 0)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("too large: status %d, %s", status, answer)
	}
	if status, answer := ask(t, address, chunked(largest/4, 5)+"0\r\n\r\n"); status == http.StatusOK {
		t.Errorf("too large in chunks: status %d, %s", status, answer)
	}
}

func TestMessages_CrowdThatStallsKeepsNobodyOut(t *testing.T) {
	const size = 4 << 20
	for name, text := range map[string]string{"declared": declared(size, size/8), "chunked": chunked(size/8, 1), "header": shortLines(3000)} {
		p, address := startMessages(t, 96)
		for range 100 {
			open(t, address, text)
			if used, connections := p.usage(); used > p.budget || connections > p.connections {
				t.Fatalf("%s: %d bytes and %d connections are held", name, used, connections)
			}
		}
		if status, answer := ask(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"+strings.Repeat("x", 100)); status != http.StatusOK {
			t.Errorf("%s: a message beside the crowd got status %d, %s", name, status, answer)
		}
	}
}

// TestMessages_LargestIsReceivedBesideAsManyConnectionsAsAllowed guards against long polls, which are complete requests, that use up what messages need.
func TestMessages_LargestIsReceivedBesideAsManyConnectionsAsAllowed(t *testing.T) {
	limits := Limits{Memory: 280 << 20, Descriptors: 4100}
	p := NewPool(limits, Inside, logr.Discard(), metrics.NewRole("intake", t.Name()))
	const polls = 530 // docs/CAPACITY.md
	if p.connections <= polls {
		t.Errorf("%d connections may be open, want more than the %d polls", p.connections, polls)
	}
	for range p.connections - 1 {
		c, _ := admit(t, p, "10.0.0.1")
		p.complete(c)
	}
	for _, size := range []int64{1 << 20, 8 << 20, limits.largestMessage()} {
		c, _ := admit(t, p, "10.0.0.2")
		if _, err := (&body{conn: c}).take(copies * size); err != nil {
			used, open := p.usage()
			t.Errorf("a message of %d bytes beside %d connections: %v (%d of %d bytes held)", size, open-1, err, used, p.budget)
		}
		p.leave(c)
	}
}

// TestMessages_ConnectionsThatHoldNoMessageAreNotClosedForOne: to close them would make no room.
func TestMessages_ConnectionsThatHoldNoMessageAreNotClosedForOne(t *testing.T) {
	p := NewPool(Limits{Memory: 96 << 20, Descriptors: 456}, Inside, logr.Discard(), metrics.NewRole("intake", t.Name()))
	_, idle := admit(t, p, "10.0.0.1")
	stalled, stalledInner := admit(t, p, "10.0.0.1")
	asking, _ := admit(t, p, "10.0.0.2")
	if !p.take(stalled, p.budget) || !p.take(asking, 1) {
		t.Fatal("no room")
	}
	if idle.isClosed || !stalledInner.isClosed {
		t.Errorf("closed: idle %v, stalled %v, want the stalled one", idle.isClosed, stalledInner.isClosed)
	}
}
