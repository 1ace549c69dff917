package sidecar

import (
	"os"
	"runtime/debug"

	"flamingohall.example/node/settings"
)

// heapGrowthPercent is how much the heap of a lone sidecar may grow between two collections. Remembered outcomes hold
// no pointers, so that a collection costs little.
const heapGrowthPercent = 40

// limitHeap makes the collector keep the heap small when the sidecar is alone in its process. What the environment
// sets stands.
func limitHeap(file *settings.File) {
	alone := file.Entry == nil && file.Control == nil && file.StandIn == nil
	if _, set := os.LookupEnv("GOGC"); alone && !set {
		debug.SetGCPercent(heapGrowthPercent)
	}
}
