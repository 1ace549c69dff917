package burn

import (
	"time"
	"unsafe"
)

// Bounds of a Recorder's memory.
const (
	// MaxPairs bounds the pairs of entry and owner that are counted apart. Further ones are counted as Other.
	MaxPairs = 4096
	// BytesPerPair is the memory of one pair's counters, without its names: about 2 KB.
	BytesPerPair = int(unsafe.Sizeof(counters{}))
	// Other is the entry and owner under which the pairs beyond MaxPairs are counted.
	Other = "(other)"
)

// Lengths of the windows, shortest first.
const (
	shortWindow  = 5 * time.Minute
	hourWindow   = time.Hour
	dayWindow    = 6 * time.Hour
	budgetWindow = 3 * 24 * time.Hour
)

// WindowCount is the number of windows of a row.
const WindowCount = 4

// windows are the lengths by position in counters.
var windows = [WindowCount]time.Duration{shortWindow, hourWindow, dayWindow, budgetWindow}

// Positions in windows.
const (
	shortIndex = iota
	hourIndex
	dayIndex
	budgetIndex
)

// pair names what is counted apart.
type pair struct {
	entry string
	owner string
}

// counters are the rings of one pair, one for each window.
type counters [WindowCount]ring

// Recorder counts submissions for each pair of catalogue entry and owner. The zero value is not usable: call
// NewRecorder.
type Recorder struct {
	pairs map[pair]*counters
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{pairs: map[pair]*counters{}}
}

// Record counts one finished submission of that catalogue entry and owner.
func (r *Recorder) Record(now time.Time, entry, owner string, good bool) {
	found := r.counters(now, pair{entry: entry, owner: owner})
	for i, window := range windows {
		found[i].add(numberAt(now, window), good)
	}
}

// Pairs returns the number of pairs that are counted apart.
func (r *Recorder) Pairs() int {
	return len(r.pairs)
}

// counters returns the counters of a pair and makes them on first use.
func (r *Recorder) counters(now time.Time, key pair) *counters {
	if found := r.pairs[key]; found != nil {
		return found
	}
	if len(r.pairs) >= MaxPairs {
		r.forgetIdle(now)
	}
	if len(r.pairs) >= MaxPairs {
		key = pair{entry: Other, owner: Other}
	}
	if found := r.pairs[key]; found != nil {
		return found
	}
	made := new(counters)
	r.pairs[key] = made
	return made
}

// forgetIdle drops the pairs that saw nothing within the longest window.
func (r *Recorder) forgetIdle(now time.Time) {
	number := numberAt(now, budgetWindow)
	for key, found := range r.pairs {
		if found[budgetIndex].idle(number) {
			delete(r.pairs, key)
		}
	}
}
