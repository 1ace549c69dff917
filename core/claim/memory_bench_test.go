package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkTable_FullMemory fills a table to its default limits and reports its memory use.
func BenchmarkTable_FullMemory(b *testing.B) {
	live := func(string, string) bool { return true }
	for range b.N {
		before := heapBytes()
		table := NewTable(DefaultLimits)
		n := 0
		for ; ; n++ {
			digest := sha256.Sum256(fmt.Append(nil, n))
			request := Request{
				Job: hex.EncodeToString(digest[:16]), Holder: "savinja-entry-1", Incarnation: "0123456789abcdef",
				Digest: digest[:], Targets: []Target{{ID: "celje-a-worker-1", Incarnation: "0123456789abcdef"}},
			}
			answer := table.Claim(request, uint64(n+1), 0, live)
			if answer.Status == Full {
				break
			}
			table.Finish(Finish{Job: request.Job, Epoch: answer.Epoch, Body: make([]byte, 512)}, 0)
		}
		held := heapBytes() - before
		b.ReportMetric(float64(n), "jobs")
		b.ReportMetric(float64(held)/(1<<20), "MiB")
		b.ReportMetric(float64(table.recordBytes+table.answerBytes)/(1<<20), "countedMiB")
		runtime.KeepAlive(table)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
