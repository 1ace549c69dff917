package control

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
)

// BenchmarkControl_Claims measures the claim and finish of jobs by 1 and by 64 concurrent callers, on three control VMs
// over loopback that sync their logs to disk.
func BenchmarkControl_Claims(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprint("callers-", callers), func(b *testing.B) { benchmarkClaims(b, callers) })
	}
}

func benchmarkClaims(b *testing.B, callers int) {
	vms := newVMs(b, 3, testLease)
	var addresses []string
	for _, v := range vms {
		addresses = append(addresses, v.file.Node.Listen)
	}
	follower := controlclient.NewFollower(controlclient.Options{
		Addresses: addresses, Self: constant(entryNode("entry-1", "a")), Logger: logr.Discard(),
		Metrics: metrics.NewRole("follower", b.Name()),
	})
	follower.Start(b.Context())
	eventually(b, "the follower is served", func() bool { return follower.Ready() == nil })
	control := follower.Control()
	times := make([]time.Duration, b.N)
	jobs := make(chan int)
	var work sync.WaitGroup
	b.ResetTimer()
	for range callers {
		work.Go(func() {
			for job := range jobs {
				start := time.Now()
				answer, err := control.Claim(b.Context(), &rpc.ClaimRequest{
					JobId: fmt.Sprintf("%032x", job), Holder: "entry-1", HolderIncarnation: "a",
					Targets: []*rpc.ClaimTarget{{Id: "celje-a-worker-1", Incarnation: "0123456789abcdef"}},
				})
				times[job] = time.Since(start)
				if err != nil || answer.GetStatus() != rpc.ClaimStatus_CLAIM_STATUS_GRANTED {
					b.Errorf("claim: %v, %v", answer, err)
					continue
				}
				_, err = control.Finish(b.Context(), &rpc.FinishRequest{
					JobId: fmt.Sprintf("%032x", job), Epoch: answer.GetEpoch(), Answer: make([]byte, 512),
				})
				if err != nil {
					b.Errorf("finish: %v", err)
				}
			}
		})
	}
	for job := range b.N {
		jobs <- job
	}
	close(jobs)
	work.Wait()
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "claim-p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "claim-p99-us")
}
