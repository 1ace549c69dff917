package replica

import (
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

// route is a node's way into the network.
type route struct {
	network *network
	from    string
}

// RoundTrip implements http.RoundTripper.
func (r *route) RoundTrip(request *http.Request) (*http.Response, error) {
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
