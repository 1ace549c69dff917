package replica

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"flamingohall.example/node/wal"
)

// network transmits calls between nodes in memory. Calls over a cut link get no answer and end at their deadline.
type network struct {
	mutex sync.Mutex
	muxes map[string]*http.ServeMux
	cuts  map[string]bool
}

// serve sets the handler of the node at the address. With a nil mux the node refuses connections.
func (n *network) serve(address string, mux *http.ServeMux) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.muxes[address] = mux
}

// cut cuts all links of the address in both directions, or restores them.
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

// networkTransport is a node's HTTP transport over the network.
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

// faultyFiles is the disk with switches that make writes or syncs fail.
type faultyFiles struct {
	wal.Disk
	isFull atomic.Bool
	// fullFor makes the writes to files fail whose path contains the string, unless that is empty.
	fullFor   atomic.Value
	syncsFail atomic.Bool
	syncCalls atomic.Int64
	// syncTime is how long each sync takes, in nanoseconds.
	syncTime atomic.Int64
}

// Create implements wal.Files.
func (f *faultyFiles) Create(path string) (wal.File, error) {
	file, err := f.Disk.Create(path)
	return &faultyFile{file, f, path}, err
}

type faultyFile struct {
	wal.File
	disk *faultyFiles
	path string
}

// Write implements wal.File.
func (f *faultyFile) Write(data []byte) (int, error) {
	part, _ := f.disk.fullFor.Load().(string)
	if f.disk.isFull.Load() || part != "" && strings.Contains(f.path, part) {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// Sync implements wal.File.
func (f *faultyFile) Sync() error {
	f.disk.syncCalls.Add(1)
	time.Sleep(time.Duration(f.disk.syncTime.Load()))
	if f.disk.syncsFail.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// byteCounter counts the bytes that TCP connections transmit in both directions. It counts each byte for the caller's
// address and for the called one.
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

// transport returns the production transport with its connections counted for both ends.
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
