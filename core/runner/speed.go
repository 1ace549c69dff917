package runner

import "math"

const (
	// minSpeedRuns is the number of runs from which a speed is reported. Declared run times are wrong by a factor of 1.5, and
	// their mean over eight runs by about 15%.
	minSpeedRuns = 8
	// speedWeight is the least weight of a new run, so that the mean follows a worker that becomes faster or slower.
	speedWeight = 0.025
	// minSpeedRatio and maxSpeedRatio bound what a single run contributes, as for the speeds that entries learn. A task that takes many
	// times its declared time says little about the worker.
	minSpeedRatio = 0.25
	maxSpeedRatio = 2
	// speedStep is the rounding step of the speed in percent; it is below the error of the mean.
	speedStep = 5
)

// measuredSpeed is the mean speed of a worker, from the completed runs of all entries in one incarnation of the worker. An entry alone
// would need many seconds to learn it from its own few tasks there, and so would every new entry.
type measuredSpeed struct {
	// logRatio is the mean of the logarithm of expected over actual run times.
	logRatio float64
	runs     int
}

func (m *measuredSpeed) add(expectedMS, ranMS int64) {
	if expectedMS <= 0 || ranMS <= 0 {
		return
	}
	ratio := min(maxSpeedRatio, max(minSpeedRatio, float64(expectedMS)/float64(ranMS)))
	m.runs++
	m.logRatio += max(1/float64(m.runs), speedWeight) * (math.Log(ratio) - m.logRatio)
}

// percent returns the speed in percent, 0 if it is not known yet.
func (m *measuredSpeed) percent() int64 {
	if m.runs < minSpeedRuns {
		return 0
	}
	return int64(math.Round(100*math.Exp(m.logRatio)/speedStep)) * speedStep
}
