package sidecar

import (
	"os"
	"runtime/debug"

	"flamingohall.example/node/settings"
)

// heapGrowthPercent is how much the heap may grow between two collections when the sidecar is the only role. Stored
// outcomes hold no pointers, so a collection is cheap.
const heapGrowthPercent = 40

// limitHeap makes the collector keep the heap small when the sidecar is the only role of its process. The environment
// variable GOGC takes precedence.
func limitHeap(file *settings.File) {
	isOnlyRole := file.Entry == nil && file.Control == nil && file.StandIn == nil
	if _, set := os.LookupEnv("GOGC"); isOnlyRole && !set {
		debug.SetGCPercent(heapGrowthPercent)
	}
}
