// Package partition chooses the workers that an entry keeps sessions with. Load pattern: hundreds of workers and tens of
// entries, where a session of each entry with each worker costs more messages and wake-ups than the tasks.
package partition

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// minWorkers is the least number of workers of an entry, where there are as many: enough to sample from, and for the
	// tasks of a wide job.
	minWorkers = 40
	// shareFactor is how many times its equal share of the workers an entry has at least, because callers are spread unevenly
	// over the entries.
	shareFactor = 8
	// minOfKind is the least number of workers of each kind, where there are as many.
	minOfKind = 2
	// surplusFactor is how far the open sessions may exceed the entry's part before some are closed.
	surplusFactor = 1.25
)

// Worker is a registered worker.
type Worker struct {
	ID string
	// Kind is equal for workers that can run the same tasks equally well: those of one pool with the same labels.
	Kind string
}

// Size returns how many of the workers an entry has, if there are that many entries.
func Size(workers, entries int) int {
	size := max(minWorkers, int(math.Ceil(shareFactor*float64(workers)/float64(max(1, entries)))))
	return min(workers, size)
}

// Choose returns the IDs of the workers of one entry: a sample that differs for each entry and to which each kind contributes
// minOfKind workers at least, so that a lost zone or rack leaves every entry others. A worker that joins or leaves changes few
// of them.
func Choose(entry string, entries int, workers []Worker) map[string]bool {
	ranked := slices.Clone(workers)
	slices.SortFunc(ranked, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(rank(entry, a.ID), rank(entry, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	size := Size(len(workers), entries)
	chosen := make(map[string]bool, size)
	ofKind := map[string]int{}
	for i, w := range ranked {
		if i < size || ofKind[w.Kind] < minOfKind {
			chosen[w.ID] = true
			ofKind[w.Kind]++
		}
	}
	return chosen
}

// rank orders the workers differently for each entry, and equally at each call.
func rank(entry, worker string) uint64 {
	sum := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = sum.Write([]byte(entry))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(worker))
	return mix(sum.Sum64())
}

// mix spreads the differences of similar names over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Surplus returns the open sessions to close: none while there are few more than chosen, so that changes of the registry end
// no session in use, and then those that are neither chosen nor busy.
func Surplus(open []string, chosen, busy map[string]bool) []string {
	if float64(len(open)) <= surplusFactor*float64(len(chosen)) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(open), func(id string) bool { return chosen[id] || busy[id] })
}
