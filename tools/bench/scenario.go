package bench

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
)

// Bounds of a scenario.
const (
	maxScenarioBytes  = 1 << 20
	maxDurationMS     = 10 * 60 * 1000
	maxSubmissions    = 1_000_000
	maxTasks          = 5_000_000
	maxRunMS          = 60_000
	maxRatePerSecond  = 20_000
	maxBurstFactor    = 100
	maxDeclaredFactor = 1000
)

// Scenario describes an experiment: the load, the setup of the targets and the faults.
type Scenario struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// DurationMS is the time over which submissions are sent, in milliseconds.
	DurationMS int `json:"duration_ms"`
	// WarmUpMS is the time at the start whose submissions are sent but not measured, in milliseconds.
	WarmUpMS int `json:"warm_up_ms"`
	// RoundTripUS is the network round trip in the ideal response time, in microseconds.
	RoundTripUS int     `json:"round_trip_us"`
	Classes     []Class `json:"classes"`
	// Setup is applied before the run. It models the deployment, such as network delays.
	Setup []Setup `json:"setup"`
	// Faults are applied at their times during the run.
	Faults []Fault `json:"faults"`
}

// Class is a stream of submissions that is measured on its own.
type Class struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Entry string `json:"entry"`
	// NeverRepeated must be true when the catalogue entry has the class never_repeated; the ledger check uses it.
	NeverRepeated bool `json:"never_repeated"`
	// RatePerSecond is the mean number of submissions a second; arrivals are a Poisson process.
	RatePerSecond float64 `json:"rate_per_second"`
	Bursts        []Burst `json:"bursts"`
	// Tasks is the number of tasks of a job.
	Tasks Distribution `json:"tasks"`
	// RunMS is the run time of a task in milliseconds.
	RunMS Distribution `json:"run_ms"`
	// DeclaredFactor is the ratio of a task's declared run time to its real one; without it no run time is declared.
	DeclaredFactor *Distribution `json:"declared_factor"`
	// DeadlineMS is the deadline sent with each submission, in milliseconds; 0 uses that of the catalogue entry.
	DeadlineMS int64 `json:"deadline_ms"`
	// Fail makes all tasks fail: with "task" the task is at fault, with "target" the target.
	Fail string `json:"fail"`
	// CancelRatio is the share of submissions that the caller cancels CancelAfterMS after their intended time.
	CancelRatio   float64 `json:"cancel_ratio"`
	CancelAfterMS int     `json:"cancel_after_ms"`
	// CancelWaves cancel many submissions at the same moment.
	CancelWaves []CancelWave `json:"cancel_waves"`
	// ResubmitAfterMS makes the caller resubmit to another entry if no answer came within this time; 0 means never.
	ResubmitAfterMS int `json:"resubmit_after_ms"`
}

// Burst multiplies the rate of a class for a period.
type Burst struct {
	AtMS     int     `json:"at_ms"`
	LengthMS int     `json:"length_ms"`
	Factor   float64 `json:"factor"`
}

// CancelWave cancels a share of the submissions that were sent within the window before AtMS.
type CancelWave struct {
	AtMS     int     `json:"at_ms"`
	WindowMS int     `json:"window_ms"`
	Ratio    float64 `json:"ratio"`
}

// Fault changes the behaviour of stand-in targets at a time since the start.
type Fault struct {
	AtMS int `json:"at_ms"`
	Setup
}

// Setup is a change to the behaviour of stand-in targets.
type Setup struct {
	// Targets are positions in the list of targets.
	Targets []int `json:"targets"`
	// Behaviour holds the settings of the stand-in targets that change, as JSON.
	Behaviour json.RawMessage `json:"behaviour"`
}

// Duration returns DurationMS as a duration.
func (s *Scenario) Duration() time.Duration {
	return time.Duration(s.DurationMS) * time.Millisecond
}

// Scale multiplies the rates of all classes by factor.
func (s *Scenario) Scale(factor float64) {
	for i := range s.Classes {
		s.Classes[i].RatePerSecond *= factor
	}
}

