package metrics

import (
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"
)

// bucketsMS are the upper bounds of a histogram's buckets in milliseconds: about three to a factor of ten, from a call
// within a VM up to the longest deadline.
var bucketsMS = [...]int64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000}

// Histogram counts durations by size. It is safe for concurrent use, and Observe does not allocate.
type Histogram struct {
	// counts has one bucket more for what is beyond the last bound.
	counts [len(bucketsMS) + 1]atomic.Int64
	sumUS  atomic.Int64
}

// Observe adds one duration.
func (h *Histogram) Observe(d time.Duration) {
	bucket := 0
	for bucket < len(bucketsMS) && d > time.Duration(bucketsMS[bucket])*time.Millisecond {
		bucket++
	}
	h.counts[bucket].Add(1)
	h.sumUS.Add(d.Microseconds())
}

// histogramView is how a histogram is published.
type histogramView struct {
	Count int64   `json:"count"`
	SumMS float64 `json:"sum_ms"`
	// AtMostMS counts durations up to a bound in milliseconds; what is above the last bound is in Count alone.
	AtMostMS map[string]int64 `json:"at_most_ms"`
}

// view returns the counts, each bucket with those below it.
func (h *Histogram) view() histogramView {
	made := histogramView{AtMostMS: make(map[string]int64, len(bucketsMS)), SumMS: float64(h.sumUS.Load()) / 1000}
	for i := range h.counts {
		made.Count += h.counts[i].Load()
		if i < len(bucketsMS) {
			made.AtMostMS[strconv.FormatInt(bucketsMS[i], 10)] = made.Count
		}
	}
	return made
}

// String returns the histogram as JSON.
func (h *Histogram) String() string {
	text, err := json.Marshal(h.view())
	if err != nil {
		return strconv.Quote(err.Error())
	}
	return string(text)
}

// Histogram publishes a histogram under a name.
func (r *Role) Histogram(name string, histogram *Histogram) {
	r.values.Set(name, histogram)
}
