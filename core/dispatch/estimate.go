package dispatch

import (
	"math"
	"time"
)

const (
	// learnWeight is the weight of a new run in the moving averages of a queue and a worker.
	learnWeight = 0.05
	// minSpeed and maxSpeed bound the speed ratio that a single run contributes.
	minSpeed = 0.25
	maxSpeed = 2.0
)

// estimate is the run time estimate of a queue: the moving average of the logarithm of run times, in milliseconds at
// speed 1.
type estimate struct {
	logMean float64
	known   bool
}

// estimate sets the expected run times of a job's steps. Declared times are rough, and so is the queue's mean; the
// geometric mean of both has a smaller error than either.
func (d *Dispatcher) estimate(j *job) {
	known, declaredWeight := d.estimates[j.Queue.Name], d.limits.Policy.Estimates.DeclaredWeight
	for i := range j.steps {
		declared := j.Steps[i].Expected
		switch {
		case known == nil || !known.known:
			continue
		case declared <= 0:
			j.steps[i].expected = fromLog(known.logMean)
		default:
			blended := declaredWeight*toLog(declared) + (1-declaredWeight)*known.logMean
			j.steps[i].expected = fromLog(blended)
		}
	}
}

// learn updates the speed of the worker and the estimate of the queue with one run time.
func (d *Dispatcher) learn(w *worker, t *task, took time.Duration) {
	if took <= 0 {
		return
	}
	expected := t.job.stepOf(t).expected
	if d.limits.Policy.Estimates.LearnSpeeds && expected > 0 && w.load.SpeedPercent == 0 {
		ratio := min(maxSpeed, max(minSpeed, float64(expected)/float64(took)))
		w.speed = math.Exp((1-learnWeight)*math.Log(w.speed) + learnWeight*math.Log(ratio))
	}
	known := d.estimates[t.job.Queue.Name]
	if known == nil {
		known = &estimate{}
		d.estimates[t.job.Queue.Name] = known
	}
	atSpeedOne := toLog(took) + math.Log(w.speed)
	if !known.known {
		known.known, known.logMean = true, atSpeedOne
		return
	}
	known.logMean += learnWeight * (atSpeedOne - known.logMean)
}

func toLog(d time.Duration) float64 {
	return math.Log(max(1, float64(d)/float64(time.Millisecond)))
}

func fromLog(l float64) time.Duration {
	return time.Duration(math.Exp(l) * float64(time.Millisecond))
}
