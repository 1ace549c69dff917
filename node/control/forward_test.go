package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"flamingohall.example/node/relaytest"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/transport"
)

type answeringJobs struct{ rpc.Jobs }

func (answeringJobs) Keep(context.Context, *rpc.KeepRequest) (*rpc.KeepResponse, error) {
	return &rpc.KeepResponse{}, nil
}

// TestForward_SilentConnectionToTheLeaderIsLeftWhileCallsOverlap guards against calls that all wait on a dead connection: it is never idle
// while entries renew their leases.
func TestForward_SilentConnectionToTheLeaderIsLeftWhileCallsOverlap(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: rpc.NewJobsServer(answeringJobs{}), ReadHeaderTimeout: time.Second, Protocols: transport.ServerProtocols()}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	relay, err := relaytest.Start(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	j := &jobs{role: &Role{http: compactClient()}}
	keep := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := j.forwardKeep(ctx, Status{LeaderAddress: relay.Addr()}, &rpc.KeepRequest{})
		return err
	}
	if err := keep(); err != nil {
		t.Fatal(err)
	}
	relay.Silence()
	recovered := make(chan struct{}, 100)
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	for n := range 4 {
		callers.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			for ctx.Err() == nil && keep() != nil {
			}
			if ctx.Err() == nil {
				recovered <- struct{}{}
			}
		})
	}
	callers.Wait()
	if len(recovered) != 4 {
		t.Errorf("%d of 4 callers recovered", len(recovered))
	}
}
