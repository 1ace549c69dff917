package metrics

import (
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"
)

// bucketsMS are the upper bounds of a histogram's buckets in milliseconds: about three for each factor of ten, from the
// duration of a call within a VM to the longest deadline.
var bucketsMS = [...]int64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000}

// Histogram counts durations by size. It is safe for concurrent use, and Observe does not allocate.
type Histogram struct {
	// counts has one more bucket for durations above the last bound.
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

// histogramView is the published form of a histogram.
type histogramView struct {
	Count int64   `json:"count"`
	SumMS float64 `json:"sum_ms"`
	// AtMostMS maps each bound, in milliseconds, to the number of durations up to it. Durations above the last bound are in
	// Count only.
	AtMostMS map[string]int64 `json:"at_most_ms"`
}

// view returns the cumulative counts.
func (h *Histogram) view() histogramView {
	published := histogramView{AtMostMS: make(map[string]int64, len(bucketsMS)), SumMS: float64(h.sumUS.Load()) / 1000}
	for i := range h.counts {
		published.Count += h.counts[i].Load()
		if i < len(bucketsMS) {
			published.AtMostMS[strconv.FormatInt(bucketsMS[i], 10)] = published.Count
		}
	}
	return published
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
