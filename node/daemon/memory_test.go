package daemon

import (
	"math"
	"runtime/debug"
	"testing"

	"flamingohall.example/node/settings"
)

// TestLimitMemory_RuntimeKnowsTheMemoryOfTheProcess guards against garbage that grows past the memory: the heap of an entry may be three times what is in use.
func TestLimitMemory_RuntimeKnowsTheMemoryOfTheProcess(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	for _, memoryMB := range []int{0, 152} {
		debug.SetMemoryLimit(math.MaxInt64)
		node := settings.Node{MemoryMB: memoryMB}
		limitMemory(node)
		if got := debug.SetMemoryLimit(-1); got >= node.Intake().Memory || got < node.Intake().Memory/2 {
			t.Errorf("memory_mb %d: limit %d of %d bytes", memoryMB, got, node.Intake().Memory)
		}
	}
	t.Setenv(memoryVariable, "1GiB")
	debug.SetMemoryLimit(12345)
	if limitMemory(settings.Node{}); debug.SetMemoryLimit(-1) != 12345 {
		t.Error("the limit of the environment is overridden")
	}
}
