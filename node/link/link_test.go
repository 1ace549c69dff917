package link

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
)

func TestCall_DistinguishesNotSentFromNoAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	_ = listener.Close()
	l := New()
	_, err = Call(t.Context(), time.Second, l.Sidecar(closed).Run, &rpc.RunRequest{})
	if !IsNotSent(err) {
		t.Fatalf("error of a refused connection: %v", err)
	}
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	address := strings.TrimPrefix(server.URL, "http://")
	_, err = Call(context.Background(), 20*time.Millisecond, l.Sidecar(address).Run, &rpc.RunRequest{})
	if IsNotSent(err) || !fault.Is(err, fault.Unknown) {
		t.Fatalf("error of a call without an answer: %v", err)
	}
}
