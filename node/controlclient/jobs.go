package controlclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

const (
	// jobsAttemptTimeout bounds one attempt of a call of Jobs. It is a few times the duration of a synced write on a slow
	// disk plus the round trips.
	jobsAttemptTimeout = 400 * time.Millisecond
	// jobsRetryDelay is the delay after a failed attempt.
	jobsRetryDelay = 30 * time.Millisecond
)

// Jobs calls rpc.Jobs. It prefers the leading control VM, which saves forwarding the call, and tries the others if that
// one fails.
type Jobs struct {
	pool *pool

	mutex sync.Mutex
	// leader is the address of the leading control VM, "" if unknown.
	leader string
	// clients holds a client for each address in use.
	clients map[string]*jobsClient
}

// jobsClient is the client for one control VM.
type jobsClient struct {
	rpc.Jobs
	http *http.Client
}

// Jobs returns a client for stored jobs.
func (f *Follower) Jobs() *Jobs {
	return &Jobs{pool: f.pool, clients: map[string]*jobsClient{}}
}

// SetLeader sets the address of the leading control VM.
func (j *Jobs) SetLeader(address string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.leader = address
}

// Once makes one attempt of a call. If another VM may succeed, it forgets the leader, or rotates to the next VM in the list
// if the preferred VM failed.
func (j *Jobs) Once(ctx context.Context, call func(context.Context, rpc.Jobs) error) error {
	address, client, server := j.choose()
	ctx, cancel := context.WithTimeout(ctx, jobsAttemptTimeout)
	defer cancel()
	err := faultrpc.From(call(ctx, client))
	if err != nil && retryable(fault.Of(err).Kind) {
		j.drop(address)
		if server.address == address {
			j.pool.rotate(server)
		}
	}
	return err
}

// Retry repeats a call until it succeeds, fails with an error that another VM would return too, or ctx ends. The error
// is fault.Unknown if any of the attempts may have taken effect.
func (j *Jobs) Retry(ctx context.Context, call func(context.Context, rpc.Jobs) error) error {
	mayHaveRun := false
	for {
		err := j.Once(ctx, call)
		if err == nil {
			return nil
		}
		last := fault.Of(err)
		if !retryable(last.Kind) {
			return last
		}
		mayHaveRun = mayHaveRun || last.Kind != fault.Unavailable
		if !sleep(ctx, jobsRetryDelay) {
			return exhaustedError(last, mayHaveRun)
		}
	}
}

// choose returns the address to use now, its client, and the VM that the pool prefers.
func (j *Jobs) choose() (string, rpc.Jobs, *server) {
	preferred := j.pool.current()
	j.mutex.Lock()
	defer j.mutex.Unlock()
	address := j.leader
	if address == "" {
		address = preferred.address
	}
	client := j.clients[address]
	if client == nil {
		connections := j.pool.ownClient()
		client = &jobsClient{Jobs: rpc.NewJobsProtobufClient("http://"+address, connections), http: connections}
		j.clients[address] = client
	}
	return address, client, preferred
}

// drop discards the client of an address that failed, since its connection may be half-open.
func (j *Jobs) drop(address string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if client := j.clients[address]; client != nil {
		client.http.CloseIdleConnections()
		delete(j.clients, address)
	}
	if j.leader == address {
		j.leader = ""
	}
}
