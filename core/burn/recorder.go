package burn

import (
	"time"
	"unsafe"
)

// Limits of a Recorder's memory.
const (
	// MaxPairs is the number of pairs of entry and owner that are counted separately. Further ones are counted as Other.
	MaxPairs = 4096
	// BytesPerPair is the size of one pair's counters in bytes, without its names: about 2 KB.
	BytesPerPair = int(unsafe.Sizeof(counters{}))
	// Other is the entry and owner under which the pairs beyond MaxPairs are counted.
	Other = "(other)"
)

// Lengths of the windows, shortest first.
const (
	fiveMinuteWindow = 5 * time.Minute
	hourWindow       = time.Hour
	sixHourWindow    = 6 * time.Hour
	threeDayWindow   = 3 * 24 * time.Hour
)

// WindowCount is the number of windows of a row.
const WindowCount = 4

// windows are the window lengths, indexed like counters.
var windows = [WindowCount]time.Duration{fiveMinuteWindow, hourWindow, sixHourWindow, threeDayWindow}

// Indexes into windows and counters.
const (
	fiveMinuteIndex = iota
	hourIndex
	sixHourIndex
	threeDayIndex
)

// pair is the key under which submissions are counted.
type pair struct {
	entry string
	owner string
}

// counters holds the rings of one pair, one for each window.
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

// Record counts one finished submission of a catalogue entry and owner.
func (r *Recorder) Record(now time.Time, entry, owner string, good bool) {
	rings := r.counters(now, pair{entry: entry, owner: owner})
	for i, window := range windows {
		rings[i].add(bucketNumber(now, window), good)
	}
}

// Pairs returns the number of pairs that are counted separately, with Other as one of them.
func (r *Recorder) Pairs() int {
	return len(r.pairs)
}

// counters returns the counters of a pair and creates them on first use. Beyond MaxPairs it returns those of Other.
func (r *Recorder) counters(now time.Time, key pair) *counters {
	if rings := r.pairs[key]; rings != nil {
		return rings
	}
	if len(r.pairs) >= MaxPairs {
		r.forgetIdle(now)
	}
	if len(r.pairs) >= MaxPairs {
		key = pair{entry: Other, owner: Other}
	}
	if rings := r.pairs[key]; rings != nil {
		return rings
	}
	created := new(counters)
	r.pairs[key] = created
	return created
}

// forgetIdle removes the pairs without a submission within the longest window.
func (r *Recorder) forgetIdle(now time.Time) {
	number := bucketNumber(now, threeDayWindow)
	for key, rings := range r.pairs {
		if rings[threeDayIndex].idle(number) {
			delete(r.pairs, key)
		}
	}
}
