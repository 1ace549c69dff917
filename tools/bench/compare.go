package bench

import (
	"slices"

	"flamingohall.example/core/fault"
)

// Comparison lists the figures of two results side by side.
type Comparison struct {
	// SameScenario is true when both results come from the same scenario and seed.
	SameScenario bool         `json:"same_scenario"`
	Rows         []Difference `json:"rows"`
}

// Difference is one figure with its value in each result.
type Difference struct {
	Class  string  `json:"class"`
	Figure string  `json:"figure"`
	A      float64 `json:"a"`
	B      float64 `json:"b"`
	// Ratio is B divided by A; 0 when A is 0.
	Ratio float64 `json:"ratio"`
}

// figure is a number that is compared for each class.
type figure struct {
	name  string
	value func(*ClassResult) float64
}

// figures lists what is compared for each class.
var figures = []figure{
	{"sent", func(c *ClassResult) float64 { return float64(c.Sent) }},
	{"complete", func(c *ClassResult) float64 { return float64(c.Endings[string(complete)]) }},
	{"refused", func(c *ClassResult) float64 { return float64(c.Endings[string(refused)]) }},
	{"tasks a second", func(c *ClassResult) float64 { return c.TasksPerSecond }},
	{"response p50 us", func(c *ClassResult) float64 { return c.ResponseUS.P50 }},
	{"response p99 us", func(c *ClassResult) float64 { return c.ResponseUS.P99 }},
	{"response p99.9 us", func(c *ClassResult) float64 { return c.ResponseUS.P999 }},
	{"slowdown p50", func(c *ClassResult) float64 { return c.Slowdown.P50 }},
	{"slowdown p99", func(c *ClassResult) float64 { return c.Slowdown.P99 }},
	{"slowdown p99.9", func(c *ClassResult) float64 { return c.Slowdown.P999 }},
}

// Compare compares b with a. The results may come from different modes and have different classes, but it is an error if
// they have no class in common.
func Compare(a, b *Result) (*Comparison, error) {
	comparison := &Comparison{SameScenario: a.Digest == b.Digest && a.Seed == b.Seed}
	comparison.addClass(&a.All, &b.All)
	for i := range a.Classes {
		position := slices.IndexFunc(b.Classes, func(c ClassResult) bool { return c.Class == a.Classes[i].Class })
		if position >= 0 {
			comparison.addClass(&a.Classes[i], &b.Classes[position])
		}
	}
	if len(a.Classes) > 0 && len(comparison.Rows) == len(figures) {
		return nil, fault.New(fault.Invalid, "compare results of one scenario", "the results have no class in common")
	}
	comparison.add("all", "wasted a task", a.Messages.WastedPerTask(), b.Messages.WastedPerTask())
	comparison.add("all", "runs sent a task", a.Messages.RunsPerTask(), b.Messages.RunsPerTask())
	return comparison, nil
}

func (c *Comparison) addClass(a, b *ClassResult) {
	for _, f := range figures {
		c.add(a.Class, f.name, f.value(a), f.value(b))
	}
}

func (c *Comparison) add(class, name string, a, b float64) {
	row := Difference{Class: class, Figure: name, A: a, B: b}
	if a != 0 {
		row.Ratio = b / a
	}
	c.Rows = append(c.Rows, row)
}
