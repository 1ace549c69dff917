package replica

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"

	"flamingohall.example/node/wal"
)

// network carries calls between nodes in memory. A cut link is silent: calls over it end with their deadline.
type network struct {
	mutex sync.Mutex
	muxes map[string]*http.ServeMux
	cuts  map[string]bool
}

// serve makes the node at the address answer, or refuse connections when mux is nil.
func (n *network) serve(address string, mux *http.ServeMux) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.muxes[address] = mux
}

// cut makes all links of the address silent, both ways, or heals them.
func (n *network) cut(address string, isCut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[address] = isCut
}

func (n *network) find(from, to string) (mux *http.ServeMux, isCut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.muxes[to], n.cuts[from] || n.cuts[to]
}

// networkTransport is a node's way into the network.
type networkTransport struct {
	network *network
	from    string
}

// RoundTrip implements http.RoundTripper.
func (r *networkTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	mux, isCut := r.network.find(r.from, request.URL.Host)
	if isCut {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if mux == nil {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, request)
	if _, isCut := r.network.find(r.from, request.URL.Host); isCut {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return recorder.Result(), nil
}

// faultyFiles is the disk with a switch that makes writes or syncs fail.
type faultyFiles struct {
	wal.Disk
	isFull     atomic.Bool
	syncsFail  atomic.Bool
	syncsAsked atomic.Int64
}

// Create implements wal.Files.
func (f *faultyFiles) Create(path string) (wal.File, error) {
	file, err := f.Disk.Create(path)
	return &faultyFile{file, f}, err
}

type faultyFile struct {
	wal.File
	disk *faultyFiles
}

// Write implements wal.File.
func (f *faultyFile) Write(data []byte) (int, error) {
	if f.disk.isFull.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// Sync implements wal.File.
func (f *faultyFile) Sync() error {
	f.disk.syncsAsked.Add(1)
	if f.disk.syncsFail.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// byteCounter counts what TCP connections carry, by the address that is called, in both directions, and adds the
// caller's part to the caller.
type byteCounter struct {
	mutex sync.Mutex
	bytes map[string]int64
}

func (c *byteCounter) add(addresses []string, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.bytes == nil {
		c.bytes = map[string]int64{}
	}
	for _, address := range addresses {
		c.bytes[address] += int64(count)
	}
}

func (c *byteCounter) of(address string) int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bytes[address]
}

// transport returns the ordinary transport with its connections counted for both ends.
func (c *byteCounter) transport(from string) transportFactory {
	return func(to string) http.RoundTripper {
		transport, isPlain := newTransport(to).(*http.Transport)
		if !isPlain {
			panic("the transport is not net/http's")
		}
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConnection{connection, c, []string{from, to}}, nil
		}
		return transport
	}
}

type countedConnection struct {
	net.Conn
	counter   *byteCounter
	addresses []string
}

func (c *countedConnection) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	c.counter.add(c.addresses, count)
	return count, err
}

func (c *countedConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.counter.add(c.addresses, count)
	return count, err
}

func (n *network) isCut(address string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[address]
}
