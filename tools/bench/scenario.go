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

// Scenario is one experiment.
type Scenario struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// DurationMS is the time over which submissions are sent, in milliseconds.
	DurationMS int `json:"duration_ms"`
	// WarmUpMS is the time at the start whose submissions are sent but not measured, in milliseconds.
	WarmUpMS int `json:"warm_up_ms"`
	// RoundTripUS is the network's part of the ideal response time, in microseconds.
	RoundTripUS int     `json:"round_trip_us"`
	Classes     []Class `json:"classes"`
	// Setup is applied before the run and belongs to the platform, such as delays.
	Setup []Setup `json:"setup"`
	// Faults are applied at their times.
	Faults []Fault `json:"faults"`
}

// Class is a stream of submissions that are measured together.
type Class struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Entry string `json:"entry"`
	// NeverRepeated tells that the catalogue entry is of that class, for the check of the ledgers.
	NeverRepeated bool `json:"never_repeated"`
	// RatePerSecond is the mean number of submissions a second, as a Poisson process.
	RatePerSecond float64 `json:"rate_per_second"`
	Bursts        []Burst `json:"bursts"`
	// Tasks is the number of tasks of a job.
	Tasks Distribution `json:"tasks"`
	// RunMS is the run time of a task in milliseconds.
	RunMS Distribution `json:"run_ms"`
	// DeclaredFactor multiplies a task's run time into what it declares; absent, nothing is declared.
	DeclaredFactor *Distribution `json:"declared_factor"`
	// DeadlineMS is sent with each submission; 0 takes the catalogue entry's.
	DeadlineMS int64 `json:"deadline_ms"`
	// Fail makes the tasks fail: "task" as their own fault, "target" as the target's.
	Fail string `json:"fail"`
	// CancelRatio is the share of submissions that their caller cancels CancelAfterMS after the intended time.
	CancelRatio   float64 `json:"cancel_ratio"`
	CancelAfterMS int     `json:"cancel_after_ms"`
	// CancelWaves cancel what is in progress at one moment.
	CancelWaves []CancelWave `json:"cancel_waves"`
	// ResubmitAfterMS makes a caller send again, to another entry, what has no answer after this time; 0 never.
	ResubmitAfterMS int `json:"resubmit_after_ms"`
}

// Burst multiplies the rate of a class for a while.
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

// Fault changes the behaviour of stand-in targets at a time.
type Fault struct {
	AtMS int `json:"at_ms"`
	Setup
}

// Setup is a behaviour of stand-in targets.
type Setup struct {
	// Targets are positions in the list of targets.
	Targets []int `json:"targets"`
	// Behaviour holds the fields of a stand-in's settings that change.
	Behaviour json.RawMessage `json:"behaviour"`
}

// Duration returns DurationMS as a duration.
func (s *Scenario) Duration() time.Duration {
	return time.Duration(s.DurationMS) * time.Millisecond
}

// Scale multiplies the rates of all classes, to run a scenario at another load.
func (s *Scenario) Scale(factor float64) {
	for i := range s.Classes {
		s.Classes[i].RatePerSecond *= factor
	}
}

// Parse reads and checks a scenario. Name is used in messages. Its errors are *fault.Error.
func Parse(name string, text []byte) (*Scenario, error) {
	if len(text) > maxScenarioBytes {
		return nil, fault.New(fault.TooLarge, "keep it small", "scenario %s: over %d bytes", name, maxScenarioBytes)
	}
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, fault.New(fault.Malformed, "mend the JSON at the place named", "scenario %s: %v", name, err)
	}
	scenario := new(Scenario)
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(scenario); err != nil {
		return nil, fault.New(fault.Malformed, "see examples/bench/savinja.jsonc for the fields", "scenario %s: %v", name, err)
	}
	if problems := scenario.check(); len(problems) > 0 {
		return nil, fault.New(fault.Invalid, "mend each of these", "scenario %s has %d problems: %s",
			name, len(problems), strings.Join(problems, "; "))
	}
	return scenario, nil
}

// Digest returns the SHA-256 of what the scenario says, without comments and layout, in hexadecimal.
func (s *Scenario) Digest() string {
	text, err := json.Marshal(s)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// problemList collects what is wrong, each with its place.
type problemList []string

func (p *problemList) require(good bool, format string, args ...any) {
	if !good {
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
		problems.require(!seen[class.Name], "class %q stands twice", class.Name)
		seen[class.Name] = true
		problems.add(fmt.Sprintf("class %q", class.Name), class.check())
	}
	for i, setup := range s.Setup {
		problems.add(fmt.Sprintf("setup %d", i), setup.check())
	}
	for i, fault := range s.Faults {
		problems.add(fmt.Sprintf("fault %d", i), fault.check())
		problems.require(fault.AtMS >= 0 && fault.AtMS <= s.DurationMS, "fault %d lies outside of the duration", i)
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

// checkCallers checks what the callers of the class do.
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
