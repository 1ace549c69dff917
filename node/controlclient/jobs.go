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
	// jobsAttempt bounds one call of Jobs: a few times a synced write on a slow disk with the ways there and back.
	jobsAttempt = 400 * time.Millisecond
	// jobsPause is the wait after an attempt that failed.
	jobsPause = 30 * time.Millisecond
)

// Jobs calls rpc.Jobs. It prefers the leading control VM, which saves a way, and tries the others when that one fails.
type Jobs struct {
	pool *pool

	mutex sync.Mutex
	// leader is the address of the leading control VM as far as known, "" for any.
	leader string
	// lines holds a client for each address in use.
	lines map[string]*jobsLine
}

// jobsLine is the client for one control VM.
type jobsLine struct {
	rpc.Jobs
	http *http.Client
}

// Jobs returns a client for accepted jobs.
func (f *Follower) Jobs() *Jobs {
	return &Jobs{pool: f.pool, lines: map[string]*jobsLine{}}
}

// SetLeader names the leading control VM.
func (j *Jobs) SetLeader(address string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.leader = address
}

// Once makes one attempt of a call.
func (j *Jobs) Once(ctx context.Context, call func(context.Context, rpc.Jobs) error) error {
	address, client, server := j.line()
	ctx, cancel := context.WithTimeout(ctx, jobsAttempt)
	defer cancel()
	err := faultrpc.From(call(ctx, client))
	if err != nil && worthRetrying(fault.Of(err).Kind) {
		j.drop(address)
		j.pool.rotate(server)
	}
	return err
}

// Retry repeats a call until it succeeds, no other VM could answer better, or ctx ends. The error is fault.Unknown when
// any of the attempts may have taken effect.
func (j *Jobs) Retry(ctx context.Context, call func(context.Context, rpc.Jobs) error) error {
	mayHaveRun := false
	for {
		err := j.Once(ctx, call)
		if err == nil {
			return nil
		}
		found := fault.Of(err)
		if !worthRetrying(found.Kind) {
			return found
		}
		mayHaveRun = mayHaveRun || found.Kind != fault.Unavailable
		if !sleep(ctx, jobsPause) {
			return exhausted(found, mayHaveRun)
		}
	}
}

// line returns the client to use now, its address and the VM that the pool prefers.
func (j *Jobs) line() (string, rpc.Jobs, *server) {
	preferred := j.pool.current()
	j.mutex.Lock()
	defer j.mutex.Unlock()
	address := j.leader
	if address == "" {
		address = preferred.address
	}
	client := j.lines[address]
	if client == nil {
		connections := j.pool.ownClient()
		client = &jobsLine{Jobs: rpc.NewJobsProtobufClient("http://"+address, connections), http: connections}
		j.lines[address] = client
	}
	return address, client, preferred
}

// drop gives up an address that failed: its connection may have gone silent.
func (j *Jobs) drop(address string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if line := j.lines[address]; line != nil {
		line.http.CloseIdleConnections()
		delete(j.lines, address)
	}
	if j.leader == address {
		j.leader = ""
	}
}
