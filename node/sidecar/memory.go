package sidecar

import (
	"math"
	"runtime/debug"

	"flamingohall.example/node/settings"
)

// processBytes is the memory that the process needs besides its outcomes, in bytes.
const processBytes = 10 << 20

// limitMemory makes the collector work for a small heap when the sidecar is alone in its process. A limit that the
// environment sets stands.
func limitMemory(file *settings.File) {
	alone := file.Entry == nil && file.Control == nil && file.StandIn == nil
	if alone && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(processBytes + int64(file.Sidecar.OutcomeMemoryMB)<<20)
	}
}
