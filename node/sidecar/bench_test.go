package sidecar

import (
	"bytes"
	"encoding/hex"
	"io"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"flamingohall.example/core/target"
	"flamingohall.example/node/settings"
)

// sequence generates job ids.
type sequence struct{ next atomic.Uint64 }

func (s *sequence) job() string {
	var id target.JobID
	n := s.next.Add(1)
	for i := range 8 {
		id[i] = byte(n >> (8 * i))
	}
	return hex.EncodeToString(id[:])
}

func processTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure makes calls one after the other and reports the median and 99th percentile of their latency, and the CPU time
// of the whole process.
func measure(b *testing.B, call func()) {
	b.Helper()
	call()
	took := make([]time.Duration, 0, b.N)
	cpu := processTime()
	for b.Loop() {
		began := time.Now()
		call()
		took = append(took, time.Since(began))
	}
	report(b, cpu)
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}

func report(b *testing.B, cpu time.Duration) {
	b.ReportMetric(float64((processTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/task")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
}

// callPaths returns a direct call to the stand-in and a call through the sidecar. Both take 0 ms at the target.
func callPaths(b *testing.B, slots int) map[string]func() {
	standIn, _ := startTarget(b, settings.StandIn{Slots: slots, Ledger: "/dev/null"})
	bed := startSidecar(b, settings.Sidecar{TargetURL: "http://" + standIn.Addr(), Slots: slots, Queue: 1000})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}}
	jobs := &sequence{}
	direct := func() {
		response, err := client.Post("http://"+standIn.Addr()+taskPath+jobs.job()+"-0", "application/json",
			bytes.NewReader([]byte(quick)))
		if err != nil || response.StatusCode != http.StatusOK {
			b.Error(response, err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	through := func() {
		request := repeatableRequest(bed, 1, quick)
		request.JobId = jobs.job()
		if response, err := bed.client.Run(b.Context(), request); err != nil ||
			response.GetOutcomes()[0].GetResult() == nil {
			b.Error(response, err)
		}
	}
	return map[string]func(){"direct": direct, "sidecar": through}
}

func BenchmarkIdle(b *testing.B) {
	for name, call := range callPaths(b, 8) {
		b.Run(name, func(b *testing.B) { measure(b, call) })
	}
}

func BenchmarkBusy(b *testing.B) {
	for name, call := range callPaths(b, 64) {
		b.Run(name, func(b *testing.B) {
			cpu := processTime()
			b.SetParallelism(max(1, 32/runtime.GOMAXPROCS(0)))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					call()
				}
			})
			report(b, cpu)
		})
	}
}

// BenchmarkJob sends jobs of 100 tasks, each in one message.
func BenchmarkJob(b *testing.B) {
	standIn, _ := startTarget(b, settings.StandIn{Slots: 8, Ledger: "/dev/null"})
	bed := startSidecar(b, settings.Sidecar{TargetURL: "http://" + standIn.Addr(), Slots: 8, Queue: 1000})
	jobs := &sequence{}
	cpu := processTime()
	for b.Loop() {
		request := repeatableRequest(bed, 100, quick)
		request.JobId = jobs.job()
		mustRun(b, bed, request)
	}
	b.ReportMetric(float64((processTime()-cpu).Microseconds())/float64(100*b.N), "cpu-µs/task")
	b.ReportMetric(float64(100*b.N)/b.Elapsed().Seconds(), "tasks/s")
}

// residentMB returns the process's resident memory as reported by the kernel, in MiB.
func residentMB(b *testing.B) float64 {
	b.Helper()
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); fields[0] == "VmRSS:" {
			kilobytes, err := strconv.Atoi(fields[1])
			if err != nil {
				b.Fatal(err)
			}
			return float64(kilobytes) / 1024
		}
	}
	return 0
}

// BenchmarkResident stores 100,000 outcomes and reports the resident memory of the process, which includes the caller
// and the stand-in. Run it with -benchtime 1x.
func BenchmarkResident(b *testing.B) {
	const outcomes = 100_000
	for _, size := range []int{1, 10} {
		b.Run(strconv.Itoa(size)+"-task-jobs", func(b *testing.B) {
			standIn, _ := startTarget(b, settings.StandIn{Slots: 8, Ledger: "/dev/null"})
			bed := startSidecar(b, settings.Sidecar{
				TargetURL: "http://" + standIn.Addr(), Slots: 8, Queue: 1000, OutcomeMemoryMB: 64,
			})
			jobs := &sequence{}
			for b.Loop() {
				for range outcomes / size {
					request := neverRepeatedRequest(bed, size, quick)
					request.JobId = jobs.job()
					mustRun(b, bed, request)
				}
			}
			b.ReportMetric(residentMB(b), "resident-MB")
			b.ReportMetric(float64(bed.snapshot.remembered.Load()), "outcomes")
			b.ReportMetric(float64(bed.snapshot.bytes.Load())/(1<<20), "charged-MB")
		})
	}
}
