package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/rpc"
)

// Sizes of the target deployment.
const (
	scaleTargets = 500
	scaleEntries = 30
	scaleVMs     = 5
	scaleSeconds = 20
)

// meter counts the bytes of one VM's connections by service, and its Sync calls.
type meter struct {
	follower atomic.Int64
	digest   atomic.Int64
	replica  atomic.Int64
	syncs    atomic.Int64
}

// meteredConn counts the bytes of both directions for the service of its first request.
type meteredConn struct {
	net.Conn
	waiting atomic.Int64
	counter atomic.Pointer[atomic.Int64]
}

func (c *meteredConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.add(int64(count))
	return count, err
}

func (c *meteredConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.add(int64(count))
	return count, err
}

func (c *meteredConn) add(count int64) {
	if counter := c.counter.Load(); counter != nil {
		counter.Add(count)
		return
	}
	c.waiting.Add(count)
}

type meteredListener struct{ net.Listener }

func (l meteredListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: connection}, nil
}

type connKey struct{}

// metered returns a server for the handler that attributes the connections' bytes to the counters of m.
func metered(handler http.Handler, m *meter) *http.Server {
	handle := func(w http.ResponseWriter, r *http.Request) {
		connection := r.Context().Value(connKey{}).(*meteredConn)
		counter := &m.replica
		switch {
		case strings.HasSuffix(r.URL.Path, "/Digest"):
			counter = &m.digest
		case strings.HasPrefix(r.URL.Path, rpc.ControlPathPrefix):
			counter = &m.follower
			m.syncs.Add(1)
		}
		if connection.counter.CompareAndSwap(nil, counter) {
			counter.Add(connection.waiting.Load())
		}
		handler.ServeHTTP(w, r)
	}
	return &http.Server{
		Handler:     http.HandlerFunc(handle),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

// BenchmarkControl_FollowersAtTargetSize runs 530 followers on five control VMs over loopback. It reports the traffic
// of the busiest VM, and the time until a catalogue change is in force at all followers.
func BenchmarkControl_FollowersAtTargetSize(b *testing.B) {
	meters := make([]*meter, scaleVMs)
	for i := range meters {
		meters[i] = &meter{}
	}
	vms := newMeteredVMs(b, scaleVMs, 6*time.Second, meters)
	var addresses []string
	for _, v := range vms {
		addresses = append(addresses, v.file.Node.Listen)
	}
	followers := followAll(b, addresses)
	eventually(b, "all entries see all nodes", func() bool {
		for _, follower := range followers[:scaleEntries] {
			if view := follower.View(); view == nil || len(view.Nodes) != scaleTargets+scaleEntries {
				return false
			}
		}
		return true
	})
	time.Sleep(5 * time.Second)
	measureIdle(b, meters)
	measureChanges(b, vms, followers)
}

func followAll(b *testing.B, addresses []string) []*controlclient.Follower {
	b.Helper()
	c := &cluster{t: b}
	var followers []*controlclient.Follower
	for n := range scaleEntries {
		followers = append(followers, c.follow(constant(entryNode(fmt.Sprint("savinja-entry-", n), "0123456789abcdef")), addresses))
	}
	for n := range scaleTargets {
		node := sidecarNode(fmt.Sprint("celje-a-worker-", n), "0123456789abcdef")
		followers = append(followers, c.follow(constant(node), addresses))
	}
	return followers
}

func measureIdle(b *testing.B, meters []*meter) {
	b.Helper()
	type reading struct{ follower, digest, replica, syncs int64 }
	readAll := func() []reading {
		var all []reading
		for _, m := range meters {
			all = append(all, reading{m.follower.Load(), m.digest.Load(), m.replica.Load(), m.syncs.Load()})
		}
		return all
	}
	before, cpuBefore := readAll(), cpuSeconds()
	time.Sleep(scaleSeconds * time.Second)
	after, cpuAfter := readAll(), cpuSeconds()
	var worst, total reading
	for i := range after {
		now := reading{
			(after[i].follower - before[i].follower) / scaleSeconds, (after[i].digest - before[i].digest) / scaleSeconds,
			(after[i].replica - before[i].replica) / scaleSeconds, (after[i].syncs - before[i].syncs) / scaleSeconds,
		}
		total.syncs += now.syncs
		total.digest += now.digest
		b.Logf("VM %d: Sync %d B/s in %d calls/s, Digest in %d B/s, Replica in %d B/s", i, now.follower, now.syncs, now.digest, now.replica)
		if now.follower+now.digest > worst.follower+worst.digest {
			worst = now
		}
	}
	b.ReportMetric(float64(worst.follower), "worstSyncB/s")
	b.ReportMetric(float64(worst.digest), "worstDigestB/s")
	b.ReportMetric(float64(total.syncs), "allSyncs/s")
	b.ReportMetric((cpuAfter-cpuBefore)/scaleSeconds, "cores-of-all")
}

func measureChanges(b *testing.B, vms []*vm, followers []*controlclient.Follower) {
	b.Helper()
	const changes = 20
	var slowest, sum time.Duration
	for n := range changes {
		start := time.Now()
		revision := applyUntilAnswered(b, vms, fmt.Sprint("change-", n), uint64(n)).GetRevision()
		for _, follower := range followers {
			for follower.View().Revision < revision {
				<-follower.Changed()
			}
		}
		took := time.Since(start)
		sum += took
		slowest = max(slowest, took)
	}
	b.ReportMetric(float64(slowest.Milliseconds()), "slowestChange-ms")
	b.ReportMetric(float64((sum / changes).Milliseconds()), "meanChange-ms")
}

func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / float64(time.Second)
}
