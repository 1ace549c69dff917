package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Resolution and range of the histograms.
const (
	histogramDigits = 3
	// maxMicroseconds is the longest time that a histogram records: one hour. Longer times count as this.
	maxMicroseconds = int64(time.Hour / time.Microsecond)
	// slowdownUnit is the scale of recorded slowdowns: they are stored as multiples of 1/slowdownUnit.
	slowdownUnit = 10_000
	maxSlowdown  = 100_000 * slowdownUnit
	// maxSamples bounds the sample messages of a class and the examples of a ledger.
	maxSamples = 5
)

// histogram records integers and returns their quantiles divided by unit.
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

// add records a value, clamped to the range of the histogram.
func (h *histogram) add(value int64) {
	// RecordValue fails only for a value outside that range.
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

// tally accumulates the observations of a class.
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

func (t *tally) add(obs observation) {
	t.result.Sent++
	t.result.Endings[string(obs.ending)]++
	switch obs.ending {
	case complete:
		t.result.TasksDone += len(obs.answer.Tasks)
		t.response.add(obs.response.Microseconds())
		t.slowdown.add(slowdown(obs))
		t.claimTime.add(obs.answer.Timing.ClaimUS)
		t.waitTime.add(obs.answer.Timing.WaitUS)
		return
	case refused:
		t.refusal.add(obs.response.Microseconds())
		if !obs.retryAfter {
			t.result.RefusedWithoutRetryAfter++
		}
	}
	if len(t.result.Samples) < maxSamples && obs.message != "" {
		t.result.Samples = append(t.result.Samples, string(obs.ending)+": "+obs.message)
	}
}

// slowdown returns the response time divided by the ideal, as a multiple of 1/slowdownUnit.
func slowdown(obs observation) int64 {
	ideal := max(obs.planned.Ideal, time.Microsecond)
	return int64(slowdownUnit * float64(obs.response) / float64(ideal))
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

// measure fills in the figures that follow from the observations.
func (r *Result) measure(scenario *Scenario, observations []observation) {
	measured := scenario.Duration() - time.Duration(scenario.WarmUpMS)*time.Millisecond
	r.MeasuredMS = measured.Milliseconds()
	all := newTally("all")
	tallies := make([]*tally, len(scenario.Classes))
	for i, class := range scenario.Classes {
		tallies[i] = newTally(class.Name)
	}
	sendDelays := newTimes()
	for _, obs := range observations {
		sendDelays.add(obs.sendDelay.Microseconds())
		if obs.ending == wrong {
			r.Callers.WrongAnswers++
		}
		if !obs.planned.Measured {
			continue
		}
		all.add(obs)
		tallies[obs.planned.Class].add(obs)
	}
	r.Callers.Submissions = int64(len(observations))
	r.Callers.SendDelayUS = sendDelays.quantiles()
	r.All = all.finish(measured)
	for _, t := range tallies {
		r.Classes = append(r.Classes, t.finish(measured))
	}
	r.Seconds = bySecond(scenario, observations)
}

// bySecond groups all observations, those of the warm-up included, by the second of their intended time.
func bySecond(scenario *Scenario, observations []observation) []Second {
	seconds := make([]Second, int(scenario.Duration()/time.Second)+1)
	slowdowns := make([]*histogram, len(seconds))
	for i := range seconds {
		seconds[i].At = i
		slowdowns[i] = newSlowdowns()
	}
	for _, obs := range observations {
		i := int(obs.planned.At / time.Second)
		seconds[i].Sent++
		switch obs.ending {
		case complete:
			seconds[i].Complete++
			slowdowns[i].add(slowdown(obs))
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
