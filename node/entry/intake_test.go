package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"flamingohall.example/node/metrics"
)

// TestEntry_CrowdThatStallsIsBounded guards against callers that use up the memory with bodies that they don't end, or the descriptors with
// connections that ask nothing.
func TestEntry_CrowdThatStallsIsBounded(t *testing.T) {
	const members, descriptors = 300, 456
	for name, text := range map[string]string{
		"bodies":  fmt.Sprintf("POST /v1/submissions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat(" ", 1000)),
		"nothing": "",
	} {
		sidecar := newFakeSidecar("s1", 0)
		e := newTestEntry(t, t.Name()+name, newFakeControl(), sidecar)
		e.file.Node.MemoryMB, e.file.Node.MaxDescriptors = 64, descriptors
		if err := e.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = e.server.Close() })
		for e.loop.checkReady(t) != nil {
			time.Sleep(time.Millisecond)
		}
		for range members {
			c, err := net.Dial("tcp", e.Addr())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			_, _ = io.WriteString(c, text)
		}
		if status, _, answer := post(t, e, "/v1/submissions", body("check", "k", 1)); status != http.StatusOK {
			t.Errorf("%s: a submission beside the crowd got status %d, %s", name, status, answer)
		}
		if closed := metrics.NewRole("intake", e.file.Node.ID).Counter("connections_closed"); closed < members-descriptors/2 {
			t.Errorf("%s: %d connections were closed, want %d at least", name, closed, members-descriptors/2)
		}
	}
}
