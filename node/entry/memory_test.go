package entry

import (
	"runtime"
	"strings"
	"testing"
	"unsafe"

	"flamingohall.example/core/catalogue"
)

// Guards against bodies within the limit that become many times their size in memory.
func TestSubmission_DecodingAllocatesAFewTimesItsBodyAndTheLargestJob(t *testing.T) {
	const (
		size = 1 << 20
		// The decoder doubles its copy of the body until it fits, and copies payloads once more.
		perByte = 8
		largest = catalogue.MaxTasksPerJob * int(unsafe.Sizeof(taskSubmission{}))
	)
	for name, element := range map[string]string{"empty tasks": "{},", "null tasks": "null,", "numbers as tasks": "0,"} {
		text := []byte(`{"owner":"o","entry":"e","key":"k","tasks":[` + strings.Repeat(element, size/len(element)) + `{}]}`)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := decodeSubmission(text)
		runtime.ReadMemStats(&after)
		used := int(after.TotalAlloc - before.TotalAlloc)
		t.Logf("%s: %d bytes allocate %d", name, len(text), used)
		if err == nil {
			t.Errorf("%s: accepted", name)
		}
		if limit := perByte*len(text) + largest; used > limit {
			t.Errorf("%s: %d bytes allocate %d, limit %d", name, len(text), used, limit)
		}
	}
}
