package replica

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// newDiskCluster starts nodes that communicate over TCP. Their data folders are in the folder that the environment
// variable BENCH_FOLDER names, or in the temporary one.
func newDiskCluster(b *testing.B, size int) *cluster {
	b.Helper()
	c := makeCluster(b, size, nil)
	if parent := os.Getenv("BENCH_FOLDER"); parent != "" {
		for _, n := range c.nodes {
			folder, err := os.MkdirTemp(parent, n.id)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = os.RemoveAll(folder) })
			n.folder = folder
		}
	}
	c.start()
	c.leader().propose("first")
	return c
}

func reportDurations(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "max-ms")
}

// BenchmarkPropose measures proposals of 200 bytes from several concurrent callers.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		for _, where := range []string{"leader", "follower"} {
			b.Run(fmt.Sprintf("callers=%d/at=%s", callers, where), func(b *testing.B) {
				c := newDiskCluster(b, 3)
				at := c.leader()
				if where == "follower" {
					at = c.follower()
				}
				propose := func() error {
					_, _, err := at.group.Propose(context.Background(), make([]byte, 200))
					return err
				}
				b.ResetTimer()
				reportDurations(b, callDurations(b, callers, propose))
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			})
		}
	}
}

// BenchmarkConfirm measures confirmed reads from 16 concurrent callers.
func BenchmarkConfirm(b *testing.B) {
	for _, where := range []string{"leader", "follower"} {
		b.Run("at="+where, func(b *testing.B) {
			c := newDiskCluster(b, 3)
			at := c.leader()
			if where == "follower" {
				at = c.follower()
			}
			confirm := func() error {
				_, err := at.group.Confirm(context.Background())
				return err
			}
			b.ResetTimer()
			reportDurations(b, callDurations(b, 16, confirm))
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
		})
	}
}

// callDurations makes b.N calls in total from the given number of goroutines, and returns the duration of each call.
func callDurations(b *testing.B, callers int, call func() error) []time.Duration {
	var work sync.WaitGroup
	var mutex sync.Mutex
	var times []time.Duration
	var failure error
	left := b.N
	for range callers {
		work.Go(func() {
			for {
				mutex.Lock()
				left--
				isDone := left < 0
				mutex.Unlock()
				if isDone {
					return
				}
				began := time.Now()
				err := call()
				took := time.Since(began)
				mutex.Lock()
				times = append(times, took)
				failure = errors.Join(failure, err)
				mutex.Unlock()
			}
		})
	}
	work.Wait()
	if failure != nil {
		b.Fatal(failure)
	}
	return times
}

// BenchmarkLeaderFailure measures the time from the end of a leader that does not transfer leadership until the next
// command is applied.
func BenchmarkLeaderFailure(b *testing.B) {
	measureLeaderChange(b, func(old *node) { old.kill() })
}

// BenchmarkLeadershipTransfer measures the same for a leader that is stopped and transfers leadership.
func BenchmarkLeadershipTransfer(b *testing.B) {
	measureLeaderChange(b, func(old *node) {
		_ = old.group.Stop(context.Background())
		old.stopListening()
		old.group = nil
	})
}

func measureLeaderChange(b *testing.B, end func(*node)) {
	c := newDiskCluster(b, 3)
	var times []time.Duration
	for b.Loop() {
		old := c.leader()
		caller := c.follower()
		began := time.Now()
		end(old)
		caller.propose("after")
		times = append(times, time.Since(began))
		old.start()
		c.leader()
	}
	reportDurations(b, times)
}

// BenchmarkIdle measures the traffic of an idle group's leader in both directions, headers included.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{3, 5, 8} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			c := makeCluster(b, size, nil)
			counter := &byteCounter{}
			c.counter = counter
			c.start()
			c.leader()
			time.Sleep(time.Second)
			before := counter.of(c.leader().address)
			began := time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			perSecond := float64(counter.of(c.leader().address)-before) / time.Since(began).Seconds()
			b.ReportMetric(perSecond, "leader-bytes/s")
		})
	}
}