// Parse parses and validates a scenario. Name identifies it in error messages. Errors are *fault.Error.
func Parse(name string, text []byte) (*Scenario, error) {
	if len(text) > maxScenarioBytes {
		return nil, fault.New(fault.TooLarge, "shorten the scenario", "scenario %s is larger than %d bytes", name, maxScenarioBytes)
	}
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, fault.New(fault.Malformed, "correct the JSON at the position given", "scenario %s: %v", name, err)
	}
	scenario := new(Scenario)
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(scenario); err != nil {
		return nil, fault.New(fault.Malformed, "see examples/bench/savinja.jsonc for the fields", "scenario %s: %v", name, err)
	}
	if problems := scenario.check(); len(problems) > 0 {
		return nil, fault.New(fault.Invalid, "correct each of these", "scenario %s has %d problems: %s",
			name, len(problems), strings.Join(problems, "; "))
	}
	return scenario, nil
}

// Digest returns the SHA-256 of the scenario in hexadecimal. Comments and layout of the file don't change it.
func (s *Scenario) Digest() string {
	text, err := json.Marshal(s)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// problemList collects validation problems.
type problemList []string

func (p *problemList) require(ok bool, format string, args ...any) {
	if !ok {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

func (p *problemList) add(place string, problems []string) {
	for _, problem := range problems {
		*p = append(*p, place+": "+problem)
	}
}

func (s *Scenario) check() []string {
	var problems problemList
	problems.require(s.Name != "", "name is missing")
	problems.require(s.DurationMS >= 1 && s.DurationMS <= maxDurationMS,
		"duration_ms is %d, give a number from 1 to %d", s.DurationMS, maxDurationMS)
	problems.require(s.WarmUpMS >= 0 && s.WarmUpMS < max(s.DurationMS, 1), "warm_up_ms must be below duration_ms")
	problems.require(s.RoundTripUS >= 0, "round_trip_us can't be negative")
	problems.require(len(s.Classes) > 0, "classes is empty")
	seen := map[string]bool{}
	for _, class := range s.Classes {
		problems.require(!seen[class.Name], "class %q is declared twice", class.Name)
		seen[class.Name] = true
		problems.add(fmt.Sprintf("class %q", class.Name), class.check())
	}
	for i, setup := range s.Setup {
		problems.add(fmt.Sprintf("setup %d", i), setup.check())
	}
	for i, fault := range s.Faults {
		problems.add(fmt.Sprintf("fault %d", i), fault.check())
		problems.require(fault.AtMS >= 0 && fault.AtMS <= s.DurationMS, "fault %d is outside the duration", i)
	}
	return problems
}

func (s Setup) check() []string {
	var problems problemList
	problems.require(len(s.Targets) > 0 && len(s.Behaviour) > 0, "targets and behaviour are needed")
	for _, target := range s.Targets {
		problems.require(target >= 0, "targets are positions from 0 on")
	}
	return problems
}

func (c Class) check() []string {
	var problems problemList
	problems.require(c.Name != "" && c.Owner != "" && c.Entry != "", "name, owner and entry are needed")
	problems.require(c.RatePerSecond > 0 && c.RatePerSecond <= maxRatePerSecond,
		"rate_per_second is %g, give more than 0 and at most %d", c.RatePerSecond, maxRatePerSecond)
	problems.add("tasks", c.Tasks.check(1, catalogue.MaxTasksPerJob))
	problems.add("run_ms", c.RunMS.check(0, maxRunMS))
	if c.DeclaredFactor != nil {
		problems.add("declared_factor", c.DeclaredFactor.check(0, maxDeclaredFactor))
	}
	problems.add("callers", c.checkCallers())
	return problems
}

// checkCallers validates the settings of the callers' behaviour.
func (c Class) checkCallers() []string {
	var problems problemList
	problems.require(c.DeadlineMS >= 0 && c.DeadlineMS <= catalogue.MaxDeadlineMS,
		"deadline_ms must be between 0 and %d", catalogue.MaxDeadlineMS)
	problems.require(c.Fail == "" || c.Fail == "task" || c.Fail == "target", `fail must be "", "task" or "target"`)
	problems.require(c.CancelRatio >= 0 && c.CancelRatio <= 1, "cancel_ratio must be between 0 and 1")
	problems.require(c.CancelAfterMS >= 0 && c.ResubmitAfterMS >= 0, "times can't be negative")
	for _, burst := range c.Bursts {
		problems.require(burst.Factor > 0 && burst.Factor <= maxBurstFactor && burst.LengthMS > 0,
			"a burst needs a length and a factor of at most %d", maxBurstFactor)
	}
	for _, wave := range c.CancelWaves {
		problems.require(wave.Ratio >= 0 && wave.Ratio <= 1 && wave.WindowMS > 0,
			"a cancel wave needs a window and a ratio between 0 and 1")
	}
	return problems
}
