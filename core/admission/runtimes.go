package admission

import (
	"slices"
	"time"
)

const (
	// sampleCount is how many of the latest runs are kept for each catalogue entry.
	sampleCount = 128
	// sortEvery is how many observations pass before the quantiles are recomputed.
	sortEvery = 16
	// minSamples is how many runs must be observed before they replace the declared time.
	minSamples = 8
)

// RunTimes learns how long tasks run. Declared times are priors: it keeps the ratios of observed to declared time and
// uses their quantiles, so that a few outliers have little effect.
type RunTimes struct {
	entries map[string]*samples
}

type samples struct {
	ratios   []float64
	next     int
	unsorted int
	sorted   []float64
}

// NewRunTimes returns a RunTimes without observations.
func NewRunTimes() *RunTimes {
	return &RunTimes{entries: map[string]*samples{}}
}

// Observe adds the run time of one task of a catalogue entry.
func (r *RunTimes) Observe(entry string, declared, observed time.Duration) {
	if declared <= 0 || observed < 0 {
		return
	}
	s := r.entries[entry]
	if s == nil {
		s = &samples{}
		r.entries[entry] = s
	}
	s.add(float64(observed) / float64(declared))
}

func (s *samples) add(ratio float64) {
	if len(s.ratios) < sampleCount {
		s.ratios = append(s.ratios, ratio)
	} else {
		s.ratios[s.next] = ratio
		s.next = (s.next + 1) % sampleCount
	}
	s.unsorted++
	if s.unsorted >= sortEvery || len(s.ratios) == minSamples {
		s.unsorted = 0
		s.sorted = append(s.sorted[:0], s.ratios...)
		slices.Sort(s.sorted)
	}
}

// Quantile returns the run time that the given share of the tasks does not exceed, scaled to the declared time.
func (r *RunTimes) Quantile(entry string, declared time.Duration, share float64) time.Duration {
	s := r.entries[entry]
	if s == nil || len(s.sorted) < minSamples {
		return declared
	}
	at := min(len(s.sorted)-1, int(share*float64(len(s.sorted))))
	return time.Duration(float64(declared) * s.sorted[at])
}

// trimmedPart defines how many of the longest runs the mean leaves out: one in trimmedPart.
const trimmedPart = 20

// Mean returns the mean run time without the longest runs, scaled to the declared time. It estimates the total time of a
// queue of tasks, which the median underestimates where most tasks are short.
func (r *RunTimes) Mean(entry string, declared time.Duration) time.Duration {
	s := r.entries[entry]
	if s == nil || len(s.sorted) < minSamples {
		return declared
	}
	kept := s.sorted[:len(s.sorted)-len(s.sorted)/trimmedPart]
	sum := 0.0
	for _, ratio := range kept {
		sum += ratio
	}
	return time.Duration(float64(declared) * sum / float64(len(kept)))
}

// IsLearned reports whether enough runs were observed to rely on.
func (r *RunTimes) IsLearned(entry string) bool {
	s := r.entries[entry]
	return s != nil && len(s.sorted) >= minSamples
}
