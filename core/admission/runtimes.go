package admission

import (
	"slices"
	"time"
)

const (
	// sampleCount is how many of the latest runs are kept for each catalogue entry.
	sampleCount = 128
	// sortEvery is how many observations pass before the quantiles are worked out anew.
	sortEvery = 16
	// priorWeight is how many runs have to be seen before they replace the declared time.
	priorWeight = 8
)

// RunTimes learns how long tasks run. Declared times are priors: what is kept are the ratios of seen to declared time,
// of which quantiles are used, so that a few outliers change little.
type RunTimes struct {
	entries map[string]*samples
}

type samples struct {
	ratios []float64
	next   int
	fresh  int
	sorted []float64
}

// NewRunTimes returns an empty memory.
func NewRunTimes() *RunTimes {
	return &RunTimes{entries: map[string]*samples{}}
}

// Observe takes one run of an entry's task in.
func (r *RunTimes) Observe(entry string, declared, seen time.Duration) {
	if declared <= 0 || seen < 0 {
		return
	}
	s := r.entries[entry]
	if s == nil {
		s = &samples{}
		r.entries[entry] = s
	}
	s.add(float64(seen) / float64(declared))
}

func (s *samples) add(ratio float64) {
	if len(s.ratios) < sampleCount {
		s.ratios = append(s.ratios, ratio)
	} else {
		s.ratios[s.next] = ratio
		s.next = (s.next + 1) % sampleCount
	}
	s.fresh++
	if s.fresh >= sortEvery || len(s.ratios) == priorWeight {
		s.fresh = 0
		s.sorted = append(s.sorted[:0], s.ratios...)
		slices.Sort(s.sorted)
	}
}

// Quantile returns the run time that a share of the tasks stay below, scaled to the declared time.
func (r *RunTimes) Quantile(entry string, declared time.Duration, share float64) time.Duration {
	s := r.entries[entry]
	if s == nil || len(s.sorted) < priorWeight {
		return declared
	}
	at := min(len(s.sorted)-1, int(share*float64(len(s.sorted))))
	return time.Duration(float64(declared) * s.sorted[at])
}

// trimmedPart is the part of the longest runs that a mean leaves out: one in so many.
const trimmedPart = 20

// Mean returns the mean run time without the few longest runs, scaled to the declared time: what a queue of tasks
// takes together, which the median understates where most tasks are short.
func (r *RunTimes) Mean(entry string, declared time.Duration) time.Duration {
	s := r.entries[entry]
	if s == nil || len(s.sorted) < priorWeight {
		return declared
	}
	kept := s.sorted[:len(s.sorted)-len(s.sorted)/trimmedPart]
	sum := 0.0
	for _, ratio := range kept {
		sum += ratio
	}
	return time.Duration(float64(declared) * sum / float64(len(kept)))
}

// IsLearned reports whether enough runs were seen to go by.
func (r *RunTimes) IsLearned(entry string) bool {
	s := r.entries[entry]
	return s != nil && len(s.sorted) >= priorWeight
}
