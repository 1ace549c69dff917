package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Kind names the shape of a Distribution.
type Kind string

// Shapes of distributions.
const (
	// Fixed always yields Value.
	Fixed Kind = "fixed"
	// Uniform yields numbers between Min and Max.
	Uniform Kind = "uniform"
	// LogNormal has the given Median and Sigma and is clamped to Min and Max.
	LogNormal Kind = "lognormal"
	// Choice yields one of Values, with probabilities proportional to Weights.
	Choice Kind = "choice"
)

// Distribution describes a random number. Its unit is that of the scenario field that holds it.
type Distribution struct {
	Kind    Kind      `json:"kind"`
	Value   float64   `json:"value,omitempty"`
	Min     float64   `json:"min,omitempty"`
	Max     float64   `json:"max,omitempty"`
	Median  float64   `json:"median,omitempty"`
	Sigma   float64   `json:"sigma,omitempty"`
	Values  []float64 `json:"values,omitempty"`
	Weights []float64 `json:"weights,omitempty"`
}

// draw returns a random number of the distribution.
func (d Distribution) draw(random *rand.Rand) float64 {
	switch d.Kind {
	case Uniform:
		return d.Min + random.Float64()*(d.Max-d.Min)
	case LogNormal:
		return min(max(d.Median*math.Exp(d.Sigma*random.NormFloat64()), d.Min), d.Max)
	case Choice:
		return d.choose(random)
	}
	return d.Value
}

func (d Distribution) choose(random *rand.Rand) float64 {
	total := 0.0
	for _, weight := range d.Weights {
		total += weight
	}
	remaining := random.Float64() * total
	for i, weight := range d.Weights {
		if remaining -= weight; remaining < 0 {
			return d.Values[i]
		}
	}
	return d.Values[len(d.Values)-1]
}

// check returns the problems of the distribution, whose numbers must lie between low and high.
func (d Distribution) check(low, high float64) []string {
	var problems []string
	requireBounds := func(name string, value float64) {
		if !(value >= low && value <= high) {
			problems = append(problems, fmt.Sprintf("%s is %g, give a number from %g to %g", name, value, low, high))
		}
	}
	switch d.Kind {
	case Fixed:
		requireBounds("value", d.Value)
	case Uniform, LogNormal:
		requireBounds("min", d.Min)
		requireBounds("max", d.Max)
		if d.Max < d.Min {
			problems = append(problems, "max is below min")
		}
		if d.Kind == LogNormal && (d.Median <= 0 || d.Sigma < 0) {
			problems = append(problems, "median must be above 0 and sigma 0 or more")
		}
	case Choice:
		if len(d.Values) == 0 || len(d.Values) != len(d.Weights) {
			return []string{"values and weights must have the same length, at least 1"}
		}
		for i, value := range d.Values {
			requireBounds("value", value)
			if d.Weights[i] <= 0 {
				problems = append(problems, "weights must be above 0")
			}
		}
	default:
		problems = append(problems, fmt.Sprintf("kind is %q, give fixed, uniform, lognormal or choice", d.Kind))
	}
	return problems
}
