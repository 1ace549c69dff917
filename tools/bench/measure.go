package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Resolution of the histograms.
const (
	histogramDigits = 3
	// maxMicroseconds is the longest time that is told apart: an hour.
	maxMicroseconds = int64(time.Hour / time.Microsecond)
	// slowdownUnit is the part of 1 in which slowdowns are recorded.
	slowdownUnit = 10_000
	maxSlowdown  = 100_000 * slowdownUnit
	maxSamples   = 5
)

// histogram records whole numbers and tells quantiles in units of their own.
type histogram struct {
	inner *hdrhistogram.Histogram
	unit  float64
}

func newTimes() *histogram {
	return &histogram{inner: hdrhistogram.New(1, maxMicroseconds, histogramDigits), unit: 1}
}

func newSlowdowns() *histogram {
	return &histogram{inner: hdrhistogram.New(1, maxSlowdown, histogramDigits), unit: slowdownUnit}
}

// add records a value; one beyond the range counts as the range's end.
func (h *histogram) add(value int64) {
	_ = h.inner.RecordValue(min(max(value, 1), h.inner.HighestTrackableValue()))
}

func (h *histogram) quantiles() Quantiles {
	if h.inner.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(q float64) float64 { return float64(h.inner.ValueAtQuantile(q)) / h.unit }
	return Quantiles{
		Count: h.inner.TotalCount(),
		Mean:  h.inner.Mean() / h.unit,
		P50:   at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: float64(h.inner.Max()) / h.unit,
	}
}

// tally adds up the observations of a class.
type tally struct {
	result    ClassResult
	response  *histogram
	slowdown  *histogram
	refusal   *histogram
	claimTime *histogram
	waitTime  *histogram
}

func newTally(class string) *tally {
	return &tally{
		result:   ClassResult{Class: class, Endings: map[string]int{}},
		response: newTimes(), slowdown: newSlowdowns(), refusal: newTimes(), claimTime: newTimes(), waitTime: newTimes(),
	}
}

func (t *tally) add(seen observation) {
	t.result.Sent++
	t.result.Endings[string(seen.ending)]++
	switch seen.ending {
	case complete:
		t.result.TasksDone += len(seen.answer.Tasks)
		t.response.add(seen.response.Microseconds())
		t.slowdown.add(slowdown(seen))
		t.claimTime.add(seen.answer.Timing.ClaimUS)
		t.waitTime.add(seen.answer.Timing.WaitUS)
		return
	case refused:
		t.refusal.add(seen.response.Microseconds())
		if !seen.retryAfter {
			t.result.RefusedWithoutRetryAfter++
		}
	}
	if len(t.result.Samples) < maxSamples && seen.message != "" {
		t.result.Samples = append(t.result.Samples, string(seen.ending)+": "+seen.message)
	}
}

// slowdown returns the response time over the ideal, in parts of slowdownUnit.
func slowdown(seen observation) int64 {
	ideal := max(seen.planned.Ideal, time.Microsecond)
	return int64(slowdownUnit * float64(seen.response) / float64(ideal))
}

func (t *tally) finish(measured time.Duration) ClassResult {
	t.result.ResponseUS = t.response.quantiles()
	t.result.Slowdown = t.slowdown.quantiles()
	t.result.RefusalUS = t.refusal.quantiles()
	t.result.ClaimUS = t.claimTime.quantiles()
	t.result.WaitUS = t.waitTime.quantiles()
	if measured > 0 {
		t.result.TasksPerSecond = float64(t.result.TasksDone) / measured.Seconds()
	}
	return t.result
}

// measure fills in what the callers saw.
func (r *Result) measure(scenario *Scenario, observations []observation) {
	measured := scenario.Duration() - time.Duration(scenario.WarmUpMS)*time.Millisecond
	r.MeasuredMS = measured.Milliseconds()
	all := newTally("all")
	tallies := make([]*tally, len(scenario.Classes))
	for i, class := range scenario.Classes {
		tallies[i] = newTally(class.Name)
	}
	late := newTimes()
	for _, seen := range observations {
		late.add(seen.sendDelay.Microseconds())
		if seen.ending == wrong {
			r.Callers.WrongAnswers++
		}
		if !seen.planned.Measured {
			continue
		}
		all.add(seen)
		tallies[seen.planned.Class].add(seen)
	}
	r.Callers.Submissions = int64(len(observations))
	r.Callers.SendDelayUS = late.quantiles()
	r.All = all.finish(measured)
	for _, t := range tallies {
		r.Classes = append(r.Classes, t.finish(measured))
	}
	r.Seconds = bySecond(scenario, observations)
}

// bySecond groups all observations by the second of their intended time.
func bySecond(scenario *Scenario, observations []observation) []Second {
	seconds := make([]Second, int(scenario.Duration()/time.Second)+1)
	slowdowns := make([]*histogram, len(seconds))
	for i := range seconds {
		seconds[i].At = i
		slowdowns[i] = newSlowdowns()
	}
	for _, seen := range observations {
		i := int(seen.planned.At / time.Second)
		seconds[i].Sent++
		switch seen.ending {
		case complete:
			seconds[i].Complete++
			slowdowns[i].add(slowdown(seen))
		case refused:
			seconds[i].Refused++
		default:
			seconds[i].OtherEnding++
		}
	}
	for i := range seconds {
		quantiles := slowdowns[i].quantiles()
		seconds[i].SlowdownP50, seconds[i].SlowdownP99 = quantiles.P50, quantiles.P99
	}
	return seconds
}
